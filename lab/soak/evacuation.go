package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Evacuation takes the servers of a data centre out of use while something else fails, and takes that back
// at its end.
const Evacuation Kind = "evacuation"

// Evacuated: no request reaches a server of an evacuated data centre later than evacuateDeadline after the
// store acknowledged the evacuation.
const Evacuated Promise = "evacuated"

// DropsEvacuation makes the store acknowledge evacuations without writing them.
const DropsEvacuation Mutant = "drops-evacuation"

const (
	evacuateDeadline = 5 * time.Second
	// evacuateAt is when the evacuation of a drawn plan begins.
	evacuateAt = 4 * time.Second
	// cutDelay is the time from the acknowledgement to the failure.
	cutDelay = 50 * time.Millisecond
	// heardDelay is that time if the whole store fails: an instance must have read the evacuation before,
	// and its next watch begins up to half a second after the last one.
	heardDelay = 1200 * time.Millisecond
	// cutPart is the part of the evacuation for which the failure lasts.
	cutPart = 3
	// evacuationStream separates the draws of evacuations from those of other faults.
	evacuationStream = 4
)

// interruption is what fails during an evacuation.
type interruption int

// The interruptions: the store does not answer, instances are killed, all instances are killed, the links of
// instances to the store are cut, another data centre follows, the evacuation is taken back and repeated.
const (
	storeAway interruption = iota
	instancesKilled
	allKilled
	linksCut
	anotherFollows
	takenBack
	interruptions
)

func (f Fault) interruption() interruption { return interruption(f.Pick % uint64(interruptions)) }

// addEvacuation adds an evacuation to a drawn plan.
func (p *Plan) addEvacuation(r *rand.Rand) {
	p.add(r, evacuateAt, Evacuation, p.Length.Std()-quietAtEnd-evacuateAt)
}

// evacuationSpan is an evacuation as the store acknowledged it; to is zero while it lasts.
type evacuationSpan struct {
	dataCentre string
	from, to   time.Time
}

// evacuate injects an Evacuation fault and returns when it was taken back.
func (r *run) evacuate(f Fault) {
	began := time.Now()
	first := int(f.Pick / uint64(interruptions) % dataCentreCount)
	r.site.evacuate(first)
	r.interrupt(f, first)
	time.Sleep(time.Until(began.Add(f.For.Std())))
	for i := range dataCentreCount {
		r.site.takeBack(i)
	}
}

func (r *run) interrupt(f Fault, dataCentre int) {
	f.For /= cutPart
	if f.interruption() == storeAway {
		time.Sleep(heardDelay)
		r.injectStoreFault(f, storeserver.Faults{Silent: true})
		return
	}
	time.Sleep(cutDelay)
	switch f.interruption() {
	case allKilled:
		f.Share = 1
		fallthrough
	case instancesKilled:
		r.disturbInstances(f, func(in *instance) { in.signal(syscall.SIGKILL) }, nil)
	case linksCut:
		f.Kind = CutStore
		r.injectFault(f)
	case anotherFollows:
		time.Sleep(f.For.Std())
		r.site.evacuate((dataCentre + 1) % dataCentreCount)
	case takenBack:
		r.site.takeBack(dataCentre)
		time.Sleep(cutDelay)
		r.site.evacuate(dataCentre)
	}
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (s *site) evacuate(dataCentre int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		s.putEvacuation(dataCentreName(dataCentre))
		s.evacuations = append(s.evacuations, evacuationSpan{dataCentre: dataCentreName(dataCentre), from: time.Now()})
	})
}

func (s *site) putEvacuation(dataCentre string) {
	if s.mutant == DropsEvacuation {
		return
	}
	if err := s.store.Put("evacuations", dataCentre, map[string]any{}); err != nil {
		panic(err)
	}
}

func (s *site) takeBack(dataCentre int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		s.store.Delete("evacuations", dataCentreName(dataCentre))
		for i := range s.evacuations {
			if e := &s.evacuations[i]; e.dataCentre == dataCentreName(dataCentre) && e.to.IsZero() {
				e.to = time.Now()
			}
		}
	})
}

// rewriteEvacuations writes the evacuations again that a restored store may lack, and removes those that
// were taken back. It needs s.mu held.
func (s *site) rewriteEvacuations() {
	for i := range dataCentreCount {
		s.store.Delete("evacuations", dataCentreName(i))
	}
	for _, e := range s.evacuations {
		if e.to.IsZero() {
			s.putEvacuation(e.dataCentre)
		}
	}
}

func (c *checker) checkEvacuated() {
	for _, e := range c.site.evacuations {
		for _, v := range c.site.allServers() {
			if v.dataCentre == e.dataCentre {
				c.checkEvacuation(e, v)
			}
		}
	}
}

// checkEvacuation checks what a server got while its data centre was evacuated. It checks nothing if the
// store failed while the evacuation was made known, and no request shortly after an instance was frozen.
func (c *checker) checkEvacuation(e evacuationSpan, v *server) {
	from, to := e.from.Add(-settlingTime), e.from.Add(heardDelay-cutDelay)
	if !c.site.disturbances.undisturbed(from, to) || !c.known(evacuationsKind, from, to) {
		return
	}
	for _, s := range v.standin.Seen() {
		from := s.At.Add(-settlingTime)
		inTime := !s.At.After(e.from.Add(evacuateDeadline)) || !e.to.IsZero() && s.At.After(e.to)
		held := !v.disturbances.undisturbed(from, s.At) || !v.silences.undisturbed(from, s.At)
		if inTime || held || !c.site.restores.undisturbed(from, s.At) || !c.noneStopped(from, s.At) {
			continue
		}
		c.addViolation(Evacuated, s.At, "%s got request %s %.3fs after the evacuation of %s", v.id, s.ID, s.At.Sub(e.from).Seconds(), e.dataCentre)
	}
}

// noneStopped reports whether every instance could run.
func (c *checker) noneStopped(from, to time.Time) bool {
	for _, in := range c.fleet.instances {
		if !in.freezes.undisturbed(from, to) {
			return false
		}
	}
	return c.hostStalls.undisturbed(from, to)
}
