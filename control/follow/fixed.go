package follow

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// NewFixed returns a follower of a list of servers that does not change, without a configuration.
func NewFixed(now func() time.Duration, servers *backends.Snapshot) *Follower {
	f := &Follower{now: now}
	f.Fix(servers)
	return f
}

// Fix replaces the list of a follower that NewFixed returned.
func (f *Follower) Fix(servers *backends.Snapshot) { f.servers.Store(servers) }
