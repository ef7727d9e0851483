package sched

import (
	"math"
	"math/bits"
	"time"
)

// demandMemory is the time constant of the measured demand.
const demandMemory = 30 * time.Second

// maxPreempted bounds the part of an engine that shorter requests are assumed
// to take from a long one.
const maxPreempted = 0.9

// sizes is the number of size classes, powers of two of prompt tokens.
const sizes = 24

// demand measures how much work of each size arrives at an engine. A long
// request is overtaken by shorter ones that arrive later; without counting on
// them, long ones are admitted that can only keep their time by pushing the
// short ones aside in the end.
type demand struct {
	work [sizes]float64
	at   time.Duration
}

func sizeOf(work float64) int {
	return min(bits.Len64(uint64(work)), sizes-1)
}

func (d *demand) decay(now time.Duration) {
	f := math.Exp(-float64(now-d.at) / float64(demandMemory))
	d.at = now
	for i := range d.work {
		d.work[i] *= f
	}
}

func (d *demand) add(now time.Duration, work float64) {
	d.decay(now)
	d.work[sizeOf(work)] += work
}

// left returns the part of the engine that requests smaller than work leave.
func (d *demand) left(now time.Duration, work, rate float64) float64 {
	d.decay(now)
	smaller := 0.0
	for _, w := range d.work[:sizeOf(work)] {
		smaller += w
	}
	return 1 - min(smaller/demandMemory.Seconds()/rate, maxPreempted)
}
