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

// patience is how long a connection that receives a request may be silent before another one may take its place.
const patience = time.Second

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
}

// New returns a number of free places.
func New(size int) *Slots { return &Slots{size: size, slots: map[*Slot]struct{}{}} }

// Size returns the number of places.
func (s *Slots) Size() int { return s.size }

// Add gives a place to a new connection and returns the slot that loses its own for it, nil for none. There is no
// place if ok is false.
func (s *Slots) Add(now time.Duration, owner any) (added, loser *Slot, ok bool) {
	if len(s.slots) >= s.size {
		if loser = s.dispensable(now); loser == nil {
			return nil, nil, false
		}
		delete(s.slots, loser)
	}
	added = &Slot{Owner: owner, state: Head, heard: now}
	s.slots[added] = struct{}{}
	return added, loser, true
}

// dispensable returns the connection that has been closing for the longest time, or else the one that has been idle
// for the longest, or else the one that has been silent for the longest amid a request, beyond patience. A request
// that is served keeps its connection.
func (s *Slots) dispensable(now time.Duration) *Slot {
	var longest [stateCount]*Slot
	for t := range s.slots {
		if t.mayGo(now) && (longest[t.kind()] == nil || t.heard < longest[t.kind()].heard) {
			longest[t.kind()] = t
		}
	}
	return cmp.Or(longest[Closing], longest[Idle], longest[Head])
}

// kind is Head for all connections that receive a request, or else the state.
func (t *Slot) kind() State {
	if t.state == Body {
		return Head
	}
	return t.state
}

func (t *Slot) mayGo(now time.Duration) bool {
	switch t.kind() {
	case Busy:
		return false
	case Head:
		return now-t.heard >= patience
	default:
		return true
	}
}

// Set changes the state of a connection and reports whether it still has its place.
func (s *Slots) Set(now time.Duration, t *Slot, state State) bool {
	if _, ok := s.slots[t]; !ok {
		return false
	}
	t.state, t.heard = state, now
	return true
}

// Hear records that something was received on a connection. An idle one receives a head from then on.
func (s *Slots) Hear(now time.Duration, t *Slot) {
	t.heard = now
	if t.state == Idle {
		t.state = Head
	}
}

// State returns the state of a connection.
func (t *Slot) State() State { return t.state }

// Remove frees the place of a connection.
func (s *Slots) Remove(t *Slot) { delete(s.slots, t) }

// Count returns the number of connections in each state.
func (s *Slots) Count() map[string]int {
	out := map[string]int{}
	for _, name := range stateNames {
		out[name] = 0
	}
	for t := range s.slots {
		out[t.state.String()]++
	}
	return out
}
