package follow

import (
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

// mismatch is a list of servers of this instance that another one contradicted.
type mismatch struct {
	at     position.Position
	digest uint64
}

// contradicts reports whether a peer's list differs from the local one at the same position of the
// store, where there is only one list.
func (o offer) contradicts(s *backends.Snapshot) bool {
	return s != nil && o.servers.Revision > 0 && o.servers == s.At && o.digest != s.Digest
}

// compareServers compares the local list of servers with that of a peer, and counts and logs each local
// list that a peer contradicts.
func (f *Follower) compareServers(o offer) {
	s := f.Servers()
	if !o.contradicts(s) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	found := mismatch{at: s.At, digest: s.Digest}
	if f.mismatch == found {
		return
	}
	f.mismatch = found
	f.scope.Counter("servers_mismatches_total").Inc(1)
	f.log.Warn("list of backend servers differs from that of another instance at the same position", zap.String("peer", o.peer),
		zap.Stringer("at", s.At), zap.Int("servers", s.Len()), digestField(s.Digest), zap.String("peer_digest", formatDigest(o.digest)))
}
