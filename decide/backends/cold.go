package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

// A server that has just started, or whose data centre comes back, is cold for a while and takes only
// a few requests per second. Its entry, the server itself or another instance states how long it remains
// cold. If nobody has stated that, the usual time of its service counts:
//   - from the moment at which its incarnation appeared, if that was after the first list, unless its Life
//     shows that it has run for longer;
//   - from its start according to its Life, if it was in the first list, started before this instance, and
//     a server of that list has run for much longer. Otherwise it is not cold: when a deployment starts as
//     a whole, no server counts as cold.

// startSpread is the time within which the servers of a deployment start that is started as a whole.
const startSpread = 10 * time.Second

// ColdTime is a statement of how long a server remains cold.
type ColdTime struct {
	// Known is unset if nothing was stated.
	Known bool
	// Remaining counts from the moment at which the statement is received; zero: it is not cold.
	Remaining time.Duration
	// FromPeer is set if another instance states it.
	FromPeer bool
	// At is the position of the store at which the statement was made, zero if unknown.
	At position.Position
}

// coldRecord is what is known of the cold time of one incarnation of a server, by the local clock.
type coldRecord struct {
	life Life
	// stated is set if the end of the cold time was stated, until is that end.
	stated bool
	until  time.Duration
	// at is the position of the store at which that was stated, zero if unknown. shortenedAt is when
	// the end last became an earlier one, zero if it never did.
	at          position.Position
	shortenedAt time.Duration
	// appeared is set if the incarnation was not in the first list; appearedAt is when it was first
	// listed, and ran for how long it had run by then, zero if unknown.
	appeared   bool
	appearedAt time.Duration
	ran        time.Duration
	// preceded is set if the incarnation was in the first list and had started before this instance;
	// oldest is for how long the first server of that list to start had run.
	preceded bool
	oldest   time.Duration
}

// coldUntil returns when the server is warm if servers of its service are cold for usual after
// their start.
func (g coldRecord) coldUntil(usual time.Duration) time.Duration {
	switch {
	case g.stated:
		return g.until
	case g.appeared && g.ran <= usual:
		return g.appearedAt + usual
	case g.preceded && g.ran <= usual && g.oldest > usual+startSpread:
		return g.appearedAt + usual - g.ran
	default:
		return 0
	}
}

// SetClock sets the time of day at which the local clock was zero, to which Life is compared. Without
// it nothing is derived from Life.
func (s *Set) SetClock(zero time.Time) { s.clockZero = zero }

// recordCold updates the cold record of a server from an entry.
func (s *Set) recordCold(now time.Duration, v Server) {
	g, known := s.coldRecords[v.ID]
	if !known || !g.life.Same(v.Life) {
		g = coldRecord{appeared: s.listed, appearedAt: now, ran: s.ranFor(now, v.Life)}
		g.preceded = !s.listed && g.ran > now
	}
	if v.Life != 0 {
		g.life = v.Life
	}
	c := v.Cold
	if !c.FromPeer {
		c.At = s.at
	}
	g.adopt(now, c)
	s.coldRecords[v.ID] = g
}

// adopt takes over a statement of the cold time unless a later one is known. From another instance, one
// of unknown position may be older, so it extends the cold time but does not shorten it. One of the known
// position is the same statement, delayed on its way, so the earlier end counts: otherwise the cold time
// would grow with each repetition.
func (g *coldRecord) adopt(now time.Duration, c ColdTime) {
	if !c.Known || c.At != unknownPosition && c.At.Before(g.at) {
		return
	}
	until := now + c.Remaining
	if c.FromPeer && g.stated {
		switch c.At {
		case unknownPosition:
			until = max(until, g.until)
		case g.at:
			until = earlierEnd(until, g.until)
		}
	}
	if g.stated && until < g.until-coldPrecision && g.until > now {
		g.shortenedAt = now
	}
	g.stated, g.until, g.at = true, until, position.Later(c.At, g.at)
}

// coldPrecision is the difference below which two ends of one cold time count as equal.
const coldPrecision = 20 * time.Millisecond

// unknownPosition is that of statements whose position is unknown.
var unknownPosition position.Position

// earlierEnd returns the earlier of two ends of one cold time, and the known one if they are equal.
func earlierEnd(received, known time.Duration) time.Duration {
	if received < known-coldPrecision {
		return received
	}
	return known
}

// ranFor returns how long a server has run, or zero if that is unknown.
func (s *Set) ranFor(now time.Duration, life Life) time.Duration {
	if life == 0 || s.clockZero.IsZero() {
		return 0
	}
	return max(0, s.clockZero.Add(now).Sub(time.UnixMilli(int64(life))))
}

// recordOldest records for how long the first server of the first list to start had run.
func (s *Set) recordOldest() {
	oldest := time.Duration(0)
	for _, g := range s.coldRecords {
		oldest = max(oldest, g.ran)
	}
	for id, g := range s.coldRecords {
		g.oldest = oldest
		s.coldRecords[id] = g
	}
}

// expireColdRecords removes the records of servers that are gone. A record stays as long as the departure
// is remembered: a server that the store lists again in the same incarnation has not become cold.
func (s *Set) expireColdRecords() {
	for id, g := range s.coldRecords {
		_, listed := s.byID[id]
		_, retained := s.retained[id]
		_, departed := s.departed[id]
		if !listed && !retained && (!departed || g.life == 0) {
			delete(s.coldRecords, id)
		}
	}
}

// ColdUntil returns until when a server is cold by the local clock, zero if it never was. Servers of its
// service are cold for usual after their start.
func (s *Snapshot) ColdUntil(id string, usual time.Duration) time.Duration {
	return max(s.cold[id].coldUntil(usual), s.returningUntil[s.byID[id].DataCentre])
}

// ColdTime returns what is known at a time of a server's cold time, to be stated to other instances.
// What follows from Life alone is not stated: they derive it themselves, by their own clocks.
func (s *Snapshot) ColdTime(now time.Duration, id string, usual time.Duration) ColdTime {
	g, known := s.cold[id]
	if !g.stated && !g.appeared {
		return ColdTime{}
	}
	remaining := max(0, g.coldUntil(usual)-now)
	return ColdTime{Known: known && (g.stated || remaining > 0), Remaining: remaining, At: g.at}
}

// ColdServer is a server that is cold.
type ColdServer struct {
	Server
	// Until is when it is warm by the local clock.
	Until time.Duration
}

// Cold returns the servers that are cold at a time, sorted by ID. The function usual returns how long
// servers of a service are cold after their start, and whether its cold servers matter.
func (s *Snapshot) Cold(now time.Duration, usual func(service string) (time.Duration, bool)) (out []ColdServer) {
	for id := range s.cold {
		v, listed := s.byID[id]
		if !listed {
			continue
		}
		if d, matters := usual(v.Service); matters && s.ColdUntil(id, d) > now {
			out = append(out, ColdServer{v, s.ColdUntil(id, d)})
		}
	}
	slices.SortFunc(out, func(a, b ColdServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
