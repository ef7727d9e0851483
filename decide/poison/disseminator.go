package poison

import (
	"math/rand/v2"
	"time"
)

const (
	// fanOut is the number of instances that a change is sent to. With five, a change
	// reaches 99 % of the instances when each forwards it once; gossip reaches the rest.
	fanOut = 5
	// repairInterval is the minimum time between two full transfers. While two changes in
	// quick succession spread, all digests differ for a moment.
	repairInterval = 300 * time.Millisecond
)

// Disseminator decides which instances receive the changes of a table. A change is sent to
// a few instances drawn at random, and each forwards what is new to it (an epidemic
// broadcast). Gossip carries a digest, and an instance whose state differs from the
// sender's sends it all records. This repairs lost messages and initializes new instances.
// It is not safe for concurrent use.
type Disseminator struct {
	rand           *rand.Rand
	repairedAt     time.Duration
	repairedBefore bool
}

// NewDisseminator returns a Disseminator that draws from r.
func NewDisseminator(r *rand.Rand) *Disseminator { return &Disseminator{rand: r} }

// PickPeers returns the indices of the peers, out of n, that a change is sent to.
func (s *Disseminator) PickPeers(n int) []int { return s.rand.Perm(n)[:min(fanOut, n)] }

// ShouldRepair reports whether all records are to be sent now to a peer whose gossip
// carried the remote digest. If so, it starts a new repairInterval.
func (s *Disseminator) ShouldRepair(now time.Duration, local, remote uint64) bool {
	if local == remote || s.repairedBefore && now-s.repairedAt < repairInterval {
		return false
	}
	s.repairedBefore, s.repairedAt = true, now
	return true
}
