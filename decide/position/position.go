// Package position orders the states of the platform's store.
package position

import (
	"cmp"
	"fmt"
)

// Position identifies a state of the store. Revisions alone do not order states: a store
// that is restored from an older copy reuses revisions for other content.
type Position struct {
	// Era increases each time the store is restored from a copy. It is zero for a store that
	// reports no era; such a store is never restored from a copy.
	Era uint64
	// Revision increases with each change within an era.
	Revision int64
}

// Compare returns a negative number if p is the earlier state, zero if both are the same, and
// a positive one if p is the later.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is the earlier state.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the position as era/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
