// Package attempt decides what follows a failed attempt to run a request on a backend
// server: a retry, a refusal or a failure. It does no I/O and reads no clock.
package attempt

import (
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// NotSent means that no byte reached the server.
	NotSent Outcome = iota
	// NotRun means that the server guarantees that it did not run the request.
	NotRun
	// Broken means that the connection failed after the request was sent, or that the
	// answer was invalid. The request may have run.
	Broken
	// Silent means that no data arrived within the time of the attempt.
	Silent
	// ServerError means that the server ran the request and reported its own failure.
	ServerError
	// HeldBack means that this instance took the request back from a server that may have begun to
	// run it.
	HeldBack
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"not_sent", "not_run", "broken", "silent", "server_error", "held_back"}[o]
}

// Action is what to do after a failed attempt.
type Action int

// The actions.
const (
	// Retry sends the request to another server, or resumes the stream there.
	Retry Action = iota
	// Refuse tells the client that the request did not run and will not run.
	Refuse
	// Fail tells the client that the request failed and may have run.
	Fail
	// PassOn forwards the server's own answer to the client.
	PassOn
	// Abort closes the client's connection, because a part of the answer was sent and the
	// rest is not available.
	Abort
)

// String returns the name used in logs.
func (a Action) String() string {
	return [...]string{"retry", "refuse", "fail", "pass_on", "abort"}[a]
}

// Bounds of the servers tried that could not be reached.
const (
	maxDialFailures = 4
	// maxQuickDialFailures bounds those that failed within QuickDial, besides the others:
	// many servers may be restarting at once.
	maxQuickDialFailures = 12
	// QuickDial is the time within which a restarting server refuses a connection.
	QuickDial = 50 * time.Millisecond
)

// State is the state of one client attempt at the instance that received it. It is safe for
// concurrent use.
type State struct {
	route *route.Route
	mu    sync.Mutex
	// sent counts the attempts that may have reached a server, dialFailures those that did
	// not, and quickDialFailures those of these that failed within QuickDial.
	sent, dialFailures, quickDialFailures int
	mayHaveRun                            bool
	forwarded                             bool
	// serverEnded is set once a server ended while it had the request.
	serverEnded bool
}

// New returns the state of a request that has not been sent yet.
func New(r *route.Route) *State { return &State{route: r} }

// MarkForwarded records that a part of the answer was forwarded to the client.
func (s *State) MarkForwarded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarded = true
}

// AddDialFailure records how long an attempt took to find that it cannot connect. It is called
// before Next.
func (s *State) AddDialFailure(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took < QuickDial {
		s.quickDialFailures++
	}
}

// MayHaveRun reports whether a server may have run the request.
func (s *State) MayHaveRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayHaveRun
}

// Sent returns the number of attempts that may have reached a server.
func (s *State) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Left returns the number of attempts allowed besides those so far and the current one.
func (s *State) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.route.MaxAttempts-s.sent-1)
}

// RecordServerEnd records that a server ended while it had the request. That attempt does not count
// when the request is held back.
func (s *State) RecordServerEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverEnded = true
}

// MayHoldBack reports whether the request may be taken back from its server and sent once more.
func (s *State) MayHoldBack() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route.Repeatable() && !s.forwarded && s.sent+1 < s.heldLimit()
}

// heldLimit is the number of attempts up to which a request may be held back.
func (s *State) heldLimit() int {
	if s.serverEnded {
		return s.route.MaxAttempts + 1
	}
	return s.route.MaxAttempts
}

// Hedge records an attempt that was sent to another server while the current one goes on. Whichever
// of the two ends last is the current one from then on.
func (s *State) Hedge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.mayHaveRun = true
}

// Unhedge takes back an attempt recorded by Hedge that did not reach its server.
func (s *State) Unhedge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent--
}

// Next returns what follows an attempt with the given outcome. It calls budget only if a
// retry is possible otherwise.
func (s *State) Next(o Outcome, budget func() bool) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.route.MaxAttempts
	switch o {
	case NotSent:
		s.dialFailures++
		if s.mayDial() {
			return Retry
		}
		return s.giveUp()
	case NotRun:
		s.sent++
	case Broken, Silent, ServerError:
		s.sent++
		s.mayHaveRun = true
	case HeldBack:
		s.sent++
		s.mayHaveRun = true
		limit = s.heldLimit()
	}
	if s.mayRepeat(o) && s.sent < limit && budget() {
		return Retry
	}
	// After the beginning of a stream, the server's error would look like its continuation.
	if o == ServerError && !s.forwarded {
		return PassOn
	}
	return s.giveUp()
}

// mayDial reports whether another server may be tried after those that could not be reached.
func (s *State) mayDial() bool {
	return s.dialFailures-s.quickDialFailures < maxDialFailures && s.quickDialFailures < maxQuickDialFailures
}

// mayRepeat reports whether the request may be sent again. A request that may run only once
// is sent again only if no server can have run it.
func (s *State) mayRepeat(o Outcome) bool {
	switch o {
	case NotRun:
		return !s.mayHaveRun || s.route.Repeatable()
	case ServerError:
		return s.route.Kind == route.Idempotent
	default:
		return s.route.Repeatable()
	}
}

func (s *State) giveUp() Action {
	switch {
	case s.forwarded:
		return Abort
	case s.mayHaveRun:
		return Fail
	default:
		return Refuse
	}
}
