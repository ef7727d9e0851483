// Package backend is the interface to backend servers that answer one request with
// one response: model engines that stream events, and plain services.
package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// Port is the name under which a module provides the client.
const Port auburnmoor.ModuleID = "port.backend"

// Source is implemented by the module that provides the client.
type Source interface {
	Backends() Client
	// Notices returns the listeners that hear what all answers to the client say of their servers.
	Notices() *Listeners
	// Guards returns the guards that the client asks right before it sends a request.
	Guards() *Guards
}

// Helper is an engine that prefills a part of a prompt for another engine.
type Helper struct {
	Addr string
	// Ticket is the reservation that holds the memory of the part on the helper. If
	// empty, the memory is on the engine that decodes.
	Ticket string
}

// Call is a request to one backend server.
type Call struct {
	// Server is the ID of the server meant; any other server at the address rejects
	// the call.
	Server string
	// Life identifies one run of the server process.
	Life   backends.Life
	Addr   string
	Method string
	// Target is the path and query exactly as sent by the client.
	Target string
	Host   string
	// Header holds the client headers to forward.
	Header    http.Header
	Body      []byte
	RequestID string
	Customer  string
	// RemainingTime is the time that the server may take.
	RemainingTime time.Duration
	// Rank orders requests queued at the server; 0 is the most urgent.
	Rank int
	// Helpers prefill parts of the prompt.
	Helpers []Helper
	// ResumeAfter resumes a stream after the event with this id.
	ResumeAfter string
	// Repeatable is set if the request may be sent again when the call fails.
	Repeatable bool
}

// Endpoint returns the server that is called.
func (c Call) Endpoint() Endpoint { return Endpoint{Server: c.Server, Life: c.Life, Addr: c.Addr} }

// Endpoint is one life of a backend server at its address.
type Endpoint struct {
	Server string
	Life   backends.Life
	Addr   string
}

// Head is the status and headers of an answer.
type Head struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Sealed is set if the backend server signed the answer.
	Sealed bool
	Notice
}

// RateLimit is the rate of requests that a server says it takes from all instances together, for
// as long as its answers say so.
type RateLimit struct {
	Status LimitStatus
	// PerSecond is the rate if Status is LimitNamed; zero means no requests.
	PerSecond float64
}

// LimitStatus is whether an answer names a limit.
type LimitStatus int

// The statuses.
const (
	NoLimit LimitStatus = iota
	LimitNamed
	// LimitUnreadable means that the answer names something that is not a limit.
	LimitUnreadable
)

// Answer is an answer being received.
type Answer interface {
	Head() Head
	// Read returns io.EOF only if the answer is complete, and an error marked
	// ErrBroken if it ended early.
	Read(p []byte) (int, error)
	// Close ends the call. Before the end of the answer it makes the server cancel
	// the request.
	Close()
}

// Reservation reserves memory of an engine for one request.
type Reservation struct {
	Server, Addr string
	// Life identifies one run of the server process.
	Life backends.Life
	// Ticket is chosen by the caller and never reused for another request.
	Ticket string
	Tokens int64
	// Hold is how long the reservation lasts; reserving again renews it.
	Hold time.Duration
}

// Endpoint returns the server that is called.
func (r Reservation) Endpoint() Endpoint {
	return Endpoint{Server: r.Server, Life: r.Life, Addr: r.Addr}
}

// Errors of Client. After ErrNotSent no byte of the request can have reached the
// server; after ErrBroken the request may have run.
var (
	ErrNotSent = errors.New("request did not reach the backend server")
	ErrBroken  = errors.New("connection to the backend server failed after the request was sent")
)

// ErrInvalidAnswer marks errors of answers that are not what HTTP allows. It comes with ErrBroken: the request may have run.
var ErrInvalidAnswer = errors.New("the backend server sent what is no answer")

// ErrInvalidText marks errors of calls that hold a text, of a client or of another server's entry, which no request can
// hold. It comes with ErrNotSent and says nothing about the backend server.
var ErrInvalidText = errors.New("the call holds an invalid text")

// ErrPathLost marks errors that say nothing about the backend server: this instance lost its
// way to it.
var ErrPathLost = errors.New("no path to the backend server")

// Condition is what is known of a backend server whose connection broke.
type Condition int

// The conditions.
const (
	// ConditionUnknown means that the server accepts connections, or that nothing is known.
	ConditionUnknown Condition = iota
	// ServerEnded means that the server refuses connections, as after the end of its process.
	ServerEnded
	// PathLost means that the server runs, but this instance has no path to it.
	PathLost
)

// Client calls backend servers.
type Client interface {
	// Connected reports whether a kept connection to a server is free.
	Connected(to Endpoint) bool
	// Connect opens a connection to a server, which is kept for the next call to it.
	Connect(ctx context.Context, to Endpoint) error
	// Do sends a call and waits for the head of the answer.
	Do(ctx context.Context, c Call) (Answer, error)
	// Reserve requests memory and reports whether it was granted. After an error it
	// may have been granted, or may still be granted seconds later.
	Reserve(ctx context.Context, r Reservation) (bool, error)
	// Release ends a reservation.
	Release(ctx context.Context, r Reservation) error
	// Examine finds out why a connection to a server broke.
	Examine(ctx context.Context, to Endpoint) Condition
}
