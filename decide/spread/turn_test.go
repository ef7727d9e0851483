package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// Every deep prompt of a burst waits for four seconds: instances that hold
// prompts back all see the moment in which the engines have read enough, and
// send within milliseconds, before they hear of each other. Two prompts take the
// same engine, which has memory for one; the other has all engines that read for
// it counted as busy until the first is answered.
var _ = Describe("prompts held back at several instances", func() {
	turn := func(id string, tokens int64) spread.Turn { return spread.Turn{Request: id, Weight: tokens} }

	// place is the turn of a prompt that has waited, at the time zero.
	place := func(id string, tokens int64, waited time.Duration) spread.Turn {
		return spread.TurnOf(engine, id, tokens, -waited, 4*time.Second)
	}

	held := func(t spread.Turn) spread.Waiting { return spread.Waiting{First: t, Held: true} }

	It("go one after the other, the smaller first", func() {
		a, b := spread.NewQueue(), spread.NewQueue()
		a.Hold(turn("x", 200_000))
		b.Hold(turn("y", 150_000))
		a.Report(0, "b", b.Own(0))
		b.Report(0, "a", a.Own(0))
		Expect(a.Behind(0, turn("x", 200_000))).To(BeTrue())
		Expect(b.Behind(0, turn("y", 150_000))).To(BeFalse())
		b.Leave("y")
		a.Report(0, "b", b.Own(0))
		Expect(a.Behind(0, turn("x", 200_000))).To(BeFalse())
	})

	It("are in one order also when they are of one length", func() {
		a := spread.NewQueue()
		a.Report(0, "b", held(turn("y", 100_000)))
		Expect(a.Behind(0, turn("x", 100_000))).To(BeFalse())
		Expect(a.Behind(0, turn("z", 100_000))).To(BeTrue())
	})

	It("let those go first that can still come in time", func() {
		a := spread.NewQueue()
		late := func(id string, tokens int64) spread.Turn {
			return spread.Turn{Request: id, Weight: tokens, Since: -time.Second, Useful: time.Second, LateAfter: time.Second / 2}
		}
		a.Report(0, "b", held(late("y", 100_000)))
		Expect(a.Behind(0, turn("x", 300_000))).To(BeFalse())
		Expect(a.Behind(0, late("x", 300_000))).To(BeTrue())
	})

	// A prompt of 280,000 tokens is refused after three seconds: at any moment one of
	// 75 instances holds a smaller one, however short it has waited.
	It("let one go that has waited long before a smaller one that just came", func() {
		a := spread.NewQueue()
		a.Report(0, "b", held(place("y", 200_000, 0)))
		Expect(a.Behind(0, place("x", 280_000, 300*time.Millisecond))).To(BeTrue())
		Expect(a.Behind(0, place("x", 280_000, 500*time.Millisecond))).To(BeFalse())
		a.Report(0, "b", held(place("y", 100_000, 0)))
		Expect(a.Behind(0, place("x", 280_000, 500*time.Millisecond))).To(BeTrue(), "a much smaller one still goes first")
	})

	// Half of all messages between 75 instances told how the rank of a prompt changed.
	It("are not told again as time goes by", func() {
		a := spread.NewQueue()
		hold := func(q *spread.Queue) { q.Hold(spread.TurnOf(engine, "x", 200_000, 0, 4*time.Second)) }
		Expect(a.Update(0, hold)).To(BeTrue())
		a.Tell(0)
		Expect(a.Update(100*time.Millisecond, hold)).To(BeFalse())
		Expect(a.Update(300*time.Millisecond, hold)).To(BeTrue(), "a peer may have missed it")
	})

	// The largest prompts of all are refused while smaller ones that no engine can hold
	// either go first.
	It("let prompts larger than an engine go by their arrival", func() {
		a := spread.NewQueue()
		a.Report(0, "b", held(place("y", 320_000, 0)))
		Expect(a.Behind(0, place("x", 600_000, 10*time.Millisecond))).To(BeFalse())
	})

	// All prompts wait for one at an instance that froze, or is gone.
	It("do not wait for a peer that went silent or left", func() {
		a := spread.NewQueue()
		a.Report(0, "b", held(turn("y", 100_000)))
		Expect(a.Behind(spread.TurnBelieved, turn("x", 200_000))).To(BeTrue())
		Expect(a.Behind(spread.TurnBelieved+1, turn("x", 200_000))).To(BeFalse())
		a.Report(time.Second, "b", held(turn("y", 100_000)))
		a.Keep(map[string]bool{"c": true})
		Expect(a.Behind(time.Second, turn("x", 200_000))).To(BeFalse())
	})

	It("are placed only when no other goes first", func() {
		f := newFleet(21)
		r := spread.Request{Prompt: 200_000, Answer: 800, Behind: true, Patience: 9 * time.Second}
		_, v := f.place(r)
		Expect(v).To(Equal(spread.Hold))
		r.Waited = r.Patience
		_, v = f.place(r)
		Expect(v).To(Equal(spread.Placed))
	})
})
