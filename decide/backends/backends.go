// Package backends keeps what is known of the backend servers and since when.
// A set is changed by one goroutine; Snapshot gives others a view that does not
// change.
package backends

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/decide/position"
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
	// kept tells that the server is not listed, and used for a while all the same.
	kept bool
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

// Snapshot is the set at one position of the store.
type Snapshot struct {
	// At is the position of the store that the snapshot reflects.
	At position.Position
	// Digest tells snapshots of unlike content apart; equal content has one digest at
	// whichever position it was read.
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

// All returns every server that is listed, leaving ones included, in no order.
func (s *Snapshot) All() []Server {
	out := make([]Server, 0, len(s.byID))
	for _, v := range s.byID {
		if !v.kept {
			out = append(out, v)
		}
	}
	return out
}

// Len counts the servers, leaving ones included.
func (s *Snapshot) Len() int { return len(s.byID) }
