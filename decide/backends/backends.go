// Package backends keeps what is known of the backend servers and since when.
// A set is changed by one goroutine; Snapshot gives others a view that does not
// change.
package backends

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Life tells the starts of a server under one ID apart: the Unix millisecond of its
// start, by its own clock, or zero if that is not known.
type Life int64

// Same reports whether two lives may be one. A life that is not known may be any.
func (l Life) Same(o Life) bool { return l == 0 || o == 0 || l == o }

// Server is one life of a backend server.
type Server struct {
	ID         string
	Life       Life
	Service    string
	Addr       string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving servers finish what they have and take nothing new.
	Leaving bool
}

// digest is a hash of all that is told of a server. Sums of digests do not depend on an
// order.
func (s Server) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s\x00%s\x00%s\x00%d\x00%t", s.ID, s.Life, s.Service, s.Addr, s.DataCentre, s.Slots, s.Leaving))
}

// Change is one event of the list of servers.
type Change struct {
	ID string
	// Server is nil when the server left the list.
	Server *Server
}

// Snapshot is the set at one revision.
type Snapshot struct {
	// Revision is the store's revision that the snapshot reflects.
	Revision int64
	// Digest tells snapshots of unlike content apart; equal content has one digest at
	// whichever revision it was read.
	Digest   uint64
	byID     map[string]Server
	services map[string][]Server
}

// Ready returns the servers of a service that may get new work, by ID.
func (s *Snapshot) Ready(service string) []Server { return s.services[service] }

// Get returns a server by ID, leaving or not.
func (s *Snapshot) Get(id string) (Server, bool) {
	v, ok := s.byID[id]
	return v, ok
}

// All returns every server, leaving ones included, in no order.
func (s *Snapshot) All() []Server {
	out := make([]Server, 0, len(s.byID))
	for _, v := range s.byID {
		out = append(out, v)
	}
	return out
}

// Len counts the servers, leaving ones included.
func (s *Snapshot) Len() int { return len(s.byID) }

// departedFor is how long a server that left is remembered, so that an older
// read of the list cannot bring it back. Stale reads are seconds behind.
const departedFor = 30 * time.Second

// Set is the list of servers as its changes arrive.
type Set struct {
	revision int64
	byID     map[string]Server
	leaving  map[string]departure
}

// departure is when a server said that it leaves, and in which life.
type departure struct {
	at   time.Duration
	life Life
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{byID: map[string]Server{}, leaving: map[string]departure{}}
}

// Replace takes over a whole list read at a revision. An older list than the
// one held is ignored.
func (s *Set) Replace(now time.Duration, servers []Server, revision int64) bool {
	if revision < s.revision {
		return false
	}
	s.revision = revision
	s.byID = make(map[string]Server, len(servers))
	for _, v := range servers {
		s.put(now, v)
	}
	for id, d := range s.leaving {
		if now-d.at > departedFor {
			delete(s.leaving, id)
		}
	}
	return true
}

// Apply takes over changes that lead to a revision.
func (s *Set) Apply(now time.Duration, changes []Change, revision int64) bool {
	if revision < s.revision {
		return false
	}
	s.revision = revision
	for _, c := range changes {
		if c.Server == nil {
			delete(s.byID, c.ID)
			continue
		}
		s.put(now, *c.Server)
	}
	return true
}

// put keeps a server that once said that it is leaving in that state: a server never
// returns from it in the same life. Another life of the ID is a new server, whether
// its clock says earlier or later: lists and changes are taken in the order of the
// store's revisions, so what comes later was written later. An entry that the old life
// wrote late can take the new one out until its next heartbeat, which costs a second
// of one server and sends nothing to a server that leaves.
func (s *Set) put(now time.Duration, v Server) {
	if d, known := s.leaving[v.ID]; known && d.life.Same(v.Life) {
		v.Leaving = true
	}
	if v.Leaving {
		s.leaving[v.ID] = departure{now, v.Life}
	}
	s.byID[v.ID] = v
}

// Snapshot returns the present set.
func (s *Set) Snapshot() *Snapshot {
	out := &Snapshot{Revision: s.revision, byID: make(map[string]Server, len(s.byID)), services: map[string][]Server{}}
	for id, v := range s.byID {
		out.byID[id] = v
		out.Digest += v.digest()
		if !v.Leaving {
			out.services[v.Service] = append(out.services[v.Service], v)
		}
	}
	for _, list := range out.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
