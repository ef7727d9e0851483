package relay

import (
	"net/http"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// Request is one attempt of a client.
type Request struct {
	// ID is chosen by the client and differs between its attempts.
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as sent, Path the path alone.
	Target, Path string
	// Header holds the headers to forward.
	Header http.Header
	// HeaderBytes is the size of all headers as received.
	HeaderBytes int
	Body        []byte
	// Announced is the length that the body was announced with, negative if none was.
	Announced int64
	// Key is the bearer key, empty if none was sent.
	Key string
	// Deadline is how long the client waits; zero if it did not say.
	Deadline time.Duration
	// Arrived is when the request's headers were read.
	Arrived time.Time
	// PromptTokens is the length of the prompt and AnswerTokens the maximum length of
	// the answer; both are zero for requests without a prompt.
	PromptTokens, AnswerTokens int64
	// SharedParts are the IDs of the parts of the prompt, in order, that other requests may share.
	SharedParts []string
	// ResumeAfter is the id of the event after which a stream is to be resumed.
	ResumeAfter string
}

// bodyBytes is the length of the body as far as it is known.
func (r *Request) bodyBytes() int64 { return max(int64(len(r.Body)), r.Announced) }

// key returns the identity under which crashes of the request are counted.
func (r *Request) key(customer string) poison.Key {
	return poison.Identity{Customer: customer, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}.Key()
}

// Sink sends the answer to the client. Exactly one of Refuse, Respond, Abort, or Begin
// followed by End or Abort is called.
type Sink interface {
	// Refuse sends an error of this instance as the final answer.
	Refuse(*result.Error)
	// Respond sends a complete answer that is not a stream.
	Respond(h backend.Head, body []byte)
	// Begin sends the head of a stream.
	Begin(h backend.Head)
	// Write sends events without delay; it fails when the client is gone.
	Write(events []byte) error
	// End completes the stream.
	End()
	// GiveUp ends the sending of an answer that the client does not take; others may call it meanwhile.
	GiveUp()
	// Abort has the connection closed, so that the stream does not look complete.
	Abort()
}
