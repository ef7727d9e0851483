// Package attempt decides what follows when an attempt of a request at a
// backend server did not end well: another attempt, a refusal, or a failure. It
// does no I/O and reads no clock.
package attempt

import "github.com/auburnmoor/auburnmoor/decide/route"

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// NotSent: no byte reached the server.
	NotSent Outcome = iota
	// NotRun: the server promised that it did not run the request.
	NotRun
	// Broken: the connection failed after the request was sent, or the answer
	// was not one. The request may have run.
	Broken
	// Silent: nothing came within the time that the attempt was given.
	Silent
	// ServerError: the server ran the request and reports a failure of its own.
	ServerError
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"not_sent", "not_run", "broken", "silent", "server_error"}[o]
}

// Action is what to do next.
type Action int

// The actions.
const (
	// Retry sends the request to another server, or resumes the stream there.
	Retry Action = iota
	// Refuse tells the client that the request did not run and will not.
	Refuse
	// Fail tells the client that the request failed and may have run.
	Fail
	// PassOn gives the client the server's own answer.
	PassOn
	// Abort breaks the client's connection off, because a part of the answer is
	// out already and the rest cannot be had.
	Abort
)

// String returns the name used in logs.
func (a Action) String() string {
	return [...]string{"retry", "refuse", "fail", "pass_on", "abort"}[a]
}

// maxDials bounds the servers tried that could not be reached. Three that are
// down at once point to a fault of this instance's own network.
const maxDials = 4

// State is what an entry knows of one client attempt.
type State struct {
	route *route.Route
	// sent counts the attempts that may have reached a server, dials those that
	// did not.
	sent, dials int
	mayHaveRun  bool
	forwarded   bool
}

// New returns the state of a request that was sent nowhere.
func New(r *route.Route) *State { return &State{route: r} }

// Forwarded notes that a part of the answer reached the client.
func (s *State) Forwarded() { s.forwarded = true }

// MayHaveRun reports whether a server may have run the request.
func (s *State) MayHaveRun() bool { return s.mayHaveRun }

// Sent counts the attempts that may have reached a server.
func (s *State) Sent() int { return s.sent }

// Last reports whether no other attempt may follow the present one.
func (s *State) Last() bool { return s.sent+1 >= s.route.MaxAttempts }

// Next takes the outcome of an attempt. budget is asked only when a retry would
// otherwise follow.
func (s *State) Next(o Outcome, budget func() bool) Action {
	switch o {
	case NotSent:
		s.dials++
		if s.dials < maxDials {
			return Retry
		}
		return s.giveUp()
	case NotRun:
		s.sent++
	case Broken, Silent, ServerError:
		s.sent++
		s.mayHaveRun = true
	}
	if s.mayRepeat(o) && s.sent < s.route.MaxAttempts && budget() {
		return Retry
	}
	// Behind the beginning of a stream another answer would complete it falsely.
	if o == ServerError && !s.forwarded {
		return PassOn
	}
	return s.giveUp()
}

// mayRepeat holds the rule that a request which may run once only is sent again
// only after a promise that it did not run.
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
