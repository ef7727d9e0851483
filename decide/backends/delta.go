package backends

import (
	"github.com/auburnmoor/auburnmoor/decide/position"
)

// Delta is how the list of servers differs from an earlier one. It holds the last state of each server, so
// that it does not matter in which order its changes are applied, or how often.
type Delta struct {
	// After and AfterDigest identify the earlier list, At is the position of the later one.
	After       position.Position
	AfterDigest uint64
	At          position.Position
	// Changes has one change for each server that may differ.
	Changes []Change
}

// DeltaSince returns how this snapshot differs from an earlier one, if only servers in changes may differ.
func (s *Snapshot) DeltaSince(earlier *Snapshot, changes []Change) Delta {
	d := Delta{After: earlier.At, AfterDigest: earlier.Digest, At: s.At}
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		if seen[c.ID] {
			continue
		}
		seen[c.ID] = true
		last := Change{ID: c.ID}
		if v, listed := s.byID[c.ID]; listed {
			last.Server = &v
		}
		d.Changes = append(d.Changes, last)
	}
	return d
}

// Ambiguous reports whether a delta has two changes of one server.
func (d Delta) Ambiguous() bool {
	seen := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		if seen[c.ID] {
			return true
		}
		seen[c.ID] = true
	}
	return false
}

// FollowedBy reports whether a delta leads from this snapshot to its position without a gap: it begins with
// the content of this snapshot, or at or before its position, always in the same era.
func (s *Snapshot) FollowedBy(d Delta) bool {
	if s == nil || s.At.Era != d.At.Era || d.Ambiguous() {
		return false
	}
	return s.Digest == d.AfterDigest || d.After.Era == d.At.Era && !s.At.Before(d.After)
}
