// Package dispatch decides where a request runs, when, and what happens when
// that fails. Node combines the two roles that every instance has: the entry
// of its callers' requests and the owner of some engines.
//
// A Node does no I/O, starts no goroutine and reads no clock. A driver calls
// Step with the time and one event and carries out the returned actions: the
// daemon's duties do so on real connections, the experiments in virtual time.
package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

// Machine is the seam between decisions and their driver. The actions are
// valid until the next call of Step.
type Machine interface {
	Step(now time.Duration, ev Event) []Action
}

// Event is an input of a Machine.
type Event interface{ event() }

// Arrive is a new request of a caller. Its job's RemainingUs is the whole time
// that the request has.
type Arrive struct {
	Job *peerpb.Job
	// Once forbids a second attempt after a byte may have reached an engine.
	Once bool
}

// Received is a message of another instance.
type Received struct {
	From string
	Env  *peerpb.Envelope
}

// StreamFirst reports the first token of a started part.
type StreamFirst struct {
	ID      string
	Attempt uint32
	Cached  int64
}

// StreamHeld reports that a part's KV cache is complete and kept.
type StreamHeld struct {
	ID      string
	Attempt uint32
}

// Fault is how a stream ended.
type Fault int

// The faults of a stream. NotSent promises that no byte reached the engine.
const (
	NoFault Fault = iota
	NotSent
	Refused
	Broken
)

// StreamEnd reports the end of a started part.
type StreamEnd struct {
	ID      string
	Attempt uint32
	Fault   Fault
	// Shown tells that the caller has seen a part of the answer.
	Shown bool
}

// CallerGone reports that nobody waits for the answer any more.
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

// EngineInfo is what an entry knows of an engine.
type EngineInfo struct {
	Name    string
	Models  []string
	KVTotal int64
	Owner   string
	Leaving bool
}

// Tick lets time pass; it is due every TickEvery.
type Tick struct{}

// TickEvery is the period of Tick; it bounds how late a deadline is noticed.
const TickEvery = 10 * time.Millisecond

func (Arrive) event()       {}
func (Received) event()     {}
func (StreamFirst) event()  {}
func (StreamHeld) event()   {}
func (StreamEnd) event()    {}
func (CallerGone) event()   {}
func (EngineReport) event() {}
func (EngineLost) event()   {}
func (Directory) event()    {}
func (Tick) event()         {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send passes a message to another instance; it may be lost.
type Send struct {
	To  string
	Env *peerpb.Envelope
}

// Start hands a part of a request to an engine.
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

// Segment is the share of a prompt that one engine of a gang holds.
type Segment struct {
	FromToken, ToToken int64
	// Last is the segment whose engine generates the answer.
	Last bool
	// Import lists the engines and streams that hold the segments before.
	Import []engine.Handle
}

// Cancel ends a stream or a held KV cache at an engine.
type Cancel struct {
	Engine string
	Stream string
}

// Finish fails a request; a success is seen by the stream itself.
type Finish struct {
	ID  string
	Err *result.Error
}

func (Send) action()   {}
func (Start) action()  {}
func (Cancel) action() {}
func (Finish) action() {}
