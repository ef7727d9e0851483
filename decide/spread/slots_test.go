package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// Guards against a late first event for all requests when a burst follows the loss of six
// engines: there are more answers than slots, and in an engine's queue each request waits
// behind those that are already late.
var _ = Describe("requests that find no free slot", func() {
	short := spread.Request{Prompt: 5000, Answer: 1600, FirstTarget: 300 * time.Millisecond, MaxHold: 900 * time.Millisecond}
	// withFree returns a fleet of eight engines with that many free slots in all.
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
	verdictAfter := func(f *fleet, waited time.Duration, slotWaiters int, draw float64) spread.Verdict {
		r := short
		r.Waited, r.SlotWaiters, r.Draw = waited, slotWaiters, draw
		_, v := f.place(r)
		return v
	}

	It("wait, and are refused at the hold limit", func() {
		Expect(verdictAfter(withFree(0), 0, 0, 0)).To(Equal(spread.Hold))
		Expect(verdictAfter(withFree(0), short.MaxHold, 0, 0)).To(Equal(spread.Overloaded))
	})

	It("take the engine with a free slot", func() {
		p := must(withFree(1).place(short))
		Expect(p.Writer().ID).To(Equal("s05"))
	})

	It("let those go first whose first event can still be in time", func() {
		late := 280 * time.Millisecond
		Expect(verdictAfter(withFree(2), 0, 0, 0)).To(Equal(spread.Placed))
		Expect(verdictAfter(withFree(2), late, 0, 0)).To(Equal(spread.Hold))
		Expect(verdictAfter(withFree(10), late, 0, 0)).To(Equal(spread.Placed))
	})

	It("take a slot only with a probability that shares the free slots among all that wait", func() {
		Expect(verdictAfter(withFree(2), 0, 10, 0.1)).To(Equal(spread.Placed))
		Expect(verdictAfter(withFree(2), 0, 10, 0.3)).To(Equal(spread.Hold))
	})

	// Free slots of an engine whose memory a deep prompt fills cannot be used.
	It("do not count slots without memory", func() {
		f := withFree(4)
		f.ledger.Add("s05", spread.Load{HeldTokens: engine.KVCacheTokens})
		Expect(verdictAfter(f, 0, 0, 0)).To(Equal(spread.Hold))
	})

	// Guards against a prompt larger than the memory of a fast engine waiting for a slot
	// on an engine that could hold it. There is none, and it was refused with all engines
	// idle.
	It("do not include those that no engine can hold", func() {
		fast := *engine
		fast.PrefillTokensPerSecond, fast.TimePerMillionPairs, fast.KVCacheTokens = 1e6, 0, 100_000
		f := newFleet(4)
		p, v := spread.Choose(&fast, f.servers, f.ledger.Total, spread.Request{FleetSize: 4, Prompt: 150_000, Answer: 100, FirstTarget: 300 * time.Millisecond, MaxHold: 900 * time.Millisecond})
		Expect(v).To(Equal(spread.Placed))
		Expect(p.Helpers()).NotTo(BeEmpty())
	})

	It("are placed at once if they may not be held", func() {
		r := short
		r.MaxHold = 0
		_, v := withFree(0).place(r)
		Expect(v).To(Equal(spread.Placed))
	})
})

var _ = Describe("the count of requests that wait for a slot", func() {
	It("adds up the recent reports of all instances", func() {
		a, b := spread.NewQueue(), spread.NewQueue()
		a.WaitForSlot(2)
		b.WaitForSlot(3)
		a.ApplyReport(0, "b", b.LocalState(0))
		Expect(a.SlotWaiters(0)).To(Equal(5))
		Expect(a.SlotWaiters(spread.TurnTTL + 1)).To(Equal(2))
		b.WaitForSlot(-3)
		a.ApplyReport(0, "b", b.LocalState(0))
		Expect(a.SlotWaiters(0)).To(Equal(2))
	})
})

// While the store is down, servers that leave stay listed. A request that one of them
// rejects loses one of its two attempts. The server is passed over if it rejected the
// request although it had a free slot, and only then.
var _ = Describe("a server's calls", func() {
	DescribeTable("run at once if it has enough slots", func(calls int64, slots int, want bool) {
		Expect(spread.Load{Calls: calls}.HasSlots(slots)).To(Equal(want))
	},
		Entry("some free", int64(3), 16, true),
		Entry("the rejected call would take the last", int64(16), 16, true),
		Entry("full", int64(17), 16, false),
		Entry("number of slots unknown", int64(0), 0, false),
	)
})
