package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

// later is a position of the second era.
func later(revision int64) position.Position { return position.Position{Era: 2, Revision: revision} }

// The store comes back from a copy: it lacks what registered since then and lists what
// left. All work went to the servers that the copy knows, or to servers that had ended.
var _ = Describe("a list of a later era", func() {
	server := func(id string, life backends.Life) backends.Server {
		return backends.Server{ID: id, Life: life, Service: "s", Addr: "10.0.0.1:80"}
	}
	a, b := server("a", 1000), server("b", 1000)
	leavingA := a
	leavingA.Leaving = true
	reborn := server("a", 2000)
	leavingReborn := reborn
	leavingReborn.Leaving = true
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

	It("is taken over though its revision is lower, and one of the last era no more", func() {
		Expect(set.Replace(era, []backends.Server{a, b}, later(5))).To(BeTrue())
		Expect(set.Replace(era, []backends.Server{a}, at(95))).To(BeFalse())
		Expect(set.Apply(era, []backends.Change{{ID: "b"}}, at(96))).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})

	It("loses no server that lives until it could have written again", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		Expect(set.Settle(era + 1900*time.Millisecond)).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}))
		Expect(set.Snapshot().All()).To(HaveLen(1), "others are told only what the store lists")
		Expect(set.Settle(era + 2*time.Second)).To(BeTrue())
		Expect(ready()).To(Equal([]string{"a"}))
	})

	It("keeps a server that wrote again", func() {
		set.Replace(era, nil, later(5))
		set.Apply(era+time.Second, []backends.Change{{ID: "b", Server: &b}}, later(6))
		set.Settle(era + 2*time.Second)
		Expect(ready()).To(Equal([]string{"b"}))
	})

	It("ends the use of a kept server at once when the store tells that it is gone", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		set.Apply(era, []backends.Change{{ID: "b"}}, later(6))
		Expect(ready()).To(Equal([]string{"a"}))
	})

	It("keeps through a second era what it kept in the first", func() {
		set.Replace(era, []backends.Server{a}, later(5))
		set.Replace(era+time.Second, []backends.Server{a}, position.Position{Era: 3, Revision: 4})
		set.Settle(era + 2500*time.Millisecond)
		Expect(ready()).To(Equal([]string{"a", "b"}))
		set.Settle(era + 3*time.Second)
		Expect(ready()).To(Equal([]string{"a"}))
	})

	// Each order in which an instance hears of the end of a server, of its next life and
	// of the new era.
	DescribeTable("uses a server", func(before []backends.Change, copied []backends.Server, after []backends.Change, want bool) {
		for i, c := range before {
			set.Apply(time.Second, []backends.Change{c}, at(int64(91+i)))
		}
		set.Replace(era, copied, later(5))
		for i, c := range after {
			set.Apply(era+time.Second, []backends.Change{c}, later(int64(6+i)))
		}
		set.Settle(era + 2*time.Second)
		used := false
		for _, id := range ready() {
			used = used || id == "a"
		}
		Expect(used).To(Equal(want))
	},
		Entry("that nothing was heard of", nil, []backends.Server{a, b}, nil, true),
		Entry("not that said that it leaves, though the copy has it ready",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, nil, false),
		Entry("not that said so and writes it again",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &leavingA}}, false),
		Entry("not that left the list",
			[]backends.Change{{ID: "a"}}, []backends.Server{a, b}, nil, false),
		Entry("that left the list and writes again",
			[]backends.Change{{ID: "a"}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &a}}, true),
		Entry("that started again before the era, though the copy has its former life",
			[]backends.Change{{ID: "a"}, {ID: "a", Server: &reborn}}, []backends.Server{b}, []backends.Change{{ID: "a", Server: &reborn}}, true),
		Entry("whose next life the copy has",
			[]backends.Change{{ID: "a"}}, []backends.Server{reborn, b}, nil, true),
		Entry("that starts again in the era",
			[]backends.Change{{ID: "a", Server: &leavingA}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &reborn}}, true),
		// Its next life listens at its address, and leaves: two lives were seen to leave.
		Entry("not whose former life the copy has",
			[]backends.Change{{ID: "a", Server: &leavingA}, {ID: "a", Server: &reborn}, {ID: "a", Server: &leavingReborn}}, []backends.Server{a, b}, nil, false),
		Entry("in its next life, though the copy has the former one",
			[]backends.Change{{ID: "a", Server: &reborn}}, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &reborn}}, true),
		Entry("not that left in the era", nil, []backends.Server{a, b}, []backends.Change{{ID: "a", Server: &leavingA}}, false),
		Entry("not that left before, unheard, and that the copy lacks", nil, []backends.Server{b}, nil, false),
	)

	// All servers had ended before the copy came back.
	It("brings no server back to an instance that knew of none", func() {
		set.Apply(time.Second, []backends.Change{{ID: "a"}, {ID: "b"}}, at(91))
		set.Replace(era, []backends.Server{a, b}, later(5))
		Expect(ready()).To(BeEmpty())
	})

	It("believes at last a server that the store goes on listing", func() {
		set.Apply(time.Second, []backends.Change{{ID: "a"}}, at(91))
		set.Replace(era, []backends.Server{a, b}, later(5))
		set.Settle(era + 4*time.Second)
		Expect(ready()).To(Equal([]string{"b"}))
		set.Settle(era + 5*time.Second)
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})
})
