// Package vtime is a discrete-event scheduler with a virtual clock. Events due at
// the same time run in the order in which they were added, so that runs with the
// same seed are identical.
package vtime

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Queue is a virtual clock and its pending events. The zero value is ready to use,
// at time zero. It is not safe for concurrent use.
type Queue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// Now returns the virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// At schedules run at virtual time t.
func (q *Queue) At(t time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: t, seq: q.seq, run: run})
}

// After schedules run at a delay of d from now.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+d, run) }

// RunUntil runs the events up to and including end, while proceed returns true.
func (q *Queue) RunUntil(end time.Duration, proceed func() bool) {
	for len(q.events) > 0 && q.events[0].at <= end && proceed() {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
}

// Always is a condition for RunUntil under which it runs until end.
func Always() bool { return true }
