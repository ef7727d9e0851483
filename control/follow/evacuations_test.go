package follow_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Guards against requests to servers of a data centre that operators evacuate: only the
// instances that watch the store see the evacuation, and the others learn of it from peers.
var _ = Describe("the evacuation of a data centre", func() {
	const n = 9
	start := func(store string) []*follow.Follower {
		return startFleetWith(repeatStore(store, n), shortWait+"\nevacuations = true")
	}
	ready := func(count int) []int { return slices.Repeat([]int{count}, n) }
	evacuate := func(srv *storeserver.Server, dataCentre string) {
		Expect(srv.Put("evacuations", dataCentre, map[string]any{})).To(Succeed())
	}

	It("takes its servers out of use at all instances until it ends", func() {
		srv := startStore()
		fleet := start(srv.Addr())
		Eventually(readyCounts(fleet), "10s", "20ms").Should(Equal(ready(1)))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		evacuate(srv, "elsewhere")
		evacuate(srv, "z")
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(ready(0)))
		putServer(srv, "b", "ready")
		Consistently(readyCounts(fleet), "500ms", "10ms").Should(Equal(ready(0)))
		srv.Delete("evacuations", "z")
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(ready(2)))
	})

	It("is known to an instance that starts in it", func() {
		srv := startStore()
		evacuate(srv, "z")
		fleet := start(srv.Addr())
		Eventually(readyCounts(fleet), "10s", "20ms").Should(Equal(ready(0)))
		Consistently(readyCounts(fleet), "500ms", "10ms").Should(Equal(ready(0)))
	})

	It("holds after the store lost its history", func() {
		srv := startStore()
		fleet := start(srv.Addr())
		Eventually(readyCounts(fleet), "10s", "20ms").Should(Equal(ready(1)))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		srv.SetFaults(storeserver.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		evacuate(srv, "z")
		srv.SetFaults(storeserver.Faults{ForgetHistory: true})
		Eventually(readyCounts(fleet), "5s", "10ms").Should(Equal(ready(0)))
	})
})
