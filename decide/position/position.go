// Package position orders what is known of the platform's store.
package position

import (
	"cmp"
	"fmt"
)

// Position is a state of the store. Revisions alone do not order states: a store that
// comes back from an older copy gives revisions out again for other content.
type Position struct {
	// Era rises each time the store comes back from a copy; zero where the store tells
	// none, which then never does.
	Era uint64
	// Revision rises with each change within an era.
	Revision int64
}

// Compare returns a negative number if p is the earlier state, a positive one if it is
// the later.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is the earlier state.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Later returns the later of two states.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String implements fmt.Stringer.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
