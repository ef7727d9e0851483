package relay

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

var _ = Describe("the checks of a server before an attempt", func() {
	a, b := backends.Server{ID: "a", Version: "1"}, backends.Server{ID: "b", Version: "2"}
	isA := func(s backends.Server) bool { return s.ID == "a" }

	It("exclude an ejected server", func() {
		p := newTestPool()
		for _, id := range []string{"a", "b", "c", "d"} {
			p.tracker.Add(id)
		}
		p.tracker.EjectSlow(0, "a")
		f := ejectedFilter{p.tracker, time.Millisecond}
		Expect(f.check(a)).To(Equal(ejected))
		Expect(f.check(b)).To(Equal(eligible))
	})

	It("exclude a suspended server until its time", func() {
		until := map[string]time.Duration{"a": time.Second}
		Expect(suspendedFilter{until, time.Second - 1}.check(a)).To(Equal(suspended))
		Expect(suspendedFilter{until, time.Second}.check(a)).To(Equal(eligible))
		Expect(suspendedFilter{until, 0}.check(b)).To(Equal(eligible))
	})

	It("exclude a server that names a limit, and one of a refused version", func() {
		Expect(permitFilter{isA}.check(a)).To(Equal(needsPermit))
		Expect(permitFilter{isA}.check(b)).To(Equal(eligible))
		Expect(versionFilter{[]string{"2"}}.check(b)).To(Equal(refusedVersion))
		Expect(versionFilter{[]string{"2"}}.check(a)).To(Equal(eligible))
	})

	It("stand as a chain that names the first exclusion and keeps the order", func() {
		chain := filterChain{suspendedFilter{map[string]time.Duration{"a": time.Second}, 0}, permitFilter{isA}}
		Expect(chain.check(a)).To(Equal(suspended))
		Expect(chain.apply([]backends.Server{b, a, b})).To(Equal([]backends.Server{b, b}))
		Expect(filterChain{}.apply([]backends.Server{a, b})).To(Equal([]backends.Server{a, b}))
	})
})
