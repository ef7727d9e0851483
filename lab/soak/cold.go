package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Cold makes backend servers cold: some while they run, others as they come back after an outage.
const Cold Kind = "cold"

// Paced: a cold server gets no more than its rate, from all instances together.
const Paced Promise = "paced"

// HidesCold makes servers come back cold without saying so.
const HidesCold Mutant = "hides-cold"

const (
	// coldRate is the number of requests per second that a cold server takes.
	coldRate = 1
	// coldLasts is how long servers say that they stay cold.
	coldLasts = 6 * time.Second
	// usualColdStart is how long servers count as cold that say nothing of it.
	usualColdStart = time.Second
	// coldOutage is how long servers are away that come back cold.
	coldOutage = 500 * time.Millisecond
	// coldStream separates the draws of cold servers from those of other faults.
	coldStream = 4
)

// hasCold reports whether servers become cold, so that their services need a rate for it.
func (p Plan) hasCold() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == Cold })
}

// addCold adds a fault of this kind to a drawn plan.
func (p *Plan) addCold(seed uint64, span time.Duration) {
	r := rand.New(rand.NewPCG(seed, coldStream))
	p.add(r, quietAtStart+time.Duration(r.Int64N(int64(span))), Cold, 0)
}

// coolServers has the targets of a fault become cold and returns once they are warm.
func (r *run) coolServers(f Fault) {
	all := r.site.allServers()
	var targets []*server
	for _, i := range f.targets(len(all)) {
		targets = append(targets, all[i])
	}
	for _, v := range targets[:len(targets)/2] {
		v.disturbances.begin()
		v.link.refuse()
		v.link.reset()
	}
	time.Sleep(coldOutage)
	for _, v := range targets {
		r.site.becomeCold(v)
	}
	for _, v := range targets[:len(targets)/2] {
		v.link.reopen()
		v.disturbances.end()
	}
	time.Sleep(coldLasts)
}

// becomeCold has a server say that it is cold.
func (s *site) becomeCold(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		if !v.leftAt.IsZero() {
			return
		}
		e, lasts := s.entry(v), coldLasts
		if s.mutant != HidesCold {
			e.Cold = &lasts
		}
		now := time.Now()
		v.colds = append(v.colds, namedLimit{perSecond: coldRate, from: now, to: now.Add(lasts)})
		s.put(e)
	})
}

// checkPaced checks the windows in which a server is cold.
func (c *checker) checkPaced() {
	for _, v := range c.site.allServers() {
		for _, l := range v.colds {
			c.checkLimit(Paced, v, l)
		}
	}
}
