package spread_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// Guards against a prompt of 300,000 tokens being refused after three seconds on a fleet
// of 69 engines of which most are idle. Two other prompts, prefilled by 17 engines each,
// raised the mean over all engines to 123 ms, above the limit of 102 ms for that length.
var _ = Describe("a large prompt on a large fleet", func() {
	request := spread.Request{Prompt: 300_000, Answer: 1600, FirstTarget: 4 * time.Second, GapTarget: time.Second, MaxHold: 9 * time.Second}

	busy := func(fleet, engines int) *fleet {
		f := newFleet(fleet)
		for _, s := range f.servers[len(f.servers)-engines:] {
			f.ledger.Add(s.ID, spread.Load{Prefill: time.Second, UnconfirmedPrefill: time.Second, Parts: 1})
		}
		return f
	}

	It("does not wait for engines that it does not need", func() {
		p, v := busy(69, 34).place(request)
		Expect(v).To(Equal(spread.Placed), p.Reason.String())
		Expect(p.FirstEvent).To(BeNumerically("<", time.Second))
	})

	It("waits while too few engines are free", func() {
		p, v := busy(69, 60).place(request)
		Expect(v).To(Equal(spread.Hold))
		Expect(p.Reason).To(Equal(spread.ForPrefill))
	})

	It("waits on a small fleet while half of it is busy with prefill", func() {
		_, v := busy(17, 9).place(request)
		Expect(v).To(Equal(spread.Hold))
	})
})
