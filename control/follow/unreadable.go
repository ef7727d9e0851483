package follow

import (
	"maps"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Limits on the number and the text of unreadable entries that are kept and logged, since
// their bytes come from other writers.
const (
	maxUnreadable = 100
	maxTextBytes  = 200
)

// unreadable maps entries that cannot be read to the reason, so that each is logged once
// and not with every read of the list.
type unreadable map[string]string

// updateUnreadable logs entries whose reason is new and drops those that the store has
// returned again since, for which covered is true. The caller holds f.mu.
func (f *Follower) updateUnreadable(covered func(name string) bool, bad []catalog.Unreadable) {
	current := unreadable{}
	for _, u := range bad {
		f.scope.Tagged(map[string]string{"kind": "server"}).Counter("entries_unreadable_total").Inc(1)
		name, reason := truncate(u.Name), truncate(u.Why.Error())
		if len(current) >= maxUnreadable {
			continue
		}
		current[name] = reason
		if f.unreadableServers[name] != reason {
			f.log.Warn("entry of a backend server cannot be read, the server gets no new work", zap.String("server", name), zap.String("error", reason))
		}
	}
	maps.DeleteFunc(f.unreadableServers, func(name, _ string) bool { return covered(name) })
	for name, reason := range current {
		if len(f.unreadableServers) < maxUnreadable {
			f.unreadableServers[name] = reason
		}
	}
}

func truncate(s string) string { return s[:min(len(s), maxTextBytes)] }
