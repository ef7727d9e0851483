package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// In a burst after the loss of six engines all cooks wait 1.5 s for the first
// words: more answers are asked for than there are slots, and each request waits
// in an engine's queue behind those that are late already.
var _ = Describe("requests that find no free slot", func() {
	short := spread.Request{Prompt: 5000, Answer: 1600, Useful: 300 * time.Millisecond, Patience: 900 * time.Millisecond}
	// withFree leaves so many slots free in a fleet of eight.
	withFree := func(free int64) *fleet {
		f := newFleet(8)
		for i, s := range f.servers {
			calls := int64(engine.Slots)
			if i == 5 {
				calls -= free
			}
			f.ledger.Add(s.ID, spread.Load{Calls: calls, HeldTokens: calls * 6000})
		}
		return f
	}
	after := func(f *fleet, waited time.Duration, rivals int, draw float64) spread.Verdict {
		r := short
		r.Waited, r.Rivals, r.Draw = waited, rivals, draw
		_, v := f.place(r)
		return v
	}

	It("wait, and are refused when their callers would not wait longer", func() {
		Expect(after(withFree(0), 0, 0, 0)).To(Equal(spread.Hold))
		Expect(after(withFree(0), short.Patience, 0, 0)).To(Equal(spread.NoRoom))
	})

	It("take the engine with a free slot", func() {
		p := must(withFree(1).place(short))
		Expect(p.Writer().ID).To(Equal("s05"))
	})

	It("let those go first that can still come in time", func() {
		late := 280 * time.Millisecond
		Expect(after(withFree(2), 0, 0, 0)).To(Equal(spread.Placed))
		Expect(after(withFree(2), late, 0, 0)).To(Equal(spread.Hold))
		Expect(after(withFree(10), late, 0, 0)).To(Equal(spread.Placed))
	})

	It("take a slot with the chance of one among all that wait", func() {
		Expect(after(withFree(2), 0, 10, 0.1)).To(Equal(spread.Placed))
		Expect(after(withFree(2), 0, 10, 0.3)).To(Equal(spread.Hold))
	})

	// An engine whose memory a deep prompt fills has free slots that nobody can use.
	It("do not count slots without memory", func() {
		f := withFree(4)
		f.ledger.Add("s05", spread.Load{HeldTokens: engine.Memory})
		Expect(after(f, 0, 0, 0)).To(Equal(spread.Hold))
	})

	// A prompt larger than a fast engine waited for a slot at an engine with memory
	// for it, of which there is none, and was refused with all engines idle.
	It("are not those for which no engine has memory", func() {
		fast := *engine
		fast.ReadPerSecond, fast.PairsPerMillion, fast.Memory = 1e6, 0, 100_000
		f := newFleet(4)
		p, v := spread.Choose(&fast, f.servers, f.ledger.Of, spread.Request{Fleet: 4, Prompt: 150_000, Answer: 100, Useful: 300 * time.Millisecond, Patience: 900 * time.Millisecond})
		Expect(v).To(Equal(spread.Placed))
		Expect(p.Helpers()).NotTo(BeEmpty())
	})

	It("are placed at once where they may not wait", func() {
		r := short
		r.Patience = 0
		_, v := withFree(0).place(r)
		Expect(v).To(Equal(spread.Placed))
	})
})

var _ = Describe("the count of requests that wait for a slot", func() {
	It("adds up all instances as long as they are heard", func() {
		a, b := spread.NewQueue(), spread.NewQueue()
		a.WaitForSlot(2)
		b.WaitForSlot(3)
		a.Report(0, "b", b.Own(0))
		Expect(a.Rivals(0)).To(Equal(5))
		Expect(a.Rivals(spread.TurnBelieved + 1)).To(Equal(2))
		b.WaitForSlot(-3)
		a.Report(0, "b", b.Own(0))
		Expect(a.Rivals(0)).To(Equal(2))
	})
})

// Six servers leave while the store is away. Each prompt that is sent to one of
// them is turned away and loses one of its two attempts; the server is passed over
// when it refused although it had a slot, and only then.
var _ = Describe("a server's calls", func() {
	DescribeTable("run at once if it has the slots", func(calls int64, slots int, want bool) {
		Expect(spread.Load{Calls: calls}.HasSlots(slots)).To(Equal(want))
	},
		Entry("some free", int64(3), 16, true),
		Entry("the refused one takes the last", int64(16), 16, true),
		Entry("full", int64(17), 16, false),
		Entry("slots not known", int64(0), 0, false),
	)
})
