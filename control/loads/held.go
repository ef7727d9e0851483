package loads

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/forecast"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// EnableForecast makes this instance report what it holds back and measure at which rate all instances
// release it.
func (l *Loads) EnableForecast() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forecast = forecast.New()
	l.queue.CountHeld()
}

// WithForecast calls use with the forecast and the held prompts, under the lock of the module.
// EnableForecast must have been called before.
func (l *Loads) WithForecast(use func(*forecast.Forecast, *spread.Queue)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use(l.forecast, l.queue)
}

// observeHeld records what an instance holds back; the name of this instance itself is empty.
// l.mu must be held.
func (l *Loads) observeHeld(now time.Duration, instance string, w spread.Waiting) {
	if l.forecast != nil {
		l.forecast.Flow.Observe(now, instance, w.Held.Prefill)
	}
}

// forgetHeld drops what peers hold back whose reports have stopped. l.mu must be held.
func (l *Loads) forgetHeld(peers []string) {
	if l.forecast == nil {
		return
	}
	for _, peer := range peers {
		l.forecast.Flow.Forget(peer)
	}
}

// retainHeld drops what instances hold back that are not among the given peers. l.mu must be held.
func (l *Loads) retainHeld(peers map[string]bool) {
	if l.forecast != nil {
		l.forecast.Flow.Retain(func(instance string) bool { return instance == "" || peers[instance] })
	}
}

// encodeHeld adds to a report what the sender holds back.
func encodeHeld(r *peerpb.LoadReport, w spread.HeldWork) {
	r.HeldPrompts, r.HeldPrefillMs = uint32(w.Prompts), uint32(w.Prefill.Milliseconds())
}

// maxHeldPrompts and maxPrefill bound what a report may say. An instance holds 32 deep prompts at most,
// each of a minute of prefill at most.
const (
	maxHeldPrompts = 1000
	maxHeldPrefill = time.Hour
)

// decodeHeld decodes what encodeHeld added. Counts without prefill time or the reverse say nothing.
func decodeHeld(r *peerpb.LoadReport) spread.HeldWork {
	if r.HeldPrompts == 0 || r.HeldPrefillMs == 0 {
		return spread.HeldWork{}
	}
	return spread.HeldWork{
		Prompts: int(min(r.HeldPrompts, maxHeldPrompts)), Prefill: min(time.Duration(r.HeldPrefillMs)*time.Millisecond, maxHeldPrefill),
	}
}

// HeldDump is the held work of all instances and the rates at which they add to it and release it, in
// seconds of prefill per second.
type HeldDump struct {
	Prompts   int     `json:"prompts"`
	PrefillMs int64   `json:"prefill_ms"`
	Known     bool    `json:"rates_known"`
	Added     float64 `json:"added"`
	Released  float64 `json:"released"`
}

// dumpHeld returns nil without EnableForecast. l.mu must be held.
func (l *Loads) dumpHeld() *HeldDump {
	if l.forecast == nil {
		return nil
	}
	held := l.queue.Held(l.now())
	rates, known := l.forecast.Flow.Rates(l.now())
	return &HeldDump{Prompts: held.Prompts, PrefillMs: held.Prefill.Milliseconds(), Known: known, Added: rates.Added, Released: rates.Released}
}
