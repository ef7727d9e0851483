package follow_test

import (
	"fmt"
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
		for _, e := range fleet[0].Dump().(follow.Dump).Evacuated {
			Expect(e.DataCentre).To(BeElementOf("elsewhere", "z"))
			Expect(e.AgeMS).To(BeNumerically("~", 600, 500))
		}
		srv.Delete("evacuations", "z")
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(ready(2)))
		Expect(fleet[0].Dump().(follow.Dump).Evacuated).To(HaveLen(1))
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

	// Guards against requests to servers of an evacuated data centre from an instance that has just
	// started: it had the list of servers and not yet that of the evacuations.
	It("is awaited by an instance that starts in it", func() {
		srv := startStore()
		evacuate(srv, "z")
		srv.SetFaults(storeserver.Faults{Kinds: map[string]storeserver.KindFaults{"evacuations": {Silent: true}}})
		f := startFleetWith([]string{srv.Addr()}, shortWait+"\nevacuations = true")[0]
		Eventually(f.Servers, "5s", "5ms").ShouldNot(BeNil())
		Eventually(f.Table, "5s", "5ms").ShouldNot(BeNil())
		Consistently(f.Ready, "1s", "5ms").Should(BeFalse())
		srv.SetFaults(storeserver.Faults{})
		Eventually(f.Ready, "5s", "5ms").Should(BeTrue())
		Expect(f.Servers().Ready("s")).To(BeEmpty())
	})

	// Guards against instances that start while the store is away and that learn of the evacuation from
	// peers only after the list of servers.
	It("is known to an instance that starts while the store is away", func() {
		srv := startStore()
		evacuate(srv, "z")
		all := start(srv.Addr())
		Eventually(readyCounts(all), "10s", "20ms").Should(Equal(ready(0)))
		srv.SetFaults(storeserver.Faults{Silent: true})
		addr, seed := fmt.Sprintf("127.0.0.1:%d", fleetPort+n), fmt.Sprintf("127.0.0.1:%d", fleetPort)
		late := startWith(srv.Addr(), "late", addr, seed, shortWait+"\nevacuations = true")
		sends := func() bool { return late.Ready() && len(late.Servers().Ready("s")) > 0 }
		Consistently(sends, "3s", "2ms").Should(BeFalse())
		Expect(late.Ready()).To(BeTrue())
	})

	// Guards against a restart of all instances soon after the acknowledgement, in which all of them read
	// a list that lags by seconds and none knows of the evacuation.
	It("is read in its newest state by instances that all start in it", func() {
		srv := startStore()
		srv.Copy()
		evacuate(srv, "z")
		srv.SetFaults(storeserver.Faults{Stale: true})
		fleet := start(srv.Addr())
		for _, f := range fleet {
			Eventually(f.Ready, "5s", "1ms").Should(BeTrue())
			Expect(f.Servers().Ready("s")).To(BeEmpty())
		}
	})

	// Guards against requests to its servers after the store lost the evacuation.
	It("holds after the store was restored from an older copy and until it is written again", func() {
		srv := startStore()
		srv.Copy()
		fleet := start(srv.Addr())
		Eventually(readyCounts(fleet), "10s", "20ms").Should(Equal(ready(1)))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		evacuate(srv, "z")
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(ready(0)))
		srv.Restore()
		Consistently(readyCounts(fleet), "1s", "5ms").Should(Equal(ready(0)))
		evacuate(srv, "z")
		Consistently(readyCounts(fleet), "3s", "5ms").Should(Equal(ready(0)))
	})
})
