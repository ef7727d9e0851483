package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// Guards against long waits of all deep prompts of a burst: several instances see the
// engines' backlog fall at the same moment and send before they hear of each other. Two
// prompts take the same engine, which has memory for one; the helpers of the other count
// as busy until the first is answered.
var _ = Describe("prompts held back at several instances", func() {
	turn := func(id string, tokens int64) spread.Turn { return spread.Turn{Request: id, Weight: tokens} }

	// waitedTurn is the turn, at time zero, of a prompt that has waited for that long.
	waitedTurn := func(id string, tokens int64, waited time.Duration) spread.Turn {
		return spread.NewTurn(engine, id, tokens, 0, -waited, 4*time.Second)
	}

	held := func(t spread.Turn) spread.Waiting { return spread.Waiting{First: t, HasFirst: true} }

	It("go one at a time, the smaller first", func() {
		a, b := spread.NewQueue(), spread.NewQueue()
		a.Hold(turn("x", 200_000))
		b.Hold(turn("y", 150_000))
		a.ApplyReport(0, "b", b.LocalState(0))
		b.ApplyReport(0, "a", a.LocalState(0))
		Expect(a.MustWait(0, turn("x", 200_000))).To(BeTrue())
		Expect(b.MustWait(0, turn("y", 150_000))).To(BeFalse())
		b.Release("y")
		a.ApplyReport(0, "b", b.LocalState(0))
		Expect(a.MustWait(0, turn("x", 200_000))).To(BeFalse())
	})

	// Guards against prompts of customers with priority that wait behind shorter ones of others
	// while there is too little room for all.
	It("go by priority, but behind one that can still be in time", func() {
		urgent, other := waitedTurn("x", 200_000, time.Second), waitedTurn("y", 120_000, time.Second)
		other.Rank = 1
		q := spread.NewQueue()
		q.ApplyReport(0, "b", held(urgent))
		Expect(q.MustWait(0, other)).To(BeTrue())
		q.ApplyReport(0, "b", held(other))
		Expect(q.MustWait(0, urgent)).To(BeFalse())
		late := waitedTurn("x", 200_000, 4*time.Second)
		Expect(q.MustWait(0, late)).To(BeTrue())
	})

	// Guards against a customer whose many short prompts hold up those of all others.
	It("go by the shares of their customers, among equal ranks and while they can be in time", func() {
		within, over := waitedTurn("x", 200_000, time.Second), waitedTurn("y", 120_000, time.Second)
		over.OverShare = true
		q := spread.NewQueue()
		q.ApplyReport(0, "b", held(within))
		Expect(q.MustWait(0, over)).To(BeTrue())
		urgent := over
		urgent.Rank = -1
		Expect(q.MustWait(0, urgent)).To(BeFalse())
		q.ApplyReport(0, "b", held(over))
		Expect(q.MustWait(0, within)).To(BeFalse())
		late := waitedTurn("x", 200_000, 4*time.Second)
		Expect(q.MustWait(0, late)).To(BeTrue())
		lateOver := over
		lateOver.Arrived = -4 * time.Second
		q.ApplyReport(0, "b", held(lateOver))
		Expect(q.MustWait(0, late)).To(BeTrue(), "late ones go by length alone")
	})

	// Guards against instances that order prompts by an outdated share of the customer.
	It("are reported again when their customer goes over its share", func() {
		q, t := spread.NewQueue(), waitedTurn("x", 200_000, 0)
		q.Hold(t)
		q.TakeState(0)
		t.OverShare = true
		Expect(q.Update(0, func(q *spread.Queue) { q.Hold(t) })).To(BeTrue())
	})

	It("have one order even if they are equally long", func() {
		a := spread.NewQueue()
		a.ApplyReport(0, "b", held(turn("y", 100_000)))
		Expect(a.MustWait(0, turn("x", 100_000))).To(BeFalse())
		Expect(a.MustWait(0, turn("z", 100_000))).To(BeTrue())
	})

	It("let those go first whose first event can still be in time", func() {
		a := spread.NewQueue()
		late := func(id string, tokens int64) spread.Turn {
			return spread.Turn{Request: id, Weight: tokens, Arrived: -time.Second, FirstTarget: time.Second, LateAfter: time.Second / 2}
		}
		a.ApplyReport(0, "b", held(late("y", 100_000)))
		Expect(a.MustWait(0, turn("x", 300_000))).To(BeFalse())
		Expect(a.MustWait(0, late("x", 300_000))).To(BeTrue())
	})

	// Guards against refusing a prompt of 280,000 tokens after three seconds because at
	// any moment one of 75 instances holds a smaller one, however short its wait.
	It("let a prompt that has waited long go before a smaller one that just arrived", func() {
		a := spread.NewQueue()
		a.ApplyReport(0, "b", held(waitedTurn("y", 200_000, 0)))
		Expect(a.MustWait(0, waitedTurn("x", 280_000, 300*time.Millisecond))).To(BeTrue())
		Expect(a.MustWait(0, waitedTurn("x", 280_000, 500*time.Millisecond))).To(BeFalse())
		a.ApplyReport(0, "b", held(waitedTurn("y", 100_000, 0)))
		Expect(a.MustWait(0, waitedTurn("x", 280_000, 500*time.Millisecond))).To(BeTrue(), "a much smaller one still goes first")
	})

	// Reports of the changing rank of a prompt were half of all messages between 75
	// instances.
	It("are reported again only periodically while nothing changes", func() {
		a := spread.NewQueue()
		hold := func(q *spread.Queue) { q.Hold(spread.NewTurn(engine, "x", 200_000, 0, 0, 4*time.Second)) }
		Expect(a.Update(0, hold)).To(BeTrue())
		a.TakeState(0)
		Expect(a.Update(100*time.Millisecond, hold)).To(BeFalse())
		Expect(a.Update(300*time.Millisecond, hold)).To(BeTrue(), "a peer may have missed it")
	})

	// Guards against refusing the largest prompts because smaller ones that also exceed an
	// engine go first.
	It("go by arrival if they are larger than an engine", func() {
		a := spread.NewQueue()
		a.ApplyReport(0, "b", held(waitedTurn("y", 320_000, 0)))
		Expect(a.MustWait(0, waitedTurn("x", 600_000, 10*time.Millisecond))).To(BeFalse())
	})

	// A hung or stopped instance must not block the prompts of all others.
	It("do not wait for a peer that is silent or has left", func() {
		a := spread.NewQueue()
		a.ApplyReport(0, "b", held(turn("y", 100_000)))
		Expect(a.MustWait(spread.TurnTTL, turn("x", 200_000))).To(BeTrue())
		Expect(a.MustWait(spread.TurnTTL+1, turn("x", 200_000))).To(BeFalse())
		a.ApplyReport(time.Second, "b", held(turn("y", 100_000)))
		a.RetainPeers(map[string]bool{"c": true})
		Expect(a.MustWait(time.Second, turn("x", 200_000))).To(BeFalse())
	})

	It("are placed only when no other goes first, or at the hold limit", func() {
		f := newFleet(21)
		r := spread.Request{Prompt: 200_000, Answer: 800, MustWait: true, MaxHold: 9 * time.Second}
		_, v := f.place(r)
		Expect(v).To(Equal(spread.Hold))
		r.Waited = r.MaxHold
		_, v = f.place(r)
		Expect(v).To(Equal(spread.Placed))
	})
})
