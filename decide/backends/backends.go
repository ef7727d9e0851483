// Package backends tracks the listed backend servers and which of them may get requests.
// A Set belongs to one goroutine; Snapshot returns an immutable view for the others.
package backends

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/digest"
)

// Life identifies one incarnation of a server under its ID: the Unix time in milliseconds
// of its start, by its own clock, or zero if that is unknown.
type Life int64

// Same reports whether two lives may be the same one. An unknown life matches any.
func (l Life) Same(o Life) bool { return l == 0 || o == 0 || l == o }

// Server is one life of a backend server.
type Server struct {
	ID         string
	Life       Life
	Service    string
	Addr       string
	DataCentre string
	// Version is that of the server's software.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving servers finish their requests and accept no new ones.
	Leaving bool
	// LeftEarlier is set if Leaving is due to an earlier entry of this life, and the listed one says ready.
	LeftEarlier bool
	// Cold is the cold time that an entry states when it is received. It is unset in the servers of a Set,
	// which has Snapshot.ColdUntil instead.
	Cold ColdTime
	// said is set if Leaving is what the server said of itself, and its entry does not say so.
	said bool
	// unlisted marks a server that is temporarily used although the store does not list it.
	unlisted bool
}

// EntryLeaving reports whether the server leaves by its entry, or by an earlier one.
func (s Server) EntryLeaving() bool { return s.Leaving && !s.said }

// digest is a hash of a server's entry. The sum of the digests of a list does not depend
// on its order. What the server said of itself, and what earlier entries said, is no part of its entry. The
// cold time is left out because instances that receive the same entry at different times differ in it.
func (s Server) digest() uint64 {
	var d digest.Fields
	d.Reset()
	d.AddText(s.ID, s.Service, s.Addr, s.DataCentre, s.Version)
	d.AddNumbers(uint64(s.Life), uint64(s.Slots), digest.Bit(s.EntryLeaving() && !s.LeftEarlier))
	return d.Sum64()
}

// Change is one update to the list of servers.
type Change struct {
	ID string
	// Server is nil if the server left the list.
	Server *Server
}

// Snapshot is an immutable view of a Set at one position of the store.
type Snapshot struct {
	// At is the position of the store that the snapshot reflects.
	At position.Position
	// Digest identifies the listed entries, independently of the position they were read at.
	Digest   uint64
	byID     map[string]Server
	services map[string][]Server
	// evacuated counts the servers by service that get no new requests only because their data centre is
	// evacuated.
	evacuated map[string]int
	// cold holds the servers that may be cold or have been so, by ID.
	cold map[string]coldRecord
	// returningUntil is until when the servers of a data centre count as cold because it came back.
	returningUntil map[string]time.Duration
	// departed holds the lives of servers that left the list a short time ago.
	departed map[string]Life
}

// Precedes reports whether the snapshot is older than a position; there is none yet if it is nil.
func (s *Snapshot) Precedes(at position.Position) bool { return s == nil || s.At.Before(at) }

// AdvancedTo returns the same list at a later position.
func (s *Snapshot) AdvancedTo(at position.Position) *Snapshot {
	out := *s
	out.At = at
	return &out
}

// Ready returns the servers of a service that may get new requests, sorted by ID.
func (s *Snapshot) Ready(service string) []Server { return s.services[service] }

// IsReady reports whether a life of a server may get new requests.
func (s *Snapshot) IsReady(v Server) bool {
	return slices.ContainsFunc(s.services[v.Service], func(o Server) bool { return o.ID == v.ID && o.Life.Same(v.Life) })
}

// HasLeft reports whether a life of a server leaves, or left the list a short time ago. One that was never
// listed has not left: other instances may know it first.
func (s *Snapshot) HasLeft(id string, life Life) bool {
	if v, listed := s.byID[id]; listed && v.Life.Same(life) {
		return v.Leaving
	}
	left, departed := s.departed[id]
	return departed && left.Same(life)
}

// Evacuated counts the servers of a service that get no new requests only because their data centre is
// evacuated.
func (s *Snapshot) Evacuated(service string) int { return s.evacuated[service] }

func (s *Snapshot) add(v Server, evacuated bool) {
	if evacuated {
		s.evacuated[v.Service]++
		return
	}
	s.services[v.Service] = append(s.services[v.Service], v)
}

// Get returns a server by ID, including leaving ones.
func (s *Snapshot) Get(id string) (Server, bool) {
	v, ok := s.byID[id]
	return v, ok
}

// All returns every listed server, including leaving ones, in no particular order.
func (s *Snapshot) All() []Server {
	out := make([]Server, 0, len(s.byID))
	for _, v := range s.byID {
		if !v.unlisted {
			out = append(out, v)
		}
	}
	return out
}

// Len counts the servers, including leaving and unlisted ones.
func (s *Snapshot) Len() int { return len(s.byID) }
