package enginecore

import "time"

// rateDecay is the factor by which each step decays the sums.
const rateDecay = 0.98

// recentRates holds exponentially decaying sums for the rates in load reports.
type recentRates struct {
	prefillTokens  float64
	prefillSeconds float64
	steps          float64
	stepSeconds    float64
}

func (r *recentRates) recordStep(plan stepPlan, d time.Duration) {
	r.steps = r.steps*rateDecay + 1
	r.stepSeconds = r.stepSeconds*rateDecay + d.Seconds()
	tokens := int64(0)
	for _, n := range plan.prefill {
		tokens += n
	}
	if tokens == 0 {
		return
	}
	r.prefillTokens = r.prefillTokens*rateDecay + float64(tokens)
	r.prefillSeconds = r.prefillSeconds*rateDecay + d.Seconds()
}

// tokensPerSecond returns the prefill rate over recent steps with prefill.
func (r *recentRates) tokensPerSecond() float64 {
	if r.prefillSeconds == 0 {
		return 0
	}
	return r.prefillTokens / r.prefillSeconds
}

// stepMS returns the mean duration of recent steps in milliseconds.
func (r *recentRates) stepMS() float64 {
	if r.steps == 0 {
		return 0
	}
	return r.stepSeconds / r.steps * 1000
}
