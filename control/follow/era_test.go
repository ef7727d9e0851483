package follow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// rewriteTime is the time within which entries are written again once the store is back.
const rewriteTime = 2 * time.Second

var _ = Describe("a store restored from an older copy", func() {
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
	// write raises the revision by n changes of an unrelated object.
	write := func(n int) {
		for i := range n {
			Expect(srv.Put("other", "x", i)).To(Succeed())
		}
	}

	// Guards against a leaving server that keeps getting requests and a removed key that
	// keeps working: the store came back with lower revisions, a watch from the old revision
	// got 410, and lists of lower revisions were dropped as older.
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
		Eventually(ready(f), rewriteTime, "5ms").ShouldNot(ContainElement("a"))
		Eventually(version(f), rewriteTime, "5ms").Should(Equal(uint64(11)))
	})

	// The store reuses revisions: a watch that continues from an old one misses the writes
	// below it.
	It("is read in full although it has reused the old revisions", func() {
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
		Eventually(ready(f), 2*rewriteTime, "5ms").Should(Equal([]string{"a", "b"}))
	})

	// Guards against a removed key that works again for a moment, since the store lost the
	// configuration that removed it.
	It("never rolls the configuration back", func() {
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

	// Guards against all work going to the few servers in the copy for two seconds, because
	// live servers missing from it were dropped before they could write their entries again.
	It("keeps live servers until they have had the time to write their entries again", func() {
		srv.Copy()
		f := start(srv.Addr())
		putServer(srv, "b", "ready")
		putServer(srv, "c", "ready")
		Eventually(ready(f), "3s", "5ms").Should(Equal([]string{"a", "b", "c"}))
		Eventually(watching, "5s", "5ms").WithArguments(f).Should(BeTrue())
		srv.Restore()
		Consistently(ready(f), "1200ms", "5ms").Should(Equal([]string{"a", "b", "c"}))
		putServer(srv, "b", "ready")
		Eventually(ready(f), rewriteTime, "5ms").Should(Equal([]string{"a", "b"}))
	})

	// Guards against new work for servers that have ended but that the copy still lists.
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
		// The server is alive after all and writes its entry.
		Expect(srv.Put("servers", "b", map[string]any{"service": "s", "address": "10.0.0.2:1", "zone": "z", "slots": 4, "state": "ready"})).To(Succeed())
		Eventually(ready(f), rewriteTime, "5ms").Should(Equal([]string{"b"}))
	})

	It("is followed when it is restored twice", func() {
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
		Eventually(ready(f), rewriteTime, "5ms").Should(ContainElements("a", "c"))
		Eventually(ready(f), 2*rewriteTime, "5ms").Should(Equal([]string{"a", "c"}))
	})
})
