package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// Guards against refusals that cannot be explained: the mean backlog and the most free
// memory alone do not tell whether a prompt waited for its turn, for prefill or for
// memory.
var _ = Describe("a request that is not placed", func() {
	deep := spread.Request{Prompt: 200_000, Answer: 1600, FirstTarget: 3 * time.Second, GapTarget: time.Second, MaxHold: 9 * time.Second}

	DescribeTable("has the reason for its wait", func(each spread.Load, change func(*spread.Request), want spread.Reason) {
		f := newFleet(21)
		for _, s := range f.servers {
			f.ledger.Add(s.ID, each)
		}
		r := deep
		change(&r)
		p, v := f.place(r)
		Expect(v).To(Equal(spread.Hold))
		Expect(p.Reason).To(Equal(want), p.Reason.String())
	},
		Entry("another prompt goes first", spread.Load{}, func(r *spread.Request) { r.MustWait = true }, spread.ForTurn),
		Entry("pending prefill", spread.Load{UnconfirmedPrefill: 400 * time.Millisecond}, func(*spread.Request) {}, spread.ForPrefill),
		Entry("no free slot", spread.Load{Calls: 16}, func(r *spread.Request) { r.Prompt = 5000 }, spread.ForSlot),
		Entry("too little free memory", spread.Load{HeldTokens: 290_000, Calls: 1}, func(r *spread.Request) { r.Prompt = 400_000 }, spread.ForMemory),
		Entry("gaps in answers in progress", spread.Load{Calls: 15, HeldTokens: 60_000}, func(r *spread.Request) { r.TightestGap = 70 * time.Millisecond }, spread.ForHarm),
	)

	It("has no reason once it is placed", func() {
		p, v := newFleet(21).place(deep)
		Expect(v).To(Equal(spread.Placed))
		Expect(p.Reason).To(Equal(spread.NoReason))
	})
})
