package simstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Staleness is what a list that may be stale holds.
type Staleness string

// The kinds.
const (
	// Current lists are not stale.
	Current Staleness = ""
	// Past lists are older, with the position at which they were current.
	Past Staleness = "past"
	// PastAsPresent lists are older, with the present position.
	PastAsPresent Staleness = "past as present"
)

// maxStaleAge is the age of the oldest list that may be returned.
const maxStaleAge = 3 * time.Second

// serverList is the list of servers from a revision on.
type serverList struct {
	revision int64
	at       time.Time
	change   backends.Change
	// servers holds all servers by ID. It is never modified.
	servers map[string]backends.Server
}

// PutServer writes the entry of a server and returns the revision, and when it was acknowledged.
func (s *Store) PutServer(v backends.Server) (revision int64, at time.Time) {
	return s.changeServers(backends.Change{ID: v.ID, Server: &v})
}

// RemoveServer removes the entry of a server.
func (s *Store) RemoveServer(id string) (revision int64, at time.Time) {
	return s.changeServers(backends.Change{ID: id})
}

func (s *Store) changeServers(c backends.Change) (revision int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.newestServers().servers)
	if c.Server == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = *c.Server
	}
	s.revision++
	s.serverLists = append(s.serverLists, serverList{revision: s.revision, at: time.Now(), change: c, servers: next})
	s.notify()
	return s.revision, time.Now()
}

// newestServers is the newest list. The caller holds s.mu.
func (s *Store) newestServers() serverList { return s.serverLists[len(s.serverLists)-1] }

// SetStaleness chooses what lists that may be stale hold.
func (s *Store) SetStaleness(k Staleness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = k
}

// ServersAt returns the servers that were listed at a revision of the present era.
func (s *Store) ServersAt(revision int64) []backends.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.listAt(revision).servers))
}

// listAt returns the list at a revision. The caller holds s.mu.
func (s *Store) listAt(revision int64) serverList {
	i, _ := slices.BinarySearchFunc(s.serverLists, revision+1, func(l serverList, r int64) int { return int(l.revision - r) })
	return s.serverLists[max(0, i-1)]
}

// listServers returns the list of servers, or an older one if it may be stale.
func (s *Store) listServers(staleOK bool) catalog.Servers {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, at := s.newestServers(), s.position()
	if staleOK && s.staleness != Current {
		then := time.Now().Add(-time.Duration(s.rand.Float64() * float64(maxStaleAge)))
		for i := len(s.serverLists) - 1; i > 0 && list.at.After(then); i-- {
			list = s.serverLists[i-1]
		}
		if s.staleness == Past {
			at.Revision = list.revision
		}
	}
	return catalog.Servers{Servers: slices.Collect(maps.Values(list.servers)), At: at}
}

// serverChanges returns the changes of servers after one revision up to another, in their order.
func (s *Store) serverChanges(after, upTo int64) (out []backends.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.serverLists[1:] {
		if l.revision > after && l.revision <= upTo {
			out = append(out, l.change)
		}
	}
	return out
}

// Servers implements catalog.Catalog.
func (c *Client) Servers(ctx context.Context, staleOK bool) (catalog.Servers, error) {
	k, err := c.begin(ctx, watch.Servers)
	if err != nil {
		return catalog.Servers{}, err
	}
	out := c.store.listServers(staleOK)
	if err := k.finish(ctx, serverBytes*len(out.Servers)); err != nil {
		return catalog.Servers{}, err
	}
	return out, c.accept(out.At)
}

// WatchServers implements catalog.Catalog.
func (c *Client) WatchServers(ctx context.Context, after position.Position, wait time.Duration) (catalog.ServerChanges, error) {
	at, changed, err := c.watch(ctx, watch.Servers, after, wait, func(s *Store) int64 { return s.newestServers().revision })
	out := catalog.ServerChanges{At: at}
	if err == nil && changed {
		out.Changes = c.store.serverChanges(after.Revision, at.Revision)
	}
	return out, err
}
