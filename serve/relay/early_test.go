package relay

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/result"
)

var _ = Describe("early refusals", func() {
	var r *Relay
	var now time.Duration
	var mu sync.Mutex
	engine := &route.Engine{
		Slots: 12, KVCacheTokens: 344_250, PrefillTokensPerSecond: 154_000, TimePerMillionPairs: 162 * time.Microsecond, MeanAnswerTokens: 1300,
	}
	clock := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	advance := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now += d
	}
	newRelay := func(early bool) {
		now = 0
		r = &Relay{EarlyRefusals: early, now: clock, scope: tally.NoopScope, loads: loads.NewLocal(clock, func() float64 { return 0 })}
		r.enableEarlyRefusals()
	}
	deep := func(id string) *exchange {
		rt := &route.Route{FirstEventTarget: 4 * time.Second, Timeout: 15 * time.Second}
		return &exchange{
			relay: r, req: &Request{ID: id, PromptTokens: 300_000, AnswerTokens: 1300, Arrived: time.Now()}, route: rt,
			service: &route.Service{Engine: engine}, state: attempt.New(rt), timeLimit: rt.Timeout, started: clock(),
		}
	}
	// crowd holds n prompts that precede all others and releases one in each step.
	crowd := func(n, released int, step time.Duration) {
		for i := range n {
			r.loads.Hold(spread.NewTurn(engine, fmt.Sprint("held", i), 200_000, -1, 0, time.Minute))
		}
		for i := range released {
			advance(step)
			r.loads.Release(fmt.Sprint("held", i))
		}
	}
	check := func(x *exchange) admission.Decision {
		return earlyRefusals{r}.Check(clock(), admission.Request{
			Deep: true, Waited: 3 * time.Second, Latest: 9 * time.Second, MaxHold: 9 * time.Second,
			Ahead: x.workAhead().Prefill, AheadPrompts: x.workAhead().Prompts,
		})
	}

	It("are made only with the setting", func() {
		newRelay(false)
		Expect(r.admission).To(BeEmpty())
		Expect(deep("x").workAhead()).To(BeZero())
		Expect(deep("x").retryAfterNoCapacity()).To(Equal(retryAfterNoRoom))
		newRelay(true)
		Expect(r.admission).To(HaveLen(1))
	})

	It("refuse a prompt behind more than is released in its time, and hold one behind less", func() {
		newRelay(true)
		crowd(60, 6, 500*time.Millisecond)
		Expect(check(deep("x")).Refuse).To(BeTrue())
		newRelay(true)
		crowd(60, 55, 60*time.Millisecond)
		Expect(check(deep("x")).Refuse).To(BeFalse())
	})

	It("answer with 2001, not run, and a time to come back within the caller's", func() {
		newRelay(true)
		crowd(60, 6, 500*time.Millisecond)
		x := deep("x")
		x.admission = check(x)
		err := x.placementError(spread.Plan{}, spread.Overloaded)
		Expect(err.Code).To(Equal(result.Overloaded))
		Expect(err.NotRun).To(BeTrue())
		Expect(err.RetryAfter).To(BeNumerically("~", 15*time.Second, time.Second), "as long as the caller waits")
	})

	// Guards against callers that are refused by many requests at once and come back together.
	It("spread the times to come back, under concurrent use", func() {
		newRelay(true)
		crowd(60, 56, 60*time.Millisecond)
		times := make([]time.Duration, 100)
		var wg sync.WaitGroup
		for i := range times {
			wg.Go(func() { times[i] = deep(fmt.Sprint("x", i)).retryAfterNoCapacity() })
		}
		wg.Wait()
		seen := map[time.Duration]bool{}
		for _, t := range times {
			Expect(t).To(And(BeNumerically(">=", 150*time.Millisecond), BeNumerically("<", 2*time.Second)))
			seen[t.Round(time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 30))
	})

	It("leave the time to come back as it was while nothing is known", func() {
		newRelay(true)
		Expect(deep("x").retryAfterNoCapacity()).To(Equal(retryAfterNoRoom))
	})
})
