package relay

import (
	"net/http"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// Request is one client attempt.
type Request struct {
	// ID is the client's own, different for each of its attempts.
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as sent; Path is its path.
	Target, Path string
	// Header holds the headers to pass on.
	Header http.Header
	// HeaderBytes is the size of all headers as they came.
	HeaderBytes int
	Body        []byte
	// Key is the bearer key, empty if none was sent.
	Key string
	// Deadline is how long the client waits; zero if it did not say.
	Deadline time.Duration
	// Arrived is when the request's headers were read.
	Arrived time.Time
	// PromptTokens and AnswerTokens are the length of the prompt and the most
	// tokens of the answer; zero for requests without a prompt.
	PromptTokens, AnswerTokens int64
	// ResumeAfter asks to continue a stream after the event of this id.
	ResumeAfter string
}

// key identifies the request among those of a customer.
func (r *Request) key(customer string) poison.Key {
	return poison.Identity{Customer: customer, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}.Key()
}

// Sink takes the answer to the client. Exactly one of Refuse, Whole, or Begin
// followed by End or Abort is called.
type Sink interface {
	// Refuse sends a final answer of this instance's own.
	Refuse(*result.Error)
	// Whole sends a complete answer.
	Whole(h backend.Head, body []byte)
	// Begin sends the head of a stream.
	Begin(h backend.Head)
	// Write sends events at once; it fails when the client is gone.
	Write(events []byte) error
	// End completes the stream.
	End()
	// Abort breaks the connection off, so that the stream does not look complete.
	Abort()
}
