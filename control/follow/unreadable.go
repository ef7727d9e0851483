package follow

import (
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// mostUnreadable bounds the entries that are remembered as unreadable.
const mostUnreadable = 100

// unreadable remembers entries that cannot be read, so that each is logged once and
// not with every read of the list. It is guarded by Follower.mu.
type unreadable map[string]string

// note logs entries whose reason is new. Reasons come from other writers' bytes, so
// they are cut short.
func (f *Follower) note(bad []catalog.Unreadable) {
	for _, u := range bad {
		f.scope.Tagged(map[string]string{"kind": "server"}).Counter("entries_unreadable_total").Inc(1)
		why := u.Why.Error()
		if f.bad[u.Name] == why || len(f.bad) >= mostUnreadable {
			continue
		}
		f.bad[u.Name] = why
		f.log.Warn("entry of a backend server cannot be read, it gets no new work", zap.String("server", u.Name), eventlog.Error(u.Why))
	}
}

// settle forgets entries that can be read again or are gone.
func (f *Follower) settle(name string) { delete(f.bad, name) }
