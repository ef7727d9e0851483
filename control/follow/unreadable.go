package follow

import (
	"maps"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Bounds of what is remembered and logged of unreadable entries, whose bytes come from
// other writers.
const (
	mostUnreadable = 100
	mostText       = 200
)

// unreadable are the entries that cannot be read, with the reason, so that each is
// logged once and not with every read of the list.
type unreadable map[string]string

// noteUnreadable logs entries whose reason is new and forgets those that were read since; f.mu
// is held.
func (f *Follower) noteUnreadable(read func(name string) bool, bad []catalog.Unreadable) {
	still := unreadable{}
	for _, u := range bad {
		f.scope.Tagged(map[string]string{"kind": "server"}).Counter("entries_unreadable_total").Inc(1)
		name, why := cut(u.Name), cut(u.Why.Error())
		if len(still) >= mostUnreadable {
			continue
		}
		still[name] = why
		if f.bad[name] != why {
			f.log.Warn("entry of a backend server cannot be read, it gets no new work", zap.String("server", name), zap.String("error", why))
		}
	}
	maps.DeleteFunc(f.bad, func(name, _ string) bool { return read(name) })
	for name, why := range still {
		if len(f.bad) < mostUnreadable {
			f.bad[name] = why
		}
	}
}

func cut(s string) string { return s[:min(len(s), mostText)] }
