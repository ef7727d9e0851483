package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pace is the share of a limit that is given out: requests reach their server a little
	// later than they are permitted, and not equally late.
	pace = 0.94
	// catchUp is how far a pacer may lag behind its pace and catch up; timers fire late.
	catchUp = 200 * time.Millisecond
	// maxInterval is the longest time between two permits. Only an answer tells that a limit
	// has ended.
	maxInterval = 4100 * time.Millisecond
)

// Request is a request that needs a permit.
type Request struct {
	// ID identifies the request at its pacer.
	ID uint64
	// Rank is the request's priority, 0 first; among equals the greater Weight goes first.
	Rank   int
	Weight float64
}

// precedes reports whether r goes before other, which came earlier.
func (r Request) precedes(other Request) bool {
	return cmp.Or(cmp.Compare(r.Rank, other.Rank), cmp.Compare(other.Weight, r.Weight)) < 0
}

// Pacer gives out the permits of the servers that an instance owns. It is not safe for
// concurrent use.
type Pacer struct{ queues map[Key]*queue }

// queue holds the requests that wait for the permits of one server.
type queue struct {
	// next is when the next permit is free.
	next    time.Duration
	waiting []Request
}

// NewPacer returns a pacer without queues.
func NewPacer() *Pacer { return &Pacer{queues: map[Key]*queue{}} }

func (p *Pacer) queue(key Key) *queue {
	q := p.queues[key]
	if q == nil {
		q = &queue{}
		p.queues[key] = q
	}
	return q
}

// interval is the time between two permits at a rate.
func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxInterval
	}
	return time.Duration(min(float64(maxInterval), float64(time.Second)/(pace*perSecond)))
}

// Block gives out no permits of a server before a time.
func (p *Pacer) Block(key Key, until time.Duration) {
	q := p.queue(key)
	q.next = max(q.next, until)
}

// Ask returns the time until a permit is expected for a new request, zero if it is granted at
// once. If it is later, but within wait, the request is queued.
func (p *Pacer) Ask(now time.Duration, key Key, perSecond float64, r Request, wait time.Duration) time.Duration {
	q := p.queue(key)
	at := len(q.waiting)
	for at > 0 && r.precedes(q.waiting[at-1]) {
		at--
	}
	expected := max(0, q.next-now) + time.Duration(at)*interval(perSecond)
	switch {
	case expected == 0:
		q.take(now, perSecond)
	case expected <= wait:
		q.waiting = slices.Insert(q.waiting, at, r)
	}
	return expected
}

// Poll returns the time until a queued request may have a permit, zero if it is granted now.
func (p *Pacer) Poll(now time.Duration, key Key, perSecond float64, id uint64) time.Duration {
	q := p.queue(key)
	at := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if at == 0 && q.next <= now {
		q.waiting = q.waiting[1:]
		q.take(now, perSecond)
		return 0
	}
	return max(time.Millisecond, q.next-now) + time.Duration(max(0, at))*interval(perSecond)
}

// Leave removes a queued request.
func (p *Pacer) Leave(key Key, id uint64) {
	q := p.queue(key)
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
}

// Next returns the time until the next permit is free.
func (p *Pacer) Next(now time.Duration, key Key) time.Duration {
	return max(0, p.queue(key).next-now)
}

// Waiting returns the number of requests that wait for permits of a server.
func (p *Pacer) Waiting(key Key) int { return len(p.queue(key).waiting) }

// Retain drops the queues of servers that name no limit any more, except those with requests.
func (p *Pacer) Retain(limited func(Key) bool) {
	for key, q := range p.queues {
		if !limited(key) && len(q.waiting) == 0 {
			delete(p.queues, key)
		}
	}
}

func (q *queue) take(now time.Duration, perSecond float64) {
	q.next = max(q.next, now-catchUp) + interval(perSecond)
}
