package notices

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// check implements backend.Guard.
func (n *Notices) check(to backend.Endpoint) error {
	if !n.Any() {
		return nil
	}
	server := notice.Key{Server: to.Server, Life: to.Life}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.Leaves(server) {
		return errors.Mark(errors.Newf("server %s says that it leaves", to.Server), backend.ErrHeldBack)
	}
	if left := n.table.RestLeft(n.now(), server); left > 0 {
		err := errors.Newf("server %s asked for rest, %s left", to.Server, left)
		return errors.Mark(errors.Mark(err, backend.ErrResting), backend.ErrHeldBack)
	}
	return nil
}

// Any reports whether any server said anything that holds. Until then nothing else needs to be asked.
func (n *Notices) Any() bool { return n.known.Load() > 0 }

// RestLeft returns for how long a server wants no request of this instance.
func (n *Notices) RestLeft(s backends.Server) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.RestLeft(n.now(), notice.Key{Server: s.ID, Life: s.Life})
}
