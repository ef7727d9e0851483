package follow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// fleetPort is the peer port of the first instance of a fleet; the others' follow.
const fleetPort = 19810

// startFleet runs instances of one data centre, each with the store of its index.
func startFleet(stores []string) []*follow.Follower { return startFleetWith(stores, shortWait) }

// startFleetWith is startFleet with other settings of the module.
func startFleetWith(stores []string, moduleSettings string) []*follow.Follower {
	var out []*follow.Follower
	first := fmt.Sprintf("127.0.0.1:%d", fleetPort)
	for i, store := range stores {
		out = append(out, startWith(store, fmt.Sprintf("i%d", i), fmt.Sprintf("127.0.0.1:%d", fleetPort+i), first, moduleSettings))
	}
	return out
}

func repeatStore(store string, n int) (out []string) {
	for range n {
		out = append(out, store)
	}
	return out
}

func watching(f *follow.Follower) bool { return f.Dump().(follow.Dump).Watching }

func watchers(fleet []*follow.Follower) func() int {
	return func() (n int) {
		for _, f := range fleet {
			if watching(f) {
				n++
			}
		}
		return n
	}
}

func versions(fleet []*follow.Follower) func() []uint64 {
	return func() (out []uint64) {
		for _, f := range fleet {
			v := uint64(0)
			if t := f.Table(); t != nil {
				v = t.Version
			}
			out = append(out, v)
		}
		return out
	}
}

func all(n int, v uint64) (out []uint64) {
	for range n {
		out = append(out, v)
	}
	return out
}

func readyCounts(fleet []*follow.Follower) func() []int {
	return func() (out []int) {
		for _, f := range fleet {
			n := -1
			if s := f.Servers(); s != nil {
				n = len(s.Ready("s"))
			}
			out = append(out, n)
		}
		return out
	}
}

var _ = Describe("a fleet with one store", func() {
	const n = 9
	var srv *storeserver.Server
	put := func(version int) { putConfig(srv, version) }
	server := func(id, state string) { putServer(srv, id, state) }
	BeforeEach(func() { srv = startStore() })

	// Guards against a cost of store calls that grows with the fleet: with each of 22
	// instances polling every two seconds they cost two thirds of the revenue from callers.
	It("has five instances that watch, and the others make no calls", func() {
		fleet := startFleet(repeatStore(srv.Addr(), n))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		Eventually(versions(fleet), "5s", "10ms").Should(Equal(all(n, 3)))
		before := srv.Calls("config") + srv.Calls("servers")
		const span = 2 * time.Second
		time.Sleep(span)
		calls := srv.Calls("config") + srv.Calls("servers") - before
		// Each of the five makes two calls per wait of 200 ms.
		Expect(calls).To(BeNumerically("<=", 5*2*(int(span/(200*time.Millisecond))+2)))
	})

	It("propagates every change to all instances", func() {
		fleet := startFleet(repeatStore(srv.Addr(), n))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		Eventually(versions(fleet), "5s", "10ms").Should(Equal(all(n, 3)))
		put(8)
		server("a", "draining")
		server("b", "ready")
		server("c", "ready")
		Eventually(versions(fleet), "1s", "5ms").Should(Equal(all(n, 8)))
		var two []int
		for range n {
			two = append(two, 2)
		}
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(two))
		srv.Delete("servers", "b")
		for i := range two {
			two[i] = 1
		}
		Eventually(readyCounts(fleet), "2s", "5ms").Should(Equal(two))
		Eventually(func() time.Duration { return fleet[0].ConfirmationAge() }, "3s", "10ms").Should(BeNumerically("<", time.Second))
	})

	// Guards against requests to a server that left: the store rejects just the instances
	// that watch it, and the others never ask. The next in rank must watch once the last
	// confirmation is old.
	It("has other instances watch when the store rejects all watchers", func() {
		probe := startFleet(repeatStore(srv.Addr(), n))
		Eventually(watchers(probe), "10s", "50ms").Should(Equal(5))
		down := storeserver.New("127.0.0.1:0")
		Expect(down.Start()).To(Succeed())
		DeferCleanup(down.Close)
		down.SetFaults(storeserver.Faults{Down: true})
		var stores []string
		for _, f := range probe {
			if watching(f) {
				stores = append(stores, down.Addr())
			} else {
				stores = append(stores, srv.Addr())
			}
		}
		stopAll()
		fleet := startFleet(stores)
		Eventually(versions(fleet), "10s", "10ms").Should(Equal(all(n, 3)))
		Eventually(func() (n int) {
			for i, f := range fleet {
				if watching(f) && stores[i] == srv.Addr() {
					n++
				}
			}
			return n
		}, "10s", "20ms").Should(BeNumerically(">=", 1))
		put(11)
		server("a", "draining")
		Eventually(versions(fleet), "4s", "10ms").Should(Equal(all(n, 11)))
		Eventually(readyCounts(fleet), "4s", "10ms").Should(Equal(make([]int, n)))
	})
})
