package soak

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Mutant is a deliberate defect that breaks a promise, to prove that the checks detect it.
type Mutant string

// The mutants.
const (
	// HalfAnswers makes servers send half of an answer as if it were complete.
	HalfAnswers Mutant = "half-answers"
	// RunsDenied makes servers run requests and report them as not run.
	RunsDenied Mutant = "runs-denied"
	// LateConfig makes the store acknowledge a configuration before it is written.
	LateConfig Mutant = "late-config"
	// DropsRoute removes a route that callers use from each changed configuration.
	DropsRoute Mutant = "drops-route"
	// KeepsEntry makes the store acknowledge a server's leaving without writing it.
	KeepsEntry Mutant = "keeps-entry"
	// KillsForTerm kills instances instead of terminating them gracefully.
	KillsForTerm Mutant = "kills-for-term"
	// HangupEndsDrain kills instances that get SIGHUP while they drain.
	HangupEndsDrain Mutant = "hangup-ends-drain"
	// LateAnswers delays traffic between callers and instances.
	LateAnswers Mutant = "late-answers"
	// KeepsMemory makes engines keep released memory reserved.
	KeepsMemory Mutant = "keeps-memory"
	// ForgetsCrashes turns off the quarantine of requests that crash engines.
	ForgetsCrashes Mutant = "forgets-crashes"
	// HidesLimits makes servers name no limit though they have one.
	HidesLimits Mutant = "hides-limits"
	// StaysDown silences the links to all servers once the faults have ended.
	StaysDown Mutant = "stays-down"
)

// Mutants lists all mutants.
var Mutants = []Mutant{HalfAnswers, RunsDenied, LateConfig, DropsRoute, KeepsEntry, KillsForTerm, HangupEndsDrain,
	LateAnswers, KeepsMemory, ForgetsCrashes, HidesLimits, HidesWords, HidesCold, DropsEvacuation, TakesAll, StaysDown}

// Valid reports whether m is one of Mutants.
func (m Mutant) Valid() bool { return slices.Contains(Mutants, m) }

// mutantDelay is the delay that late mutants add; it exceeds every time bound.
const mutantDelay = 6 * time.Second

// workerFault returns the fault that the mutant injects into every answer of a server.
func (m Mutant) workerFault() workerserver.Fault {
	switch m {
	case HalfAnswers:
		return workerserver.Half
	case RunsDenied:
		return workerserver.Denied
	default:
		return ""
	}
}
