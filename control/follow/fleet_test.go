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

// startFleet runs instances of one data centre, each before the store of its index.
func startFleet(stores []string) []*follow.Follower {
	var out []*follow.Follower
	for i, store := range stores {
		out = append(out, startIn(store, fmt.Sprintf("i%d", i), fmt.Sprintf("127.0.0.1:%d", fleetPort+i), fmt.Sprintf("127.0.0.1:%d", fleetPort)))
	}
	return out
}

func repeat(store string, n int) (out []string) {
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

func listedReady(fleet []*follow.Follower) func() []int {
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

var _ = Describe("a fleet before one store", func() {
	const n = 9
	var srv *storeserver.Server
	put := func(version int) { putConfig(srv, version) }
	server := func(id, state string) { putServer(srv, id, state) }
	BeforeEach(func() { srv = startStore() })

	// Two thirds of what callers were worth went to calls to the store: each of 22
	// instances asked it after every pause of two seconds and every change.
	It("has five instances that watch, and the others make no calls", func() {
		fleet := startFleet(repeat(srv.Addr(), n))
		Eventually(watchers(fleet), "10s", "50ms").Should(Equal(5))
		Eventually(versions(fleet), "5s", "10ms").Should(Equal(all(n, 3)))
		before := srv.Calls("config") + srv.Calls("servers")
		const span = 2 * time.Second
		time.Sleep(span)
		calls := srv.Calls("config") + srv.Calls("servers") - before
		// Each of five makes two calls in each wait of 200 ms.
		Expect(calls).To(BeNumerically("<=", 5*2*(int(span/(200*time.Millisecond))+2)))
	})

	It("has every change everywhere at once", func() {
		fleet := startFleet(repeat(srv.Addr(), n))
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
		Eventually(listedReady(fleet), "2s", "5ms").Should(Equal(two))
		srv.Delete("servers", "b")
		for i := range two {
			two[i] = 1
		}
		Eventually(listedReady(fleet), "2s", "5ms").Should(Equal(two))
		Eventually(func() time.Duration { return fleet[0].Age() }, "3s", "10ms").Should(BeNumerically("<", time.Second))
	})

	// Requests go on to a server that left: the store turns away just those instances
	// that watch it, and the others never ask. The next ones ask once the news are old.
	It("finds others that watch when the store turns all of those away", func() {
		probe := startFleet(repeat(srv.Addr(), n))
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
		Eventually(listedReady(fleet), "4s", "10ms").Should(Equal(make([]int, n)))
	})
})
