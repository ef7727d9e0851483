package backends

import (
	"maps"
	"time"

	"github.com/auburnmoor/auburnmoor/internal/set"
)

// evacuations are the data centres whose servers get no new requests.
type evacuations struct {
	evacuated map[string]bool
	// retainedEvacuations are those of the last era that the present one lacks. They hold until
	// retainEvacuationsUntil.
	retainedEvacuations    map[string]bool
	retainEvacuationsUntil time.Duration
}

// SetEvacuated sets the data centres whose servers get no new requests. A new era of the store, which
// was restored from an older copy, may lack evacuations that nobody took back. They hold until there was
// the time to write them again.
func (s *Set) SetEvacuated(now time.Duration, dataCentres []string, newEra bool) {
	listed := set.Of(dataCentres)
	if newEra {
		maps.Copy(s.retainedEvacuations, s.evacuated)
		s.retainEvacuationsUntil = now + rewriteTimeout
	}
	maps.DeleteFunc(s.retainedEvacuations, func(dataCentre string, _ bool) bool { return listed[dataCentre] })
	s.evacuated = listed
}

func (s *Set) isEvacuated(dataCentre string) bool {
	return s.evacuated[dataCentre] || s.retainedEvacuations[dataCentre]
}

// endRetainedEvacuations ends evacuations that were not written again in time, and reports whether there
// were any.
func (s *Set) endRetainedEvacuations(now time.Duration) bool {
	if len(s.retainedEvacuations) == 0 || now < s.retainEvacuationsUntil {
		return false
	}
	clear(s.retainedEvacuations)
	return true
}
