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
