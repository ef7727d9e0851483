package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

var _ = Describe("an evacuated data centre", func() {
	const now = 10 * time.Second
	a := backends.Server{ID: "a", Life: 1000, Service: "s", DataCentre: "dc-1"}
	var set *backends.Set
	ready := func() int { return len(set.Snapshot().Ready("s")) }
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{a}, at(5))
		set.SetEvacuated(0, []string{"dc-1"}, false)
	})

	// Guards against requests to its servers after a restore of the store from a copy made before the
	// evacuation, which nobody took back.
	It("remains so in a new era until the evacuation has had the time to be written again", func() {
		set.SetEvacuated(now, nil, true)
		Expect(set.InGracePeriod()).To(BeTrue())
		set.SetEvacuated(now+time.Second, nil, false)
		Expect(ready()).To(BeZero())
		Expect(set.EndGracePeriods(now + 1999*time.Millisecond)).To(BeFalse())
		Expect(set.EndGracePeriods(now + 2*time.Second)).To(BeTrue())
		Expect(ready()).To(Equal(1))
	})

	// Guards against an evacuation that ends with the grace period although it was written again, and
	// against one that nobody can take back.
	It("remains so in a new era in which the evacuation is written again, until that is taken back", func() {
		set.SetEvacuated(now, nil, true)
		set.SetEvacuated(now+time.Second, []string{"dc-1"}, false)
		Expect(set.EndGracePeriods(now + time.Hour)).To(BeFalse())
		Expect(ready()).To(BeZero())
		set.SetEvacuated(now+time.Hour, nil, false)
		Expect(ready()).To(Equal(1))
	})

	// Guards against requests to its servers after two restores in a row.
	It("remains so in a second new era", func() {
		set.SetEvacuated(now, nil, true)
		set.SetEvacuated(now+time.Second, nil, true)
		Expect(set.EndGracePeriods(now + 2*time.Second)).To(BeFalse())
		Expect(ready()).To(BeZero())
	})

	// Guards against servers that crash as their data centre comes back: they have become cold, and the
	// entries that say so arrive after the end of the evacuation.
	It("has cold servers until their entries have had the time to arrive", func() {
		const usual = time.Minute
		set.SetEvacuated(now, nil, false)
		Expect(set.Snapshot().ColdUntil("a", usual)).To(Equal(now + 2*time.Second))
		cold := a
		cold.Cold = backends.ColdTime{Known: true, Remaining: 10 * time.Second}
		set.Apply(now+time.Second, []backends.Change{{ID: "a", Server: &cold}}, at(6))
		Expect(set.Snapshot().ColdUntil("a", usual)).To(Equal(now + 11*time.Second))
	})

	// Guards against a cold time that is forgotten while the data centre is evacuated.
	It("has servers that stay cold by their entries", func() {
		cold := a
		cold.Cold = backends.ColdTime{Known: true, Remaining: 10 * time.Second}
		set.Apply(now, []backends.Change{{ID: "a", Server: &cold}}, at(6))
		set.SetEvacuated(now+time.Second, nil, false)
		Expect(set.Snapshot().ColdUntil("a", time.Minute)).To(Equal(now + 10*time.Second))
	})

	// Guards against warm servers elsewhere that count as cold.
	It("that comes back changes nothing for servers elsewhere", func() {
		b := backends.Server{ID: "b", Life: 1000, Service: "s", DataCentre: "dc-2"}
		set = backends.NewSet()
		set.Replace(0, []backends.Server{a, b}, at(5))
		set.SetEvacuated(0, []string{"dc-1"}, false)
		set.SetEvacuated(now, nil, false)
		Expect(set.Snapshot().ColdUntil("b", time.Minute)).To(BeZero())
	})
})
