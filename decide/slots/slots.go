// Package slots decides which connections of clients an instance keeps if it can keep only so many. It does no I/O
// and has no clock; times count from the start of the process.
package slots

import (
	"cmp"
	"time"
)

// State is what a connection is used for.
type State int

// The states of a connection.
const (
	// Idle connections wait for the next request.
	Idle State = iota
	// Head connections are new or receive the head of a request, Body connections its body.
	Head
	Body
	// Busy connections have a request that is being served.
	Busy
	// Closing connections have their last answer and wait for the client to see it.
	Closing
	stateCount
)

var stateNames = [stateCount]string{"idle", "head", "body", "busy", "closing"}

// String returns the name of the state in metrics.
func (s State) String() string { return stateNames[s] }

const (
	// bodySilence is how long a connection that receives a body may be silent before another one may take its place.
	bodySilence = time.Second
	// minSilence is the same for all others: a client sends the head of its request at once.
	minSilence = 20 * time.Millisecond
)

// Slot is the place of a connection.
type Slot struct {
	// Owner is the connection.
	Owner any
	state State
	// heard is when the state began or something was last received.
	heard time.Duration
}

// Slots are the places for connections. They are not safe for concurrent use.
type Slots struct {
	size  int
	slots map[*Slot]struct{}
	// counts are the connections in each state.
	counts [stateCount]int
}

// bodyShare is the part of the places that connections may take that receive bodies. The others are for clients whose
// requests come at once.
const bodyShare = 0.75

// New returns a number of free places.
func New(size int) *Slots { return &Slots{size: size, slots: map[*Slot]struct{}{}} }

// Size returns the number of places.
func (s *Slots) Size() int { return s.size }

// maxWaits bounds the connections that are asked whether they wait, for one place.
const maxWaits = 8

// Add gives a place to a new connection and returns the slot that loses its own for it, nil for none. There is no
// place if ok is false. A connection for which waits says that received bytes wait to be read is not silent.
func (s *Slots) Add(now time.Duration, owner any, waits func(*Slot) bool) (added, victim *Slot, ok bool) {
	if len(s.slots) >= s.size {
		victim = s.leastUsed(now)
		for n := 0; n < maxWaits && victim != nil && victim.state != Closing && waits(victim); n++ {
			victim.heard = now
			victim = s.leastUsed(now)
		}
		if victim == nil {
			return nil, nil, false
		}
		s.Remove(victim)
	}
	added = &Slot{Owner: owner, state: Head, heard: now}
	s.slots[added] = struct{}{}
	s.counts[Head]++
	return added, victim, true
}

// leastUsed returns the connection that has been closing for the longest time, or else the one that has been silent
// for the longest among those that no request is served on.
func (s *Slots) leastUsed(now time.Duration) *Slot {
	var closing, silent *Slot
	for t := range s.slots {
		switch {
		case t.state == Closing:
			closing = t.longer(closing)
		case t.mayGo(now):
			silent = t.longer(silent)
		}
	}
	return cmp.Or(closing, silent)
}

// longer returns the slot that has been silent for longer.
func (t *Slot) longer(o *Slot) *Slot {
	if o == nil || t.heard < o.heard {
		return t
	}
	return o
}

func (t *Slot) mayGo(now time.Duration) bool {
	switch silent := now - t.heard; t.state {
	case Idle, Head:
		return silent >= minSilence
	case Body:
		return silent >= bodySilence
	default:
		return false
	}
}

// Set changes the state of a connection and reports whether it still has its place.
func (s *Slots) Set(now time.Duration, t *Slot, state State) bool {
	if _, ok := s.slots[t]; !ok {
		return false
	}
	s.counts[t.state]--
	s.counts[state]++
	t.state, t.heard = state, now
	return true
}

// SetBody changes the state of a connection to Body. It returns the connection that loses its place for it, which has been
// silent amid its body for longest, nil for none. There is no place for a further body if ok is false.
func (s *Slots) SetBody(now time.Duration, t *Slot) (victim *Slot, ok bool) {
	if s.counts[Body] >= int(bodyShare*float64(s.size)) {
		for o := range s.slots {
			if o.state == Body && o.mayGo(now) {
				victim = o.longer(victim)
			}
		}
		if victim == nil {
			return nil, false
		}
		s.Remove(victim)
	}
	return victim, s.Set(now, t, Body)
}

// Hear records that something was received on a connection. An idle one receives a head from then on.
func (s *Slots) Hear(now time.Duration, t *Slot) {
	if t.state == Idle {
		s.Set(now, t, Head)
	}
	t.heard = now
}

// State returns the state of a connection.
func (t *Slot) State() State { return t.state }

// Remove frees the place of a connection.
func (s *Slots) Remove(t *Slot) {
	if _, ok := s.slots[t]; ok {
		s.counts[t.state]--
		delete(s.slots, t)
	}
}

// Count returns the number of connections in each state.
func (s *Slots) Count() map[string]int {
	out := map[string]int{}
	for state, n := range s.counts {
		out[State(state).String()] = n
	}
	return out
}
