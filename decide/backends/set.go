package backends

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

const (
	// departedFor is how long a server that left is remembered, so that an older
	// read of the list cannot bring it back. Stale reads are seconds behind.
	departedFor = 30 * time.Second
	// rewrittenWithin is the time in which servers write their entries again that the
	// store lost, as the platform states it; one that is still missing then is gone.
	rewrittenWithin = 2 * time.Second
	// lapsesWithin is above the three heartbeats of silence after which the store itself
	// drops the entry of a server that does not live.
	lapsesWithin = 5 * time.Second
)

// Set is the list of servers as its changes arrive.
//
// When the store comes back from an older copy, its list lacks servers that registered
// since the copy, and shows again those that left. Neither is taken at its word. A
// server that is missing stays in use until it has had the time to write again: all work
// would otherwise go to the few that the copy knows. A server that was seen to end, or to
// have started again, and that the copy lists in its former life, gets no work until it
// writes again, or until the store itself would have dropped it: what listens at its
// address may be the next life, which leaves.
type Set struct {
	at       position.Position
	byID     map[string]Server
	leaving  map[string][]departure
	gone     map[string]departure
	kept     map[string]Server
	doubted  map[string]bool
	keepTill time.Duration
	// doubtTill is when doubted entries are believed.
	doubtTill time.Duration
}

// departure is when a server said that it leaves, or left the list, and in which life.
type departure struct {
	at   time.Duration
	life Life
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		byID: map[string]Server{}, leaving: map[string][]departure{}, gone: map[string]departure{},
		kept: map[string]Server{}, doubted: map[string]bool{},
	}
}

// Replace takes over a whole list read at a position. An older list than the
// one held is ignored.
func (s *Set) Replace(now time.Duration, servers []Server, at position.Position) bool {
	if at.Before(s.at) {
		return false
	}
	before := s.byID
	newEra := at.Era > s.at.Era && s.at != position.Position{}
	if newEra {
		s.beginEra(now, servers)
	}
	s.at = at
	s.byID = make(map[string]Server, len(servers))
	for _, v := range servers {
		s.put(now, v)
	}
	for id, v := range before {
		if _, listed := s.byID[id]; !listed && !newEra {
			s.gone[id] = departure{now, v.Life}
		}
	}
	s.forget(now)
	return true
}

// beginEra decides what holds of the list of an earlier era.
func (s *Set) beginEra(now time.Duration, servers []Server) {
	for id, v := range s.byID {
		if !v.Leaving && !s.doubted[id] {
			v.kept = true
			s.kept[id] = v
		}
	}
	s.keepTill, s.doubtTill = now+rewrittenWithin, now+lapsesWithin
	for _, v := range servers {
		d, ended := s.gone[v.ID]
		ended = ended && now-d.at <= departedFor && (d.life.Same(v.Life) || v.Life < d.life)
		held, known := s.byID[v.ID]
		if ended || known && !held.Life.Same(v.Life) && v.Life < held.Life {
			s.doubted[v.ID] = true
		}
	}
}

func (s *Set) forget(now time.Duration) {
	old := func(d departure) bool { return now-d.at > departedFor }
	for id, list := range s.leaving {
		if s.leaving[id] = slices.DeleteFunc(list, old); len(s.leaving[id]) == 0 {
			delete(s.leaving, id)
		}
	}
	maps.DeleteFunc(s.gone, func(_ string, d departure) bool { return old(d) })
}

// noteLeaving remembers that a life of a server leaves. A life that was not known when it
// left was this one or an earlier one; it stands for all lives no longer.
func (s *Set) noteLeaving(now time.Duration, v Server) {
	if v.Life != 0 {
		s.leaving[v.ID] = slices.DeleteFunc(s.leaving[v.ID], func(d departure) bool { return d.life == 0 })
	}
	for i, d := range s.leaving[v.ID] {
		if d.life == v.Life {
			s.leaving[v.ID][i].at = now
			return
		}
	}
	s.leaving[v.ID] = append(s.leaving[v.ID], departure{now, v.Life})
}

// Apply takes over changes that lead to a position of the same era.
func (s *Set) Apply(now time.Duration, changes []Change, at position.Position) bool {
	if at.Before(s.at) {
		return false
	}
	s.at = at
	for _, c := range changes {
		// What changes in this era was written in it.
		delete(s.doubted, c.ID)
		if c.Server != nil {
			s.put(now, *c.Server)
			continue
		}
		delete(s.kept, c.ID)
		s.gone[c.ID] = departure{now, s.byID[c.ID].Life}
		delete(s.byID, c.ID)
	}
	return true
}

// put keeps a server that once said that it is leaving in that state: a server never
// returns from it in the same life. Another life of the ID is a new server, whether
// its clock says earlier or later: lists and changes are taken in the order of the
// store's positions, so what comes later was written later. An entry that the old life
// wrote late can take the new one out until its next heartbeat, which costs a second
// of one server and sends nothing to a server that leaves.
func (s *Set) put(now time.Duration, v Server) {
	v.Leaving = v.Leaving || slices.ContainsFunc(s.leaving[v.ID], func(d departure) bool { return d.life.Same(v.Life) })
	if v.Leaving {
		s.noteLeaving(now, v)
	}
	if v.Leaving || !s.doubted[v.ID] {
		delete(s.kept, v.ID)
	}
	s.byID[v.ID] = v
}

// Settle ends what holds only for a while after a new era, and reports whether that
// changed the set.
func (s *Set) Settle(now time.Duration) (changed bool) {
	if len(s.kept) > 0 && now >= s.keepTill {
		clear(s.kept)
		changed = true
	}
	if len(s.doubted) > 0 && now >= s.doubtTill {
		clear(s.doubted)
		changed = true
	}
	return changed
}

// Kept counts the servers that are used though they are not listed, Doubted those that
// are listed and not used.
func (s *Set) Kept() int { return len(s.kept) }

// Doubted counts the servers that are listed and not used, because they were seen to
// leave before the store came back from a copy.
func (s *Set) Doubted() int { return len(s.doubted) }

// Snapshot returns the present set.
func (s *Set) Snapshot() *Snapshot {
	out := &Snapshot{At: s.at, byID: make(map[string]Server, len(s.byID)+len(s.kept)), services: map[string][]Server{}}
	for id, v := range s.byID {
		out.byID[id] = v
		out.Digest += v.digest()
		if !v.Leaving && !s.doubted[id] {
			out.services[v.Service] = append(out.services[v.Service], v)
		}
	}
	for id, v := range s.kept {
		out.byID[id] = v
		out.services[v.Service] = append(out.services[v.Service], v)
	}
	for _, list := range out.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
