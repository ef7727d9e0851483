package soak

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Mutant is a promise that is broken on purpose, to prove that the checks see it.
type Mutant string

// The mutants.
const (
	// HalfAnswers has servers give half of the answer as if it were whole.
	HalfAnswers Mutant = "half-answers"
	// RunsDenied has servers run requests and say that they did not.
	RunsDenied Mutant = "runs-denied"
	// LateConfig has the store acknowledge a configuration and write it later.
	LateConfig Mutant = "late-config"
	// DropsRoute has a changed configuration lack a route that callers use.
	DropsRoute Mutant = "drops-route"
	// KeepsEntry has the store acknowledge that a server leaves and not write it.
	KeepsEntry Mutant = "keeps-entry"
	// KillsForTerm has instances killed where they are to be told to end.
	KillsForTerm Mutant = "kills-for-term"
	// LateAnswers has the links of callers hold answers back.
	LateAnswers Mutant = "late-answers"
	// KeepsMemory has engines keep memory that was released.
	KeepsMemory Mutant = "keeps-memory"
	// ForgetsCrashes has instances run requests that crash engines as often as they come.
	ForgetsCrashes Mutant = "forgets-crashes"
	// StaysDown has the links to all servers silent to the end.
	StaysDown Mutant = "stays-down"
)

// Mutants are all of them.
var Mutants = []Mutant{HalfAnswers, RunsDenied, LateConfig, DropsRoute, KeepsEntry, KillsForTerm, LateAnswers, KeepsMemory, ForgetsCrashes, StaysDown}

// Known reports whether there is such a mutant.
func (m Mutant) Known() bool { return slices.Contains(Mutants, m) }

// mutantDelay is by how much a mutant is late: beyond every bound.
const mutantDelay = 6 * time.Second

// answers is how servers answer wrongly.
func (m Mutant) answers() workerserver.Fault {
	switch m {
	case HalfAnswers:
		return workerserver.Half
	case RunsDenied:
		return workerserver.Denied
	default:
		return ""
	}
}
