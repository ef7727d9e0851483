package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

var _ = Describe("held work", func() {
	turn := func(id string, tokens int64) spread.Turn {
		return spread.NewTurn(engine, id, tokens, 0, 0, 4*time.Second)
	}
	queue := func() *spread.Queue {
		q := spread.NewQueue()
		q.CountHeld()
		return q
	}

	// Guards against instances that report more often although no deployment asked for the counts.
	It("is counted only where it is asked for", func() {
		q := spread.NewQueue()
		q.Hold(turn("a", 200_000))
		Expect(q.LocalState(0).Held).To(BeZero())
	})

	It("is that of all instances that still report", func() {
		q, peer := queue(), queue()
		q.Hold(turn("a", 200_000))
		peer.Hold(turn("b", 100_000))
		peer.Hold(turn("c", 300_000))
		q.ApplyReport(0, "peer", peer.LocalState(0))
		all := turn("a", 200_000).Prefill + turn("b", 100_000).Prefill + turn("c", 300_000).Prefill
		Expect(q.Held(0)).To(Equal(spread.HeldWork{Prompts: 3, Prefill: all}))
		Expect(q.Held(spread.TurnTTL + 1).Prompts).To(Equal(1))
	})

	It("ahead of a prompt is what precedes it in the common order", func() {
		q, peer := queue(), queue()
		q.Hold(turn("a", 200_000))
		q.Hold(turn("own", 250_000))
		peer.Hold(turn("b", 100_000))
		q.ApplyReport(0, "peer", peer.LocalState(0))
		Expect(q.Ahead(0, turn("own", 250_000)).Prefill).To(Equal(turn("a", 200_000).Prefill + turn("b", 100_000).Prefill))
		Expect(q.Ahead(0, turn("first", 90_000))).To(BeZero())
	})
})
