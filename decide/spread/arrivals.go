package spread

import (
	"math"
	"time"
)

// reportDelay is the estimated time from placing a request until another instance counts it:
// reports are batched for 2 ms, and the rest is network delay and the scheduling of both processes.
const reportDelay = 12 * time.Millisecond

// arrivalTimeConstant is the time constant of the rate of Arrivals; bursts rise within a second.
const arrivalTimeConstant = time.Second

// Arrivals measures the rate at which requests arrive at an instance. The zero value has seen none.
type Arrivals struct {
	// perSecond is the rate at the time at.
	perSecond float64
	at        time.Duration
}

// Observe records an arrival.
func (a *Arrivals) Observe(now time.Duration) {
	a.perSecond = a.PerSecond(now) + 1/arrivalTimeConstant.Seconds()
	a.at = now
}

// PerSecond returns the rate at a time.
func (a *Arrivals) PerSecond(now time.Duration) float64 {
	return a.perSecond * math.Exp(-float64(now-a.at)/float64(arrivalTimeConstant))
}

// Unreported returns the expected number of requests that other instances have placed and not
// reported yet, if each gets as many as this one.
func (a *Arrivals) Unreported(now time.Duration, others int) float64 {
	return float64(others) * a.PerSecond(now) * reportDelay.Seconds()
}
