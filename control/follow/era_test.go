package follow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// back is the time within which entries are written again once the store is back.
const back = 2 * time.Second

var _ = Describe("a store that comes back from an older copy", func() {
	var srv *storeserver.Server
	BeforeEach(func() { srv = startStore() })
	version := func(f *follow.Follower) func() uint64 {
		return func() uint64 {
			if t := f.Table(); t != nil {
				return t.Version
			}
			return 0
		}
	}
	ready := func(f *follow.Follower) func() []string {
		return func() (ids []string) {
			if s := f.Servers(); s != nil {
				for _, v := range s.Ready("s") {
					ids = append(ids, v.ID)
				}
			}
			return ids
		}
	}
	// write raises the revision by n changes of something else.
	write := func(n int) {
		for i := range n {
			Expect(srv.Put("other", "x", i)).To(Succeed())
		}
	}

	// A leaving server goes on getting requests, and a key that was taken away goes on
	// working: the store came back with lower revisions, and the instances that watch
	// believed themselves newer than all that it told from then on.
	// Evidence: a watch from the old revision gets 410, and the list of a lower revision
	// was dropped.
	It("is followed from its new revisions on", func() {
		srv.Copy()
		f := start(srv.Addr())
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a"}))
		write(50)
		putServer(srv, "b", "ready")
		putConfig(srv, 9)
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(9)))
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "b"}))
		srv.Restore()
		putServer(srv, "a", "draining")
		putConfig(srv, 11)
		Eventually(ready(f), back, "5ms").ShouldNot(ContainElement("a"))
		Eventually(version(f), back, "5ms").Should(Equal(uint64(11)))
	})

	// Revisions are given out again: a watch that goes on from the old one misses what
	// was written below it.
	It("is read again although it has given the old revisions out again", func() {
		srv.Copy()
		f := start(srv.Addr())
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a"}))
		write(3)
		putServer(srv, "z", "ready")
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "z"}))
		srv.SetFaults(storeserver.Faults{Down: true})
		srv.Restore()
		putServer(srv, "b", "ready")
		write(30)
		srv.SetFaults(storeserver.Faults{})
		Eventually(ready(f), "3s", "5ms").Should(ContainElement("b"))
		Eventually(ready(f), 2*back, "5ms").Should(Equal([]string{"a", "b"}))
	})

	// An operator took a key away; the store forgot it, and for a moment the key worked
	// again.
	It("never brings an older configuration back", func() {
		srv.Copy()
		f := start(srv.Addr())
		putConfig(srv, 9)
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(9)))
		srv.Restore()
		Consistently(version(f), "700ms", "5ms").Should(Equal(uint64(9)))
		putConfig(srv, 9)
		putConfig(srv, 10)
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(10)))
	})

	// All work goes to the few servers that the copy knows, for two seconds: the others
	// live and write again, but were taken for gone at once.
	It("keeps servers that live until they have had the time to write again", func() {
		srv.Copy()
		f := start(srv.Addr())
		putServer(srv, "b", "ready")
		putServer(srv, "c", "ready")
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "b", "c"}))
		Eventually(watching, "5s", "5ms").WithArguments(f).Should(BeTrue())
		srv.Restore()
		Consistently(ready(f), "1200ms", "5ms").Should(Equal([]string{"a", "b", "c"}))
		putServer(srv, "b", "ready")
		Eventually(ready(f), back, "5ms").Should(Equal([]string{"a", "b"}))
	})

	// New work goes to servers that have ended: the copy still lists them.
	It("sends nothing to servers that left, though the copy lists them", func() {
		putServer(srv, "b", "ready")
		srv.Copy()
		f := start(srv.Addr())
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "b"}))
		putServer(srv, "a", "draining")
		srv.Delete("servers", "b")
		Eventually(ready(f), "3s", "5ms").Should(BeEmpty())
		srv.Restore()
		Consistently(ready(f), "1500ms", "5ms").Should(BeEmpty())
		// It lives after all and says so.
		Expect(srv.Put("servers", "b", map[string]any{"service": "s", "address": "10.0.0.2:1", "zone": "z", "slots": 4, "state": "ready"})).To(Succeed())
		Eventually(ready(f), back, "5ms").Should(Equal([]string{"b"}))
	})

	It("is followed when it comes back older twice", func() {
		srv.Copy()
		f := start(srv.Addr())
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a"}))
		write(20)
		putServer(srv, "z", "ready")
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "z"}))
		srv.Restore()
		putServer(srv, "b", "ready")
		time.Sleep(150 * time.Millisecond)
		srv.Restore()
		putServer(srv, "c", "ready")
		Eventually(ready(f), back, "5ms").Should(ContainElements("a", "c"))
		Eventually(ready(f), 2*back, "5ms").Should(Equal([]string{"a", "c"}))
	})
})
