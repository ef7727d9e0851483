// Package forecast predicts when the deep prompts that instances hold back are placed on engines, from
// the work that all instances hold and the rate at which they release it. It has no I/O or clock.
package forecast

import (
	"maps"
	"time"
)

const (
	// slot and slots are the resolution and the number of the spans over which rates are measured.
	slot  = 250 * time.Millisecond
	slots = 12
	// maxAge is how long the rate counts after the last observation: an instance that was frozen
	// or cut off does not know what the others released meanwhile.
	maxAge = 2 * time.Second
	// minSpan is for how long work must have been held without a pause before its rates are known.
	minSpan = 2 * time.Second
)

// Flow measures the rates at which all instances add work to what they hold and release it, as the
// rises and falls of the totals that they report. A total that rises and falls between two reports
// shows only the difference.
//
// Flow is not safe for concurrent use.
type Flow struct {
	held map[string]time.Duration
	// spans are the amounts of work by span of time, newest is the number of the newest span.
	spans  [slots]span
	newest int64
	// since is from when on work has been held without a pause, lastSeen when it was last observed.
	since, lastSeen time.Duration
}

type span struct{ added, released time.Duration }

// NewFlow returns a flow that has observed nothing.
func NewFlow() *Flow { return &Flow{held: map[string]time.Duration{}, lastSeen: -maxAge - 1} }

// Observe records the prefill time of what one instance holds at now.
func (f *Flow) Observe(now time.Duration, instance string, held time.Duration) {
	before := f.held[instance]
	if held == 0 && before == 0 {
		return
	}
	if now-f.lastSeen > maxAge {
		clear(f.held)
		before = held
	}
	if len(f.held) == 0 {
		f.restart(now)
	}
	f.lastSeen = now
	f.advance(now)
	s := &f.spans[f.newest%slots]
	s.added += max(0, held-before)
	s.released += max(0, before-held)
	f.held[instance] = held
	if held == 0 {
		delete(f.held, instance)
	}
}

// Forget drops what an instance holds that no longer reports. Its work does not count as released.
func (f *Flow) Forget(instance string) { delete(f.held, instance) }

// Retain drops what instances hold for which keep returns false.
func (f *Flow) Retain(keep func(instance string) bool) {
	maps.DeleteFunc(f.held, func(instance string, _ time.Duration) bool { return !keep(instance) })
}

// restart begins to measure anew. While engines take prompts at once, their rate is not known from what
// is released: it is what arrives.
func (f *Flow) restart(now time.Duration) {
	f.spans = [slots]span{}
	f.newest, f.since = int64(now/slot), now
}

// advance clears the spans that have begun since the last observation.
func (f *Flow) advance(now time.Duration) {
	current := int64(now / slot)
	for n := max(f.newest, current-slots) + 1; n <= current; n++ {
		f.spans[n%slots] = span{}
	}
	f.newest = max(f.newest, current)
}

// Rates are the prefill time that all instances added to what they hold and released from it, in
// seconds per second.
type Rates struct{ Added, Released float64 }

// Rates returns the rates of the last seconds, or false while they are not known.
func (f *Flow) Rates(now time.Duration) (Rates, bool) {
	if len(f.held) == 0 || now-f.lastSeen > maxAge || now-f.since < minSpan {
		return Rates{}, false
	}
	f.advance(now)
	var sum span
	for _, s := range f.spans {
		sum.added += s.added
		sum.released += s.released
	}
	over := f.measured(now)
	return Rates{Added: float64(sum.added) / float64(over), Released: float64(sum.released) / float64(over)}, true
}

// measured is the time over which rates are measured.
func (f *Flow) measured(now time.Duration) time.Duration {
	return min(now-f.since, (slots-1)*slot+now%slot)
}
