package dispatch

import (
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

type requestState int

const (
	quoting requestState = iota
	reserving
	backingOff
	running
)

// request is a caller's request that has not been answered or failed yet.
type request struct {
	job  *peerpb.Job
	once bool
	// needsGang marks a request that exceeds the memory of any single engine.
	needsGang bool
	state     requestState
	deadline  time.Duration
	attempt   uint32
	round     int
	resumes   int
	// sentBefore is set if a byte of an earlier attempt may have reached an
	// engine, inFlight if a byte of the current attempt may have.
	sentBefore      bool
	inFlight        bool
	wakeAt          time.Duration
	quotes          []quote
	quotesRequested int
	tried           map[string]bool
	bestRefusal     refusalHint
	parts           []*part
	record          *Record
}

// refusalHint is the refusal with the shortest retry delay so far.
type refusalHint struct {
	code       result.Code
	retryAfter time.Duration
}

// quote is a reply to a QuoteRequest.
type quote struct {
	engine              string
	predictedFirstToken time.Duration
	code                result.Code
	chosen              bool
	// unready marks a reply from an instance that does not own the engine, or
	// has had no load report since it took it over.
	unready bool
}

type partState int

const (
	// partUnreserved: the reservation was not requested yet; gangs only.
	partUnreserved partState = iota
	partWaiting
	partGranted
	partStarted
	partFirstToken
	partEnded
)

// part is the work of a request on one engine. Most requests have one part; a
// prompt larger than an engine's memory has several.
type part struct {
	req    *request
	id     string
	index  int
	job    *peerpb.Job
	engine string
	state  partState
	// ready marks a gang's part whose preceding segments are complete.
	ready               bool
	priority            int64
	grantDeadline       time.Duration
	predictedFirstToken time.Duration
	fromToken, toToken  int64
	segment             *Segment
}

// StreamID returns the name of an attempt's stream at an engine. It contains the
// request's id, which identifies the instance and its incarnation.
func StreamID(id string, attempt uint32) string { return fmt.Sprintf("%s.%d", id, attempt) }

func (p *part) streamID() string { return StreamID(p.id, p.job.Attempt) }

// maybeSent reports whether a byte of the request may have reached an engine.
func (r *request) maybeSent() bool { return r.sentBefore || r.inFlight }

func (r *request) isGang() bool { return len(r.parts) > 1 }

// noteRefusal keeps the refusal with the shortest retry delay.
func (r *request) noteRefusal(code result.Code, retryAfter time.Duration) {
	if code == result.OK {
		return
	}
	if r.bestRefusal.code == result.OK || (retryAfter > 0 && retryAfter < r.bestRefusal.retryAfter) {
		r.bestRefusal = refusalHint{code: code, retryAfter: retryAfter}
	}
}

// attemptJob returns a copy of the job for a new attempt with the remaining time.
func (r *request) attemptJob(now time.Duration) *peerpb.Job {
	return &peerpb.Job{
		Id: r.job.Id, Attempt: r.attempt, Customer: r.job.Customer, Model: r.job.Model,
		PromptTokens: r.job.PromptTokens, MaxTokens: r.job.MaxTokens, Prefix: r.job.Prefix,
		RemainingUs: (r.deadline - now).Microseconds(), TargetUs: r.job.TargetUs, Weight: r.job.Weight,
	}
}
