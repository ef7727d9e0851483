package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

// later returns a position of the second era.
func later(revision int64) position.Position { return position.Position{Era: 2, Revision: revision} }

// A store restored from a backup lacks the servers that registered since and lists those
// that left. Guards against sending all requests to the servers in the backup, or to
// servers that have ended.
var _ = Describe("a list of a later era", func() {
	server := func(id string, life backends.Life) backends.Server {
		return backends.Server{ID: id, Life: life, Service: "s", Addr: "10.0.0.1:80"}
	}
	a, b := server("a", 1000), server("b", 1000)
	leavingA := a
	leavingA.Leaving = true
	restarted := server("a", 2000)
	leavingRestarted := restarted
	leavingRestarted.Leaving = true
	var set *backends.Set
	ready := func() (ids []string) {
		for _, s := range set.Snapshot().Ready("s") {
			ids = append(ids, s.ID)
		}
		return ids
	}
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{a, b}, at(90))
	})
	const era = 10 * time.Second

	It("is adopted although its revision is lower, and excludes lists of the last era", func() {
		Expect(set.Replace(era, []backends.Server{a, b}, later(5))).To(BeTrue())
		Expect(set.Replace(era, []backends.Server{a}, at(95))).To(BeFalse())
		Expect(set.Apply(era, []backends.Change{{ID: "b"}}, at(96))).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})

	It("retains a missing server until it has had time to write its entry again", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		Expect(set.EndGracePeriods(era + 1900*time.Millisecond)).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}))
		Expect(set.Snapshot().All()).To(HaveLen(1), "All returns only what the store lists")
		Expect(set.EndGracePeriods(era + 2*time.Second)).To(BeTrue())
		Expect(ready()).To(Equal([]string{"a"}))
	})

	It("keeps a server that wrote its entry again", func() {
		set.Replace(era, nil, later(5))
		set.Apply(era+time.Second, []backends.Change{{ID: "b", Server: &b}}, later(6))
		set.EndGracePeriods(era + 2*time.Second)
		Expect(ready()).To(Equal([]string{"b"}))
	})

	It("drops a retained server at once when the store reports its departure", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		set.Apply(era, []backends.Change{{ID: "b"}}, later(6))
		Expect(ready()).To(Equal([]string{"a"}))
	})

	It("retains through a third era the servers retained in the second", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		set.Replace(era+time.Second, []backends.Server{a}, position.Position{Era: 3, Revision: 4})
		set.EndGracePeriods(era + 2500*time.Millisecond)
		Expect(ready()).To(Equal([]string{"a", "b"}))
		set.EndGracePeriods(era + 3*time.Second)
		Expect(ready()).To(Equal([]string{"a"}))
	})

	// The orders in which an instance may learn of the departure of a server, of its next
	// life and of the new era.
	DescribeTable("uses a server", func(before []backends.Change, restored []backends.Server, after []backends.Change, want bool) {
		for i, c := range before {
			set.Apply(time.Second, []backends.Change{c}, at(int64(91+i)))
		}
		set.Replace(era, restored, later(5))
		for i, c := range after {
			set.Apply(era+time.Second, []backends.Change{c}, later(int64(6+i)))
		}
		set.EndGracePeriods(era + 2*time.Second)
		used := false
		for _, id := range ready() {
			used = used || id == "a"
		}
		Expect(used).To(Equal(want))
	},
		Entry("that did not change", nil, []backends.Server{a, b}, nil, true),
		Entry("but not one that was leaving, although the backup lists it as ready",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, nil, false),
		Entry("but not one that was leaving and writes so again",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &leavingA}}, false),
		Entry("but not one that left the list",
			[]backends.Change{{ID: "a"}}, []backends.Server{a, b}, nil, false),
		Entry("that left the list and writes its entry again",
			[]backends.Change{{ID: "a"}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &a}}, true),
		Entry("that restarted before the new era and that the backup lacks",
			[]backends.Change{{ID: "a"}, {ID: "a", Server: &restarted}}, []backends.Server{b}, []backends.Change{{ID: "a", Server: &restarted}}, true),
		Entry("whose next life is in the backup",
			[]backends.Change{{ID: "a"}}, []backends.Server{restarted, b}, nil, true),
		Entry("that restarts in the new era",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &restarted}}, true),
		// Both lives were seen to leave; the process at the address is the second one.
		Entry("but not one whose later life is leaving, although the backup lists the earlier one",
			[]backends.Change{{ID: "a", Server: &leavingA}, {ID: "a", Server: &restarted}, {ID: "a", Server: &leavingRestarted}}, []backends.Server{a, b}, nil, false),
		Entry("in its next life, although the backup lists the earlier one",
			[]backends.Change{{ID: "a", Server: &restarted}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &restarted}}, true),
		Entry("but not one that is leaving in the new era", nil, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &leavingA}}, false),
		Entry("but not one that left unnoticed before and that the backup lacks", nil, []backends.Server{b}, nil, false),
	)

	// All servers had left before the store was restored.
	It("brings back no server that left", func() {
		set.Apply(time.Second, []backends.Change{{ID: "a"}, {ID: "b"}}, at(91))
		set.Replace(era, []backends.Server{a, b}, later(5))
		Expect(ready()).To(BeEmpty())
	})

	It("uses a server again that the store keeps listing", func() {
		set.Apply(time.Second, []backends.Change{{ID: "a"}}, at(91))
		set.Replace(era, []backends.Server{a, b}, later(5))
		set.EndGracePeriods(era + 4*time.Second)
		Expect(ready()).To(Equal([]string{"b"}))
		set.EndGracePeriods(era + 5*time.Second)
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})
})
