package relay

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/result"
)

var _ = Describe("fair shares of customers", func() {
	// fill places work on all servers so that none has a free slot, and records usage of customers, of whom
	// "greedy" has by far the most.
	fill := func(x *scriptedExchange) {
		for _, id := range []string{"a", "b", "c"} {
			x.relay.loads.Place(func(func(string) spread.Load, *spread.Queue) (spread.Plan, spread.Verdict) {
				part := spread.Part{Server: backends.Server{ID: id}, Load: spread.Load{Calls: int64(x.service.Engine.Slots)}}
				return spread.Plan{Parts: []spread.Part{part}}, spread.Placed
			})
		}
		use := func(customer string, d time.Duration) {
			p := spread.Plan{Parts: []spread.Part{{Load: spread.Load{Prefill: d}}}}
			x.relay.loads.RecordUsage(admission.CustomerKey(customer), p)
		}
		use("greedy", time.Minute)
		for _, c := range []string{"b", "c", "d", "e", "f"} {
			use(c, time.Second)
		}
	}
	// play serves one request of each customer at once and returns them.
	play := func(keep bool, customers ...string) (all []*scriptedExchange) {
		x := newScripted(route.Stream, allRetries)
		if keep {
			x.relay.keepShares()
		}
		fill(x)
		var wg sync.WaitGroup
		for _, c := range customers {
			next := x.another(c)
			next.customer = c
			all = append(all, next)
			wg.Go(func() {
				defer GinkgoRecover()
				next.play()
			})
		}
		wg.Wait()
		return all
	}

	// Guards against requests of one customer that keep those of others waiting until all are refused.
	It("refuse a request of a customer over its share while requests of others wait", func() {
		all := play(true, "greedy", "b", "c")
		refused := all[0].sink.refused
		Expect(refused.Code).To(Equal(result.ShareExceeded))
		Expect(refused.NotRun).To(BeTrue())
		Expect(refused.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(all[0].heldFor).To(And(BeNumerically(">=", scriptedTarget), BeNumerically("<", all[1].heldFor)))
		Expect(all[1].sink.refused.Code).To(Equal(result.Overloaded))
		calls, _ := all[0].servers.counts()
		Expect(calls).To(BeZero())
		Expect(all[0].relay.loads.Check(all[0].relay.now(), all[0].admissionRequest()).Refuse).To(BeFalse(), "nobody waits any more")
	})

	DescribeTable("refuse nothing", func(keep bool, customers ...string) {
		for _, q := range play(keep, customers...) {
			Expect(q.sink.refused.Code).To(Equal(result.Overloaded))
		}
	},
		Entry("without the setting", false, "greedy", "b"),
		Entry("while nobody else waits", true, "greedy", "greedy"),
	)
})
