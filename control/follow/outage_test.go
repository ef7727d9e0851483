package follow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// isolatedPort is the peer port of the first of several instances without peers.
const isolatedPort = 19840

var _ = Describe("changes delayed by an outage of the store", func() {
	const (
		// stable is the time after an outage by which changes must be in force.
		stable = 3 * time.Second
		// n instances, each with its own store, start at intervals, so that the end of an
		// outage meets them at different points of their calls.
		n, startInterval = 12, 230 * time.Millisecond
		outage           = 6 * time.Second
	)
	// Guards against an instance that uses an older configuration for seconds after an
	// outage, because it waits for a watch that reports no changes.
	DescribeTable("are in force everywhere within stable_after", func(f storeserver.Faults) {
		var isolated []*follow.Follower
		var stores []*storeserver.Server
		all := func(v uint64) []uint64 { return all(n, v) }
		for i := range n {
			stores = append(stores, startStore())
			addr := fmt.Sprintf("127.0.0.1:%d", isolatedPort+i)
			isolated = append(isolated, startWith(stores[i].Addr(), fmt.Sprintf("a%d", i), addr, addr, `stable_after = "3s"`))
			time.Sleep(startInterval)
		}
		Eventually(versions(isolated), "5s", "10ms").Should(Equal(all(3)))
		Eventually(watchers(isolated), "10s", "10ms").Should(Equal(n))
		setFaults := func(f storeserver.Faults) {
			for _, srv := range stores {
				srv.SetFaults(f)
			}
		}
		setFaults(f)
		time.Sleep(outage)
		setFaults(storeserver.Faults{})
		restored := time.Now()
		const lastVersion = 9
		for v := 4; v <= lastVersion; v++ {
			for _, srv := range stores {
				putConfig(srv, v)
			}
			time.Sleep(100 * time.Millisecond)
		}
		Eventually(versions(isolated), stable-time.Since(restored), "10ms").Should(Equal(all(lastVersion)))
	},
		Entry("after silence", storeserver.Faults{Silent: true}),
		Entry("after refusals", storeserver.Faults{Down: true}),
	)
})
