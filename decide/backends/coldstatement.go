package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

// The cold time of a server is no part of the digest of a list, so an instance that missed the change
// that states it does not request the list. While servers are cold, each instance therefore repeats
// what was stated to some others.
const (
	// ColdRepeatInterval and ColdRepeatPeers are how often, and to how many random others, an instance
	// repeats statements: four rounds within the second in which 99 of 100 instances must know them.
	ColdRepeatInterval = 250 * time.Millisecond
	ColdRepeatPeers    = 2
	// ColdChangePeers is the number of others to which an instance sends them at once when it learns that
	// a server became cold, so that most instances know before the first round.
	ColdChangePeers = 4
	// shortenedRepeat is how long instances repeat that a cold time ended earlier than stated before.
	shortenedRepeat = 2 * time.Second
)

// ColdStatement is what was stated of the cold time of one incarnation of a server.
type ColdStatement struct {
	ID   string
	Life Life
	ColdTime
}

// ColdStatements returns what is to be repeated to other instances, sorted by server: the statements
// on listed servers that are cold, or whose cold time ended early a short time ago.
func (s *Snapshot) ColdStatements(now time.Duration, matters func(service string) bool) (out []ColdStatement) {
	for id, g := range s.cold {
		v, listed := s.byID[id]
		recent := g.until > now || g.shortenedAt > 0 && now-g.shortenedAt < shortenedRepeat
		if listed && g.stated && g.at != unknownPosition && recent && matters(v.Service) {
			out = append(out, ColdStatement{id, v.Life, ColdTime{Known: true, Remaining: max(0, g.until-now), FromPeer: true, At: g.at}})
		}
	}
	slices.SortFunc(out, func(a, b ColdStatement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// AdoptCold takes over statements that other instances repeat, and reports whether any said something
// new. Those on other incarnations than the listed ones have no effect.
func (s *Set) AdoptCold(now time.Duration, statements []ColdStatement) (changed bool) {
	for _, c := range statements {
		v, listed := s.byID[c.ID]
		if !listed || v.Life != c.Life || c.At == unknownPosition {
			continue
		}
		g := s.coldRecords[c.ID]
		before := g
		g.adopt(now, c.ColdTime)
		s.coldRecords[c.ID] = g
		changed = changed || g != before
	}
	return changed
}

// StateCold takes over what a listed incarnation of a server itself states of its cold time, which is
// newer than its entry.
func (s *Set) StateCold(now time.Duration, id string, life Life, remaining time.Duration) (changed bool) {
	v, listed := s.byID[id]
	if !listed || v.Life != life {
		return false
	}
	g := s.coldRecords[id]
	g.adopt(now, ColdTime{Known: true, Remaining: remaining, At: position.Later(s.at, g.at)})
	s.coldRecords[id] = g
	return true
}
