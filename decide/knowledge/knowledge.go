// Package knowledge decides how far an instance may rely on its copy of content of the
// platform's store, such as the configuration or the list of backend servers.
//
// A copy is confirmed when an instance that watches the store gets the store's answer and no
// other instance knows of anything newer. A later change reaches every connected instance
// within a known time, so a confirmation is valid for that time and not longer.
//
// The package does no I/O and reads no clock.
package knowledge

import (
	"time"

	"github.com/cockroachdb/errors"
)

// State is how far a copy can be relied on.
type State int

// The states.
const (
	// Unknown: there is no copy, so nothing can be decided by it.
	Unknown State = iota
	// Old: the copy was in force once and may have been superseded. Requests that it allows
	// are served, so that callers are served through an outage of the store. What it does not
	// allow may be allowed by now, so such a refusal must not be permanent.
	Old
	// Confirmed: the copy is the newest, except for changes still being propagated.
	Confirmed
)

// String returns the name used in logs and dumps.
func (s State) String() string {
	switch s {
	case Confirmed:
		return "confirmed"
	case Old:
		return "old"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(b []byte) error {
	for _, known := range []State{Unknown, Old, Confirmed} {
		if known.String() == string(b) {
			*s = known
			return nil
		}
	}
	return errors.Newf("unknown knowledge state %q", b)
}

// Copy describes an instance's copy of one piece of content.
type Copy struct {
	// Exists tells that there is a copy.
	Exists bool
	// Superseded tells that another instance has a newer version.
	Superseded bool
	// EverConfirmed tells that the copy was confirmed, last at ConfirmedAt by the local clock.
	EverConfirmed bool
	ConfirmedAt   time.Duration
}

// Policy sets for how long a confirmation is valid.
type Policy struct {
	// ValidFor is the maximum time between two confirmations: the wait of a watch call without
	// a change, its answer, and the propagation to the last instance.
	ValidFor time.Duration
}

// State derives the state of a copy.
func (p Policy) State(now time.Duration, c Copy) State {
	switch {
	case !c.Exists:
		return Unknown
	case c.Superseded || !c.EverConfirmed || now-c.ConfirmedAt > p.ValidFor:
		return Old
	default:
		return Confirmed
	}
}
