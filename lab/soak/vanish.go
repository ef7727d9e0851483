package soak

import (
	"math/rand/v2"
	"time"
)

// Vanish makes backend servers start, write their remaining cold time with each heartbeat, and leave
// shortly after one: their entries are removed, and nothing else says that they leave.
const Vanish Kind = "vanish"

const (
	// vanishHeartbeat is the interval at which such a server writes its entry.
	vanishHeartbeat = 1200 * time.Millisecond
	// minVanishLife and extraVanishLife bound the time from the start of such a server to its last heartbeat.
	minVanishLife, extraVanishLife = 500 * time.Millisecond, 2500 * time.Millisecond
	// minAfterBeat and extraAfterBeat bound the time from its last heartbeat to the removal.
	minAfterBeat, extraAfterBeat = 50 * time.Millisecond, 250 * time.Millisecond
	// vanishStream separates the draws of such servers from those of other faults.
	vanishStream = 6
)

// addVanish adds faults of this kind to a drawn plan.
func (p *Plan) addVanish(seed uint64, span time.Duration) {
	r := rand.New(rand.NewPCG(seed, vanishStream))
	for range 2 {
		p.add(r, quietAtStart+time.Duration(r.Int64N(int64(span))), Vanish, 0)
	}
}

// startVanishing adds a server for each target of a fault that leaves without a word.
func (r *run) startVanishing(f Fault) {
	draw := rand.New(rand.NewPCG(f.Pick, vanishStream))
	all := r.site.allServers()
	for _, i := range f.targets(len(all)) {
		life := minVanishLife + time.Duration(draw.Int64N(int64(extraVanishLife)))
		afterBeat := minAfterBeat + time.Duration(draw.Int64N(int64(extraAfterBeat)))
		if err := r.site.addVanishing(all[i].service, life, afterBeat); err != nil {
			r.recordStandinError(err)
		}
		time.Sleep(time.Duration(draw.Int64N(int64(extraAfterBeat))))
	}
}

// addVanishing adds a server that leaves afterBeat after a heartbeat at the end of its life.
func (s *site) addVanishing(service string, life, afterBeat time.Duration) error {
	v, err := s.addServerWith(service, s.beat)
	if err != nil {
		return err
	}
	for at := vanishHeartbeat; at < life; at += vanishHeartbeat {
		time.AfterFunc(at, func() { s.beatOnce(v) })
	}
	time.AfterFunc(life, func() {
		s.beatOnce(v)
		time.AfterFunc(afterBeat, func() { s.vanish(v) })
	})
	return nil
}

// beat writes the entry of a server with the cold time that remains. It needs s.mu held.
func (s *site) beat(v *server) {
	e, remaining := s.entry(v), max(0, coldLasts-time.Since(v.startedAt))
	e.Cold = &remaining
	s.put(e)
}

func (s *site) beatOnce(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		if v.leftAt.IsZero() {
			s.beat(v)
		}
	})
}

// vanish removes the entry of a server that serves on.
func (s *site) vanish(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		if !v.leftAt.IsZero() {
			return
		}
		v.leftAt = time.Now()
		if s.mutant != KeepsEntry {
			s.store.RemoveEntry(v.id)
		}
	})
}
