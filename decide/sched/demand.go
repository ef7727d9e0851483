package sched

import (
	"math"
	"math/bits"
	"time"
)

// demandTimeConstant is the time constant of the exponential decay of demand.
const demandTimeConstant = 30 * time.Second

// maxPreemptedShare bounds the share of an engine's capacity that shorter
// requests are assumed to take from a longer one.
const maxPreemptedShare = 0.9

// sizeClasses is the number of size classes: powers of two of prefill tokens.
const sizeClasses = 24

// demand measures the arriving prefill work of an engine per size class. Shorter
// requests that arrive later overtake a long one. Unless admission allows for
// them, it admits long requests that can meet their deadline only by delaying
// the short ones.
type demand struct {
	work      [sizeClasses]float64
	updatedAt time.Duration
}

func sizeClass(work float64) int {
	return min(bits.Len64(uint64(work)), sizeClasses-1)
}

func (d *demand) decay(now time.Duration) {
	factor := math.Exp(-float64(now-d.updatedAt) / float64(demandTimeConstant))
	d.updatedAt = now
	for i := range d.work {
		d.work[i] *= factor
	}
}

func (d *demand) add(now time.Duration, work float64) {
	d.decay(now)
	d.work[sizeClass(work)] += work
}

// remainingShare returns the share of the engine's capacity that is left by the
// requests of smaller size classes than work.
func (d *demand) remainingShare(now time.Duration, work, rate float64) float64 {
	d.decay(now)
	smaller := 0.0
	for _, w := range d.work[:sizeClass(work)] {
		smaller += w
	}
	return 1 - min(smaller/demandTimeConstant.Seconds()/rate, maxPreemptedShare)
}
