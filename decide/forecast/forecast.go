package forecast

import (
	"math"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/admission"
)

const (
	// rateErrors is the number of standard errors of the release rate that the expected wait must allow for.
	// The rate of the last seconds rests on few prompts, five on 54 engines.
	rateErrors = 1.5
	// minWaitedShare is the share of its time that a request is held before it may be refused early: the
	// wait of one that has just arrived depends mostly on those that arrive after it.
	minWaitedShare = 0.25
	// minDrainShare bounds the rate at which held work is expected to decrease, as a share of the release rate.
	minDrainShare = 0.05
	// minAhead is the number of prompts that must precede a request that is refused early. One that
	// waits for memory for long says little about the others.
	minAhead = 3
	// minRetryAfter and defaultRetryAfter bound and replace a Retry-After that is not known.
	minRetryAfter     = 150 * time.Millisecond
	defaultRetryAfter = 2500 * time.Millisecond
)

// Forecast refuses deep prompts that are not expected to be placed in time.
type Forecast struct {
	// Flow is the flow of deep prompts, in seconds of prefill.
	Flow *Flow
}

// New returns a forecast that has observed nothing.
func New() *Forecast { return &Forecast{Flow: NewFlow()} }

// Wait is the expected time until work is released, or false while it is not known.
func (f *Forecast) Wait(now, work time.Duration) (time.Duration, bool) {
	rates, known := f.Flow.Rates(now)
	if !known || rates.Released <= 0 {
		return 0, false
	}
	return time.Duration(float64(work) / rates.Released), true
}

// Check implements admission.Check.
func (f *Forecast) Check(now time.Duration, r admission.Request) admission.Decision {
	if !r.Deep || r.AheadPrompts < minAhead || float64(r.Waited) < minWaitedShare*float64(r.Latest) {
		return admission.Decision{}
	}
	wait, known := f.Wait(now, r.Ahead)
	margin := f.margin(now, r.Ahead/time.Duration(r.AheadPrompts))
	if !known || float64(wait) <= margin*float64(r.Latest-r.Waited) {
		return admission.Decision{}
	}
	return admission.Decision{Refuse: true, Reason: admission.NoCapacityInTime}
}

// margin is the factor by which an expected wait must exceed the time that is left, where prompts take
// mean on average. The number of prompts that were released is taken to vary like that of a Poisson process.
func (f *Forecast) margin(now, mean time.Duration) float64 {
	rates, _ := f.Flow.Rates(now)
	released := rates.Released * float64(f.Flow.measured(now)) / float64(max(1, mean))
	return 1 + rateErrors/math.Sqrt(max(1, released))
}

// RetryAfter is when the caller of a refused deep prompt may come back: once the held work, and
// what is added to it meanwhile, is released. rest is what is left of the caller's time, draw is
// uniform in [0, 1).
func (f *Forecast) RetryAfter(now, held, rest time.Duration, draw float64) time.Duration {
	rates, known := f.Flow.Rates(now)
	if !known || held <= 0 || rates.Released <= 0 {
		return max(minRetryAfter, min(defaultRetryAfter, rest))
	}
	drain := max(rates.Released-rates.Added, minDrainShare*rates.Released)
	wait := float64(held) / drain * (1 + draw)
	return max(minRetryAfter, time.Duration(min(wait, float64(rest))))
}
