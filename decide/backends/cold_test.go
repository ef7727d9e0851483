package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

var _ = Describe("the cold time of a server", func() {
	const usual = 10 * time.Second
	zero := time.UnixMilli(1_000_000_000)
	// born returns the life of a server that started at a time of the local clock.
	born := func(at time.Duration) backends.Life { return backends.Life(zero.Add(at).UnixMilli()) }
	stating := func(life backends.Life, remaining time.Duration) backends.Server {
		return backends.Server{ID: "a", Service: "s", Life: life, Cold: backends.ColdTime{Known: true, Remaining: remaining}}
	}
	silent := func(life backends.Life) backends.Server { return backends.Server{ID: "a", Service: "s", Life: life} }
	var set *backends.Set
	apply := func(now time.Duration, v *backends.Server, revision int64) {
		Expect(set.Apply(now, []backends.Change{{ID: "a", Server: v}}, at(revision))).To(BeTrue())
	}
	until := func() time.Duration { return set.Snapshot().ColdUntil("a", usual) }
	BeforeEach(func() {
		set = backends.NewSet()
		set.SetClock(zero)
	})

	// Guards against cold times that are counted from another moment, or that later entries do not change.
	It("is what its entry states, from the moment at which that is received", func() {
		set.Replace(time.Minute, []backends.Server{stating(1, 4*time.Second)}, at(1))
		Expect(until()).To(Equal(64 * time.Second))
		running := stating(1, 7*time.Second)
		apply(2*time.Minute, &running, 2)
		Expect(until()).To(Equal(127 * time.Second))
		warm := stating(1, 0)
		apply(2*time.Minute+time.Second, &warm, 3)
		Expect(until()).To(Equal(121 * time.Second))
	})

	// Guards against a cold server that counts as warm because a later entry of it says nothing.
	It("is kept while later entries state none", func() {
		set.Replace(0, []backends.Server{stating(1, 4*time.Second)}, at(1))
		later := silent(1)
		apply(time.Second, &later, 2)
		Expect(until()).To(Equal(4 * time.Second))
	})

	// Guards against a server that is overrun because an instance with an older entry takes it for warm.
	It("is extended by other instances, but not shortened", func() {
		fromPeer := func(remaining time.Duration) *backends.Server {
			v := stating(1, remaining)
			v.Cold.FromPeer = true
			return &v
		}
		set.Replace(0, nil, at(1))
		apply(time.Second, fromPeer(4*time.Second), 2)
		apply(time.Second, fromPeer(0), 3)
		Expect(until()).To(Equal(5 * time.Second))
		apply(time.Second, fromPeer(6*time.Second), 4)
		Expect(until()).To(Equal(7 * time.Second))
	})

	// Guards against a starting server that other instances take for cold although it said that it is not.
	It("is stated to other instances also once it is over, if it was stated here", func() {
		set.Replace(0, []backends.Server{silent(1)}, at(1))
		stated := func(now time.Duration) backends.ColdTime { return set.Snapshot().ColdTime(now, "a", usual) }
		Expect(stated(time.Second)).To(Equal(backends.ColdTime{}))
		started := silent(born(time.Second))
		apply(time.Second, &started, 2)
		Expect(stated(2 * time.Second)).To(Equal(backends.ColdTime{Known: true, Remaining: 9 * time.Second}))
		Expect(stated(time.Minute)).To(Equal(backends.ColdTime{}))
		warm := stating(started.Life, 0)
		apply(3*time.Second, &warm, 3)
		Expect(stated(4 * time.Second)).To(Equal(backends.ColdTime{Known: true, At: at(3)}))
	})

	// Guards against warm servers that are listed as cold.
	It("makes it one of the cold servers until its end", func() {
		other := backends.Server{ID: "b", Service: "other", Cold: backends.ColdTime{Known: true, Remaining: time.Hour}}
		set.Replace(0, []backends.Server{stating(1, 4*time.Second), other}, at(1))
		cold := func(now time.Duration) (ids []string) {
			for _, v := range set.Snapshot().Cold(now, func(service string) (time.Duration, bool) { return usual, service == "s" }) {
				ids = append(ids, v.ID)
			}
			return ids
		}
		Expect(cold(3 * time.Second)).To(Equal([]string{"a"}))
		Expect(cold(4 * time.Second)).To(BeEmpty())
	})

	// Guards against instances that request each other's list without end, because each received
	// the same entry at another time.
	It("is not part of the digest, and not of the server", func() {
		other := backends.NewSet()
		set.Replace(time.Second, []backends.Server{stating(1, 4*time.Second)}, at(1))
		other.Replace(time.Minute, []backends.Server{silent(1)}, at(1))
		Expect(set.Snapshot().Digest).To(Equal(other.Snapshot().Digest))
		Expect(set.Snapshot().Ready("s")).To(Equal(other.Snapshot().Ready("s")))
	})

	// Guards against a started server that is overrun because its entry does not state the time.
	It("is the usual one from its appearance if its entry states none", func() {
		set.Replace(0, nil, at(1))
		first := silent(born(59 * time.Second))
		apply(time.Minute, &first, 2)
		Expect(until()).To(Equal(70 * time.Second))
		next := silent(born(89 * time.Second))
		apply(90*time.Second, &next, 3)
		Expect(until()).To(Equal(100 * time.Second))
	})

	DescribeTable("is none", func(prepare func()) {
		prepare()
		Expect(until()).To(BeZero())
	},
		Entry("if it is in the first list", func() { set.Replace(time.Minute, []backends.Server{silent(born(59 * time.Second))}, at(1)) }),
		Entry("if it has run for longer than the usual time", func() {
			set.Replace(0, nil, at(1))
			set.Replace(time.Minute, []backends.Server{silent(born(49 * time.Second))}, at(2))
		}),
		Entry("if the list lacked it for a while", func() {
			set.Replace(0, []backends.Server{silent(1)}, at(1))
			apply(time.Second, nil, 2)
			again := silent(1)
			apply(2*time.Second, &again, 3)
		}),
		Entry("if it is not listed", func() {}),
	)

	Describe("in the first list", func() {
		long := backends.Server{ID: "long", Service: "s", Life: born(-time.Hour)}
		first := func(now time.Duration, others ...backends.Server) {
			set.Replace(now, append(others, silent(born(-4*time.Second))), at(1))
		}

		// Guards against a started server that is overrun by an instance that starts after it.
		It("is the rest of the usual one if the instance started after it", func() {
			first(time.Second, long)
			Expect(until()).To(Equal(6 * time.Second))
			Expect(set.Snapshot().ColdUntil("long", usual)).To(BeZero())
			Expect(set.Snapshot().ColdUntil("a", 4*time.Second)).To(BeZero())
			Expect(set.Snapshot().ColdTime(time.Second, "a", usual)).To(Equal(backends.ColdTime{}))
		})

		// Guards against a server that said that it is warm and stays unused.
		It("is what its entry states", func() {
			warm := backends.Server{ID: "a", Service: "s", Life: born(-4 * time.Second), Cold: backends.ColdTime{Known: true}}
			set.Replace(time.Second, []backends.Server{long, warm}, at(1))
			Expect(until()).To(Equal(time.Second))
		})

		// Guards against a deployment that serves nothing at its start.
		It("is none if all servers started together", func() {
			first(time.Second,
				backends.Server{ID: "b", Service: "s", Life: born(-15 * time.Second)},
				backends.Server{ID: "c", Service: "s", Life: born(500 * time.Millisecond)})
			Expect(until()).To(BeZero())
		})

		// Guards against a wrong clock that takes warm servers out of use for long.
		DescribeTable("is never longer than the usual one, whatever the clock", func(wrong time.Duration) {
			set.SetClock(zero.Add(wrong))
			first(time.Second, long)
			Expect(until()).To(BeNumerically("<=", time.Second+usual))
		},
			Entry("an hour slow", -time.Hour), Entry("a little slow", -3*time.Second), Entry("a day slow", -24*time.Hour),
			Entry("a little fast", 3*time.Second), Entry("an hour fast", time.Hour),
		)
	})

	// Guards against a restarted server that is overrun because its restart goes unnoticed.
	It("is the usual one if it returns to the list and restarts cannot be told apart", func() {
		set.Replace(0, []backends.Server{silent(0)}, at(1))
		apply(time.Second, nil, 2)
		again := silent(0)
		apply(2*time.Second, &again, 3)
		Expect(until()).To(Equal(12 * time.Second))
	})

	// Guards against memory that grows with each server that was ever listed.
	It("is forgotten with its departure", func() {
		set.Replace(0, []backends.Server{stating(1, time.Hour)}, at(1))
		set.Replace(time.Second, nil, at(2))
		Expect(until()).To(Equal(time.Hour))
		set.Replace(time.Minute, nil, at(3))
		Expect(until()).To(BeZero())
	})
})
