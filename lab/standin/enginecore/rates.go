package enginecore

import "time"

// rateMemory is the part of the sums that one step leaves in place.
const rateMemory = 0.98

// recentRates are the decaying sums behind the rates that an engine publishes.
type recentRates struct {
	tokens  float64
	prefill float64
	steps   float64
	all     float64
}

func (r *recentRates) note(plan stepPlan, d time.Duration) {
	r.steps = r.steps*rateMemory + 1
	r.all = r.all*rateMemory + d.Seconds()
	tokens := int64(0)
	for _, n := range plan.prefill {
		tokens += n
	}
	if tokens == 0 {
		return
	}
	r.tokens = r.tokens*rateMemory + float64(tokens)
	r.prefill = r.prefill*rateMemory + d.Seconds()
}

// tokensPerSecond is the prefill rate over recent steps that computed prompts.
func (r *recentRates) tokensPerSecond() float64 {
	if r.prefill == 0 {
		return 0
	}
	return r.tokens / r.prefill
}

// stepMS is the mean duration of recent steps in milliseconds.
func (r *recentRates) stepMS() float64 {
	if r.steps == 0 {
		return 0
	}
	return r.all / r.steps * 1000
}
