package relay

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/forecast"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/buckets"
)

// earlyRefusals refuses requests by the forecast of the relay's loads.
type earlyRefusals struct{ relay *Relay }

func (r *Relay) enableEarlyRefusals() {
	if !r.EarlyRefusals {
		return
	}
	r.loads.EnableForecast()
	r.admission = append(r.admission, earlyRefusals{r})
}

// Check implements admission.Check.
func (e earlyRefusals) Check(now time.Duration, req admission.Request) (d admission.Decision) {
	e.relay.loads.WithForecast(func(f *forecast.Forecast, _ *spread.Queue) { d = f.Check(now, req) })
	return d
}

// workAhead is the held prompts that precede this one. It also records the first forecast of its wait.
// Nothing is ahead without early refusals.
func (x *exchange) workAhead() (ahead spread.HeldWork) {
	r := x.relay
	if !r.EarlyRefusals || !x.isDeep() {
		return ahead
	}
	r.loads.WithForecast(func(f *forecast.Forecast, q *spread.Queue) {
		ahead = q.Ahead(r.now(), x.turn())
		if wait, known := f.Wait(r.now(), ahead.Prefill); known && x.heldFor == 0 {
			x.forecast = wait
		}
	})
	return ahead
}

// recordForecastError records by how much the wait of a request that was held differs from the forecast.
func (x *exchange) recordForecastError() {
	if x.forecast > 0 {
		x.relay.scope.Histogram("forecast_error_seconds", buckets.Durations).RecordDuration((x.heldFor - x.forecast).Abs())
	}
}

// retryAfterNoCapacity is when the caller of a request may come back that was refused for lack of
// capacity.
func (x *exchange) retryAfterNoCapacity() (after time.Duration) {
	r := x.relay
	if !r.EarlyRefusals || !x.isDeep() {
		return retryAfterNoRoom
	}
	r.loads.WithForecast(func(f *forecast.Forecast, q *spread.Queue) {
		after = f.RetryAfter(r.now(), q.Held(r.now()).Prefill, x.remaining(), rand.Float64())
	})
	return after
}
