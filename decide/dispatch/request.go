package dispatch

import (
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

type requestState int

const (
	asking requestState = iota
	reserving
	pausing
	running
)

// request is one caller's request until its answer or failure.
type request struct {
	job  *peerpb.Job
	once bool
	// wide marks a prompt that needs more than one engine.
	wide     bool
	state    requestState
	deadline time.Duration
	attempt  uint32
	round    int
	resumes  int
	// reached tells that a byte of a former attempt may have reached an engine,
	// inFlight that the present one may have.
	reached  bool
	inFlight bool
	wakeAt   time.Duration
	quotes   []quote
	asked    int
	tried    map[string]bool
	best     refused
	parts    []*part
	record   *Record
}

// refused is the most helpful refusal seen so far.
type refused struct {
	code  result.Code
	after time.Duration
}

type quote struct {
	engine string
	first  time.Duration
	code   result.Code
	used   bool
	// unready is an answer of an instance that does not own the engine, or has
	// not heard of it since it took it over.
	unready bool
}

type partState int

const (
	// partIdle is a gang's part whose reservation was not asked for yet.
	partIdle partState = iota
	partWaiting
	partGranted
	partStarted
	partFirst
	partEnded
)

// part is the work of a request on one engine. Most requests have one; a
// prompt larger than an engine's memory has several.
type part struct {
	req    *request
	id     string
	index  int
	job    *peerpb.Job
	engine string
	state  partState
	// ready marks a gang's part that waits for its turn, or runs.
	ready    bool
	priority int64
	giveUpAt time.Duration
	expected time.Duration
	from, to int64
	segment  *Segment
}

// StreamID names the stream of an attempt at an engine. It carries the
// request's id, which names the instance and its incarnation.
func StreamID(id string, attempt uint32) string { return fmt.Sprintf("%s.%d", id, attempt) }

func (p *part) stream() string { return StreamID(p.id, p.job.Attempt) }

// sent reports whether a byte of the request may have reached an engine.
func (r *request) sent() bool { return r.reached || r.inFlight }

func (r *request) gang() bool { return len(r.parts) > 1 }

// note keeps the refusal that tells the caller to come back soonest.
func (r *request) note(code result.Code, after time.Duration) {
	if code == result.OK {
		return
	}
	if r.best.code == result.OK || (after > 0 && after < r.best.after) {
		r.best = refused{code: code, after: after}
	}
}

// budget returns a copy of the job for a new attempt with the time left.
func (r *request) budget(now time.Duration) *peerpb.Job {
	return &peerpb.Job{
		Id: r.job.Id, Attempt: r.attempt, Customer: r.job.Customer, Model: r.job.Model,
		PromptTokens: r.job.PromptTokens, MaxTokens: r.job.MaxTokens, Prefix: r.job.Prefix,
		RemainingUs: (r.deadline - now).Microseconds(), TargetUs: r.job.TargetUs, Weight: r.job.Weight,
	}
}
