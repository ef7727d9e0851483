package room

import (
	"math"
	"time"
)

// Policy chooses among holders that are still being received the one that loses its memory for another one, which
// may be among them. It returns nil if the one that asks is to lose.
type Policy func(r *Room, now time.Duration, asks *Holder, candidates []*Holder) *Holder

// Largest takes from the holder of the most memory.
func Largest(_ *Room, _ time.Duration, _ *Holder, candidates []*Holder) (l *Holder) {
	for _, h := range candidates {
		if l == nil || h.bytes > l.bytes {
			l = h
		}
	}
	return l
}

// minAge is the age from which the progress of a holder counts.
const minAge = time.Second

// Slowest takes from the holder that is furthest from being complete in its time at the rate at which it comes. If
// all others can be in time, the one that asks loses.
func Slowest(_ *Room, now time.Duration, asks *Holder, candidates []*Holder) (worst *Holder) {
	most := 1.0
	for _, h := range candidates {
		if h == asks || now-h.began < minAge {
			continue
		}
		if lag := h.lag(now); lag > most {
			worst, most = h, lag
		}
	}
	return worst
}

// lag is the time that a holder needs to be complete at its present rate, in parts of the time that it has left. One
// of unknown length is taken for half received.
func (h *Holder) lag(now time.Duration) float64 {
	if now-h.heard >= rateWindow {
		return math.Inf(1)
	}
	h.turnWindow(now)
	left := (h.Until - now).Seconds()
	missing := float64(h.Length - h.received)
	if h.Length == Unknown {
		missing = float64(h.received)
	}
	if left <= 0 || h.rate == 0 {
		return math.Inf(1)
	}
	return missing / h.rate / left
}

// SlowestThenShare is Slowest, and if all others can be in time takes from the customer that has more memory than
// any other one, that of the holder that asks included: its largest holder, of several the newest. Customers within their
// equal share keep what they have.
func SlowestThenShare(r *Room, now time.Duration, asks *Holder, candidates []*Holder) (victim *Holder) {
	if h := Slowest(r, now, asks, candidates); h != nil {
		return h
	}
	most := max(r.heldBy(asks.Customer), r.equalShare())
	for _, h := range candidates {
		held := r.heldBy(h.Customer)
		if held > most || held == most && victim != nil && h.bytes >= victim.bytes {
			victim, most = h, held
		}
	}
	return victim
}

// heldBy returns the memory of a customer in the tier that is short.
func (r *Room) heldBy(customer string) int64 { return r.customers[customer].in(r.short) }

// equalShare returns the part of the memory of that tier that each customer would have that has any.
func (r *Room) equalShare() int64 { return r.limit(r.short) / int64(len(r.customers)) }
