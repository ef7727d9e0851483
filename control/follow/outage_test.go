package follow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// alonePort is the peer port of the first of several instances that know no other.
const alonePort = 19840

var _ = Describe("changes held up by an outage of the store", func() {
	const (
		// stable is the time after a disturbance of the store from which bounds hold again.
		stable = 3 * time.Second
		// n instances, each before a store of its own, begin apart, so that the end of an
		// outage finds them at any point of their calls.
		n, apart = 12, 230 * time.Millisecond
		outage   = 6 * time.Second
	)
	// Guards against an instance that answers by an older configuration for seconds after
	// an outage, because a watch that hears of no change holds up the question for others.
	DescribeTable("are in force everywhere once bounds hold again", func(f storeserver.Faults) {
		var alone []*follow.Follower
		var stores []*storeserver.Server
		all := func(v uint64) []uint64 { return all(n, v) }
		for i := range n {
			stores = append(stores, startStore())
			addr := fmt.Sprintf("127.0.0.1:%d", alonePort+i)
			alone = append(alone, startWith(stores[i].Addr(), fmt.Sprintf("a%d", i), addr, addr, `stable_after = "3s"`))
			time.Sleep(apart)
		}
		Eventually(versions(alone), "5s", "10ms").Should(Equal(all(3)))
		Eventually(watchers(alone), "10s", "10ms").Should(Equal(n))
		suffer := func(f storeserver.Faults) {
			for _, srv := range stores {
				srv.SetFaults(f)
			}
		}
		suffer(f)
		time.Sleep(outage)
		suffer(storeserver.Faults{})
		back := time.Now()
		const last = 9
		for v := 4; v <= last; v++ {
			for _, srv := range stores {
				putConfig(srv, v)
			}
			time.Sleep(100 * time.Millisecond)
		}
		Eventually(versions(alone), stable-time.Since(back), "10ms").Should(Equal(all(last)))
	},
		Entry("after silence", storeserver.Faults{Silent: true}),
		Entry("after refusals", storeserver.Faults{Down: true}),
	)
})
