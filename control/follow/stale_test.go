package follow_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Guards against instances that start with a list that is seconds old, take it for the present one and go on
// using servers that have left, and against others that take it from them.
var _ = DescribeTable("a first read of the store that is stale", func(f storeserver.Faults) {
	srv := startStore()
	putServer(srv, "b", "ready")
	srv.Copy()
	srv.Delete("servers", "b")
	putConfig(srv, 8)
	srv.SetFaults(f)
	fleet := []*follow.Follower{start(srv.Addr()), startAt(srv.Addr(), "f", "127.0.0.1:19801")}
	Eventually(readyCounts(fleet), "10s", "10ms").Should(Equal([]int{1, 1}))
	Eventually(versions(fleet), "10s", "10ms").Should(Equal(all(2, 8)))
	Consistently(readyCounts(fleet), "1s", "10ms").Should(Equal([]int{1, 1}))
},
	Entry("with its revision, is replaced", storeserver.Faults{Stale: true}),
	Entry("with the present revision, is replaced", storeserver.Faults{StaleAsPresent: true}),
)
