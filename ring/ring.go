// Package ring provides bounded queues between goroutines.
//
// A ring never blocks its producer: Offer fails when the ring is full, so the
// producer can shed load early. A slow consumer thus cannot stall callers
// indefinitely.
package ring

import (
	"context"
	"sync/atomic"
)

// Stats is a snapshot of a ring's counters.
type Stats struct {
	Name     string `json:"name"`
	Size     int    `json:"size"`
	Depth    int    `json:"depth"`
	Peak     int64  `json:"peak"`
	Offered  uint64 `json:"offered"`
	Refusals uint64 `json:"refusals"`
}

// Ring is a bounded multi-producer, single-consumer queue.
type Ring[T any] struct {
	name     string
	ch       chan T
	offered  atomic.Uint64
	refusals atomic.Uint64
	peak     atomic.Int64
}

// New returns a ring that holds at most size items.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, size)}
}

// Offer appends v, or reports false if the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	r.offered.Add(1)
	select {
	case r.ch <- v:
		r.notePeak(int64(len(r.ch)))
		return true
	default:
		r.refusals.Add(1)
		return false
	}
}

func (r *Ring[T]) notePeak(depth int64) {
	for {
		old := r.peak.Load()
		if depth <= old || r.peak.CompareAndSwap(old, depth) {
			return
		}
	}
}

// Take waits for the next item; it reports false when ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.ch:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the receiving side, for use in a select.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Stats returns the ring's counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name:     r.name,
		Size:     cap(r.ch),
		Depth:    len(r.ch),
		Peak:     r.peak.Load(),
		Offered:  r.offered.Load(),
		Refusals: r.refusals.Load(),
	}
}
