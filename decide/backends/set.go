package backends

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

const (
	// departureTTL is how long the departure of a server is remembered, so that a stale
	// read of the list, which may lag by seconds, cannot bring the server back.
	departureTTL = 30 * time.Second
	// rewriteTimeout is the time within which servers rewrite entries that the store
	// lost, as the platform specifies; a server whose entry is still missing
	// afterwards has ended.
	rewriteTimeout = 2 * time.Second
	// staleEntryTTL exceeds the three missed heartbeats after which the store itself
	// deletes the entry of a dead server.
	staleEntryTTL = 5 * time.Second
)

// Set is the list of servers, updated by each change as it arrives.
//
// A store that is restored from an older backup begins a new era. Its list lacks servers
// that registered since the backup and includes servers that left since, so the set
// trusts neither at once. A missing server stays in use until it has had the time to
// register again; otherwise all load would go to the few servers in the backup. A server
// that was seen to leave or to restart, and that the backup lists in its earlier life,
// gets no requests until it writes its entry again or the store would have deleted it:
// the process at its address may be a later life that is leaving.
type Set struct {
	at      position.Position
	byID    map[string]Server
	leaving map[string][]departure
	// departed holds the servers that left the list.
	departed map[string]departure
	// retained holds the servers that a new era lacks and that stay in use until retainUntil.
	retained map[string]Server
	// presumedStale holds the listed servers that are not used until distrustUntil.
	presumedStale map[string]bool
	evacuations
	// coldRecords are by server ID; listed is set once there was a list, and clockZero is the time of day
	// at which the local clock was zero.
	coldRecords   map[string]coldRecord
	listed        bool
	clockZero     time.Time
	retainUntil   time.Duration
	distrustUntil time.Duration
}

// departure is when a server announced that it leaves, or left the list, and in which life.
type departure struct {
	at   time.Duration
	life Life
	// said is set if the server said so itself in an answer, and no entry of it did.
	said bool
}

// isOf reports whether a departure is of a life of its server. An answer is of one life exactly.
func (d departure) isOf(life Life) bool {
	if d.said {
		return d.life == life
	}
	return d.life.Same(life)
}

// expired reports whether a departure is no longer remembered.
func (d departure) expired(now time.Duration) bool { return now-d.at > departureTTL }

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		byID: map[string]Server{}, leaving: map[string][]departure{}, departed: map[string]departure{},
		retained: map[string]Server{}, presumedStale: map[string]bool{}, coldRecords: map[string]coldRecord{},
		evacuations: evacuations{retainedEvacuations: map[string]bool{}, returningUntil: map[string]time.Duration{}},
	}
}

// Replace adopts a complete list read at a position. It ignores a list older than the
// current one.
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
			s.departed[id] = departure{at: now, life: v.Life}
		}
	}
	if !s.listed {
		s.recordOldest()
	}
	s.listed = true
	s.expireDepartures(now)
	s.expireColdRecords()
	return true
}

// beginEra decides which servers of the last era to retain, and which entries of the new
// list to presume stale.
func (s *Set) beginEra(now time.Duration, servers []Server) {
	for id, v := range s.byID {
		if !v.Leaving && !s.presumedStale[id] {
			v.unlisted = true
			s.retained[id] = v
		}
	}
	s.retainUntil, s.distrustUntil = now+rewriteTimeout, now+staleEntryTTL
	for _, v := range servers {
		d, ended := s.departed[v.ID]
		ended = ended && !d.expired(now) && (d.life.Same(v.Life) || v.Life < d.life)
		previous, known := s.byID[v.ID]
		if ended || known && !previous.Life.Same(v.Life) && v.Life < previous.Life {
			s.presumedStale[v.ID] = true
		}
	}
}

func (s *Set) expireDepartures(now time.Duration) {
	for id, list := range s.leaving {
		v := s.byID[id]
		s.leaving[id] = slices.DeleteFunc(list, func(d departure) bool { return d.expired(now) && !(d.said && s.holds(v, d)) })
		if len(s.leaving[id]) == 0 {
			delete(s.leaving, id)
		}
		if v.said && !s.isLeaving(v) {
			v.Leaving, v.said = false, false
			s.byID[id] = v
		}
	}
	s.expireDeparted(now)
}

func (s *Set) expireDeparted(now time.Duration) {
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool { return d.expired(now) })
}

// holds reports whether what a server said of itself holds as long as its entry v is listed. Lives
// that are not known cannot be told apart, so their word expires.
func (s *Set) holds(v Server, d departure) bool { return v.Life != 0 && v.Life == d.life }

// isLeaving reports whether a life of a server announced that it leaves.
func (s *Set) isLeaving(v Server) bool {
	return slices.ContainsFunc(s.leaving[v.ID], func(d departure) bool { return d.isOf(v.Life) })
}

// onlySaidLeaving reports whether a life of a server said that it leaves and no entry did.
func (s *Set) onlySaidLeaving(v Server) bool {
	return s.isLeaving(v) && !slices.ContainsFunc(s.leaving[v.ID], func(d departure) bool { return !d.said && d.isOf(v.Life) })
}

// MarkLeaving records that a server said of itself that it leaves, whatever its entry says, and
// reports whether that changed the set. The list need not hold its entry yet.
func (s *Set) MarkLeaving(now time.Duration, id string, life Life) (changed bool) {
	if slices.ContainsFunc(s.leaving[id], func(d departure) bool { return d.life == life }) {
		return false
	}
	s.expireDepartures(now)
	s.leaving[id] = append(s.leaving[id], departure{at: now, life: life, said: true})
	if v, listed := s.byID[id]; listed && v.Life == life && !v.Leaving {
		v.Leaving, v.said = true, true
		s.byID[id] = v
		changed = true
	}
	if v, retained := s.retained[id]; retained && v.Life == life {
		delete(s.retained, id)
		changed = true
	}
	return changed
}

// recordLeaving records that a life of a server leaves. A known life supersedes a record
// whose life is unknown, which would match every later life too: it was this life or an
// earlier one.
func (s *Set) recordLeaving(now time.Duration, v Server) {
	if v.Life != 0 {
		s.leaving[v.ID] = slices.DeleteFunc(s.leaving[v.ID], func(d departure) bool { return d.life == 0 })
	}
	for i, d := range s.leaving[v.ID] {
		if d.life == v.Life {
			s.leaving[v.ID][i] = departure{at: now, life: v.Life}
			return
		}
	}
	s.leaving[v.ID] = append(s.leaving[v.ID], departure{at: now, life: v.Life})
}

// Apply adopts changes that lead to a position of the same era.
func (s *Set) Apply(now time.Duration, changes []Change, at position.Position) bool {
	if at.Before(s.at) {
		return false
	}
	s.at = at
	s.expireDeparted(now)
	for _, c := range changes {
		// A change in this era was written after the restore.
		delete(s.presumedStale, c.ID)
		if c.Server != nil {
			s.put(now, *c.Server)
			continue
		}
		delete(s.retained, c.ID)
		s.departed[c.ID] = departure{at: now, life: s.byID[c.ID].Life}
		delete(s.byID, c.ID)
		if s.coldRecords[c.ID].life == 0 {
			delete(s.coldRecords, c.ID)
		}
	}
	return true
}

// Advance records that the list is the same at a later position of its era, and reports whether that is
// a later one.
func (s *Set) Advance(at position.Position) bool {
	if at.Era != s.at.Era || !s.at.Before(at) {
		return false
	}
	s.at = at
	return true
}

// put stores an entry. A server that announced that it is leaving never returns in the
// same life, so it stays leaving. Another life of the ID is a new server, whether its
// clock says earlier or later: lists and changes arrive in the order of the store's
// positions, so a later entry was written later. An entry that the old life wrote late
// can take the new one out of use until its next heartbeat: one server is lost for a
// second, and a leaving server never gets a request.
func (s *Set) put(now time.Duration, v Server) {
	s.recordCold(now, v)
	v.Cold = ColdTime{}
	v.said = !v.Leaving && s.onlySaidLeaving(v)
	v.LeftEarlier = v.LeftEarlier || !v.Leaving && !v.said && s.isLeaving(v)
	v.Leaving = v.Leaving || v.LeftEarlier || v.said
	if v.Leaving && !v.said {
		s.recordLeaving(now, v)
	}
	if v.Leaving || !s.presumedStale[v.ID] {
		delete(s.retained, v.ID)
	}
	s.byID[v.ID] = v
}

// EndGracePeriods ends the grace periods of a new era that have expired, and reports whether that
// changed the set.
func (s *Set) EndGracePeriods(now time.Duration) (changed bool) {
	if len(s.retained) > 0 && now >= s.retainUntil {
		clear(s.retained)
		changed = true
	}
	if len(s.presumedStale) > 0 && now >= s.distrustUntil {
		clear(s.presumedStale)
		changed = true
	}
	return s.endRetainedEvacuations(now) || changed
}

// InGracePeriod reports whether any grace period of a new era is in progress.
func (s *Set) InGracePeriod() bool {
	return len(s.retained)+len(s.presumedStale)+len(s.retainedEvacuations) > 0
}

// Retained counts the servers that are used although the store does not list them.
func (s *Set) Retained() int { return len(s.retained) }

// PresumedStale counts the servers that are listed but not used, because they were seen to
// leave or to restart before the store was restored from a backup.
func (s *Set) PresumedStale() int { return len(s.presumedStale) }

// Snapshot returns an immutable view of the set.
func (s *Set) Snapshot() *Snapshot {
	out := &Snapshot{
		At: s.at, byID: make(map[string]Server, len(s.byID)+len(s.retained)), services: map[string][]Server{},
		evacuated: map[string]int{}, cold: map[string]coldRecord{}, returningUntil: maps.Clone(s.returningUntil),
		departed: make(map[string]Life, len(s.departed)),
	}
	for id, g := range s.coldRecords {
		if g.stated || g.appeared || g.preceded {
			out.cold[id] = g
		}
	}
	for id, d := range s.departed {
		out.departed[id] = d.life
	}
	for id, v := range s.byID {
		out.byID[id] = v
		out.Digest += v.digest()
		if !v.Leaving && !s.presumedStale[id] {
			out.add(v, s.isEvacuated(v.DataCentre))
		}
	}
	for id, v := range s.retained {
		if listed, ok := s.byID[id]; ok {
			// A list of another instance holds the entry in use only, and its digest too.
			out.Digest -= listed.digest()
		}
		out.byID[id] = v
		out.add(v, s.isEvacuated(v.DataCentre))
	}
	for _, list := range out.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
