package backend

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// Notice is what an answer says of the server that gave it.
type Notice struct {
	// Answers is set in the answer to the request of a call. Others, such as late ones to earlier
	// requests and those to orders, say nothing by what they lack.
	Answers bool
	// NotRun is set if the server declares that it did not and will not run the
	// request.
	NotRun bool
	// AtFault is the server that caused a request with helpers to fail; empty if not
	// reported.
	AtFault string
	// RetryAfter is the delay after which the server may accept the request; zero if
	// not reported.
	RetryAfter time.Duration
	// Limit is the limit on requests that the answer names.
	Limit RateLimit
	// Leaving is set if the server says that it accepts no new requests and will end.
	Leaving bool
	// Rest is the time in which the server wants no request of this instance.
	Rest Rest
	// Cold is for how long the server says that it remains cold.
	Cold backends.ColdTime
}

// Rest is the time in which a server that turned a request away wants none.
type Rest struct {
	Status RestStatus
	// For is how long the rest lasts if Status is RestAsked.
	For time.Duration
}

// RestStatus is whether an answer asks for rest.
type RestStatus int

// The statuses.
const (
	NoRest RestStatus = iota
	RestAsked
	// RestUnreadable means that the answer asks for something that is not a time.
	RestUnreadable
)

// Listener hears what an answer says of the server that gave it.
type Listener func(from Endpoint, n Notice)

// Listeners pass each notice to all listeners. None may be added once calls are made.
type Listeners struct{ list []Listener }

// Add adds a listener.
func (l *Listeners) Add(f Listener) { l.list = append(l.list, f) }

// Hear passes a notice on. It returns once all listeners have heard it.
func (l *Listeners) Hear(from Endpoint, n Notice) {
	for _, f := range l.list {
		f(from, n)
	}
}

// ErrHeldBack marks errors of calls that were not sent because of what the server said of itself.
// It comes with ErrNotSent.
var ErrHeldBack = errors.New("the backend server wants no request")

// ErrResting marks those of them that end after the rest that the server asked for.
var ErrResting = errors.New("the backend server asked for rest")

// Guard returns an error marked ErrHeldBack if a server wants no request now.
type Guard func(to Endpoint) error

// Guards are asked right before a request is sent.
type Guards struct{ list []Guard }

// Add adds a guard. None may be added once calls are made.
func (g *Guards) Add(f Guard) { g.list = append(g.list, f) }

// Check returns the first error of a guard, marked ErrNotSent as well.
func (g *Guards) Check(to Endpoint) error {
	for _, f := range g.list {
		if err := f(to); err != nil {
			return errors.Mark(err, ErrNotSent)
		}
	}
	return nil
}
