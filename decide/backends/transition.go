package backends

import (
	"cmp"
	"slices"
)

// Transition is a change of one server between two snapshots.
type Transition struct {
	Server Server
	Kind   TransitionKind
}

// TransitionKind is what happened to a server.
type TransitionKind string

// The kinds.
const (
	// Listed means that a server, or a new life of it, appeared.
	Listed TransitionKind = "listed"
	// Leaves means that a listed life of a server began to leave.
	Leaves TransitionKind = "leaves"
	// Gone means that a server is no longer listed.
	Gone TransitionKind = "gone"
)

// Transitions returns what happened between an earlier snapshot and this one, sorted by server.
func (s *Snapshot) Transitions(earlier *Snapshot) (out []Transition) {
	for id, v := range s.byID {
		before, known := earlier.byID[id]
		switch {
		case !known || !before.Life.Same(v.Life):
			out = append(out, Transition{v, Listed})
		case v.Leaving && !before.Leaving:
			out = append(out, Transition{v, Leaves})
		}
	}
	for id, v := range earlier.byID {
		if _, listed := s.byID[id]; !listed {
			out = append(out, Transition{v, Gone})
		}
	}
	slices.SortFunc(out, func(a, b Transition) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}
