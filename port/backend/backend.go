// Package backend is the port to backend servers that are called over one
// request and one answer: model engines that stream events, and plain services.
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
type Source interface{ Backends() Client }

// Helper is an engine that reads a part of a prompt for another engine.
type Helper struct {
	Addr string
	// Ticket names a reservation that keeps the part's memory at the helper;
	// empty leaves the memory with the engine that writes.
	Ticket string
}

// Call is a request to one backend server.
type Call struct {
	// Server is the ID that must answer; another server at the address refuses.
	Server string
	// Life tells the starts of the server apart.
	Life   backends.Life
	Addr   string
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	// Header holds the client's headers that are passed on.
	Header    http.Header
	Body      []byte
	RequestID string
	Customer  string
	// Left is the time that the server may take.
	Left time.Duration
	// Rank orders requests that wait at the server; 0 is the most urgent.
	Rank int
	// Helpers read parts of the prompt.
	Helpers []Helper
	// ResumeAfter continues a stream after the event of this id.
	ResumeAfter string
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Sealed tells that the backend server signed the answer.
	Sealed bool
	// NotRun is the server's statement that it did not and will not run the
	// request.
	NotRun bool
	// AtFault is the server that made a request with helpers fail, if told.
	AtFault string
	// RetryAfter is when the server may take the request; zero if not told.
	RetryAfter time.Duration
}

// Answer is an answer that is being read.
type Answer interface {
	Head() Head
	// Read returns io.EOF only when the answer is complete, and an error marked
	// ErrBroken when it ended early.
	Read(p []byte) (int, error)
	// Close ends the call; before the end of the answer the server drops the
	// request.
	Close()
}

// Reservation keeps memory of an engine for one request.
type Reservation struct {
	Server, Addr string
	// Life tells the starts of the server apart.
	Life backends.Life
	// Ticket is chosen by the caller and never used for a second request.
	Ticket string
	Tokens int64
	// Hold is how long the memory is kept; reserving again renews it.
	Hold time.Duration
}

// Errors of the port. After ErrNotSent no byte of the request can have reached
// the server; after ErrBroken it may have run.
var (
	ErrNotSent = errors.New("request did not reach the backend server")
	ErrBroken  = errors.New("connection to the backend server failed after the request was sent")
)

// Client calls backend servers.
type Client interface {
	// Do sends a call and waits for the head of the answer.
	Do(ctx context.Context, c Call) (Answer, error)
	// Reserve asks for memory and reports whether it was granted. After an error
	// it may have been, or may be seconds later.
	Reserve(ctx context.Context, r Reservation) (bool, error)
	// Release gives memory back.
	Release(ctx context.Context, r Reservation) error
	// Refuses reports whether nothing listens at an address any more, as after the end
	// of a server's process. It is false while that is not known.
	Refuses(ctx context.Context, addr string) bool
}
