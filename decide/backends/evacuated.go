package backends

import (
	"maps"
	"time"

	"github.com/auburnmoor/auburnmoor/internal/set"
)

// evacuations are the data centres whose servers get no new requests.
type evacuations struct {
	evacuated map[string]bool
	// retainedEvacuations are those of the last era that the present one lacks. They stay in force until
	// retainEvacuationsUntil.
	retainedEvacuations    map[string]bool
	retainEvacuationsUntil time.Duration
	// returningUntil is until when the servers of data centres that came back count as cold.
	returningUntil map[string]time.Duration
}

// returnTime is for how long the servers of a data centre that comes back count as cold whatever is known of
// them. Their entries, which say whether they are, arrive by another watch within that time.
const returnTime = 2 * time.Second

// SetEvacuated sets the data centres whose servers get no new requests. A new era of the store, which
// was restored from an older copy, may lack evacuations that nobody took back. They stay in force for
// rewriteTimeout, so that they can be written again.
func (s *Set) SetEvacuated(now time.Duration, dataCentres []string, newEra bool) {
	listed := set.Of(dataCentres)
	if newEra {
		maps.Copy(s.retainedEvacuations, s.evacuated)
		s.retainEvacuationsUntil = now + rewriteTimeout
	}
	maps.DeleteFunc(s.retainedEvacuations, func(dataCentre string, _ bool) bool { return listed[dataCentre] })
	before := s.evacuated
	s.evacuated = listed
	s.recordReturns(now, before)
}

// recordReturns records which of the given data centres are no longer evacuated.
func (s *Set) recordReturns(now time.Duration, before map[string]bool) {
	maps.DeleteFunc(s.returningUntil, func(_ string, until time.Duration) bool { return until <= now })
	for dataCentre := range before {
		if !s.isEvacuated(dataCentre) {
			s.returningUntil[dataCentre] = now + returnTime
		}
	}
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
	before := s.retainedEvacuations
	s.retainedEvacuations = map[string]bool{}
	s.recordReturns(now, before)
	return true
}
