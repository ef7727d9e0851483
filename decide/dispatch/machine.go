// Package dispatch places requests on engines and handles failed attempts. Node
// combines the two roles of every instance: the entry of its callers' requests
// and the owner of some engines, which schedules their work.
//
// A Node does no I/O, starts no goroutine and reads no clock. A driver calls
// Step with the time and one event and executes the returned actions: the
// server on real connections, the simulator in virtual time.
package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

// Machine is the interface between decision logic and its driver. The returned
// actions are valid until the next call of Step.
type Machine interface {
	Step(now time.Duration, ev Event) []Action
}

// Event is an input to a Machine.
type Event interface{ event() }

// Arrive is a new request from a caller. Job.RemainingUs is the request's whole
// time limit.
type Arrive struct {
	Job *peerpb.Job
	// Once forbids a second attempt after a byte may have reached an engine.
	Once bool
}

// Received is a message from another instance.
type Received struct {
	From string
	Env  *peerpb.Envelope
}

// StreamFirstToken reports the first token of a started part.
type StreamFirstToken struct {
	ID      string
	Attempt uint32
	Cached  int64
}

// StreamHeld reports that a part's KV cache is complete and kept by the engine.
type StreamHeld struct {
	ID      string
	Attempt uint32
}

// Fault is the way in which a stream ended.
type Fault int

// The faults of a stream.
const (
	NoFault Fault = iota
	// NotSent guarantees that no byte reached the engine.
	NotSent
	// Refused means that the engine rejected the request or made no progress.
	Refused
	// Broken means that the connection failed; the stream may be resumed.
	Broken
)

// StreamEnd reports the end of a started part.
type StreamEnd struct {
	ID      string
	Attempt uint32
	Fault   Fault
	// ResponseStarted is set if a part of the answer was sent to the caller.
	ResponseStarted bool
}

// CallerGone reports that the caller disconnected.
type CallerGone struct{ ID string }

// EngineReport carries an engine's load report and cache events to its owner.
type EngineReport struct {
	Report engine.Report
	Events []engine.CacheEvent
}

// EngineLost reports that an engine does not answer its owner.
type EngineLost struct{ Engine string }

// Directory replaces the list of engines and their owners.
type Directory struct{ Engines []EngineInfo }

// EngineInfo is an entry's view of an engine.
type EngineInfo struct {
	Name    string
	Models  []string
	KVTotal int64 // in tokens; zero if unknown
	Owner   string
	Leaving bool
}

// Tick advances the timers; the driver sends one every TickEvery.
type Tick struct{}

// TickEvery is the period of Tick and bounds how late a deadline is detected.
const TickEvery = 10 * time.Millisecond

func (Arrive) event()           {}
func (Received) event()         {}
func (StreamFirstToken) event() {}
func (StreamHeld) event()       {}
func (StreamEnd) event()        {}
func (CallerGone) event()       {}
func (EngineReport) event()     {}
func (EngineLost) event()       {}
func (Directory) event()        {}
func (Tick) event()             {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send sends a message to another instance. Delivery is not guaranteed.
type Send struct {
	To  string
	Env *peerpb.Envelope
}

// Start starts a part of a request on an engine.
type Start struct {
	Request  string
	ID       string
	Attempt  uint32
	Engine   string
	Priority int64
	// Resume reattaches to the stream of the same attempt.
	Resume bool
	// Segment is set for a part of a prompt that spans several engines.
	Segment *Segment
}

// Segment is the range of a prompt's tokens that one engine of a gang holds.
type Segment struct {
	FromToken, ToToken int64
	// Last marks the segment whose engine generates the answer.
	Last bool
	// Import lists the engines and streams that hold the preceding segments.
	Import []engine.Handle
}

// Cancel ends a stream at an engine and frees its KV cache.
type Cancel struct {
	Engine string
	Stream string
}

// Finish fails a request. A successful one ends with its stream instead.
type Finish struct {
	ID  string
	Err *result.Error
}

func (Send) action()   {}
func (Start) action()  {}
func (Cancel) action() {}
func (Finish) action() {}
