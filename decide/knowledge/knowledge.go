// Package knowledge tells how far an instance may rely on what it holds of the
// platform's store, such as the configuration or the list of backend servers.
//
// What is held was confirmed at some time: an instance that watches the store had its
// answer then, and no other had heard of anything newer. A change that came later is told
// to every instance in touch within a known time, so a confirmation holds for that time
// and not longer.
//
// The package does no I/O and reads no clock.
package knowledge

import (
	"time"

	"github.com/cockroachdb/errors"
)

// State is how far what is held can be relied on.
type State int

// The states.
const (
	// Unknown: nothing is held. Nothing can be decided by it.
	Unknown State = iota
	// Old: what is held was in force once, and may have been replaced since. Requests that
	// it allows are served: nothing else is known, and callers are served through an outage
	// of the store. What it does not allow may be allowed by now, so nobody is told so for
	// good.
	Old
	// Confirmed: what is held is the newest, but for changes that are on their way.
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
	return errors.Newf("unknown state %q of what is held", b)
}

// Held is what an instance knows of one thing.
type Held struct {
	// Any tells that something is held.
	Any bool
	// Replaced tells that another instance holds something newer.
	Replaced bool
	// Ever tells that what is held was confirmed, at ConfirmedAt by the own clock.
	Ever        bool
	ConfirmedAt time.Duration
}

// Policy says for how long a confirmation holds.
type Policy struct {
	// HoldsFor is the longest that a confirmation takes to follow the last one: the wait of
	// a watch that hears of no change, its answer, and its way to the last instance.
	HoldsFor time.Duration
}

// State derives the state of what is held.
func (p Policy) State(now time.Duration, h Held) State {
	switch {
	case !h.Any:
		return Unknown
	case h.Replaced || !h.Ever || now-h.ConfirmedAt > p.HoldsFor:
		return Old
	default:
		return Confirmed
	}
}
