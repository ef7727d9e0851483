package backends_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// serverLife is one life of a server.
type serverLife struct {
	id   string
	life backends.Life
}

// serverList is the list of servers in the store, with the changes of its era.
type serverList struct {
	at      position.Position
	servers map[string]backends.Server
	history map[int64]backends.Change
}

func (l *serverList) change(id string, s *backends.Server) {
	l.at.Revision++
	l.history[l.at.Revision] = backends.Change{ID: id, Server: s}
	if s == nil {
		delete(l.servers, id)
		return
	}
	l.servers[id] = *s
}

func (l *serverList) all() []backends.Server { return slices.Collect(maps.Values(l.servers)) }

// syncTo brings a set up to date, by changes within an era and by the complete list
// otherwise. It returns the leaving servers that the set was shown.
func (l *serverList) syncTo(now time.Duration, set *backends.Set, from position.Position) (at position.Position, leaving []backends.Server) {
	shown := l.all()
	if from.Era != l.at.Era {
		set.Replace(now, shown, l.at)
	} else {
		var changes []backends.Change
		for r := from.Revision + 1; r <= l.at.Revision; r++ {
			changes = append(changes, l.history[r])
			if s := l.history[r].Server; s != nil {
				shown = append(shown, *s)
			}
		}
		set.Apply(now, changes, l.at)
	}
	return l.at, slices.DeleteFunc(shown, func(s backends.Server) bool { return !s.Leaving })
}

// TestErasProperty draws what servers write, when the store is restored from a backup, and
// when an instance reads. A server that was seen to leave is never used again in the same
// life, and once all grace periods have expired the set uses what the store lists.
func TestErasProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &serverList{at: position.Position{Era: 1}, servers: map[string]backends.Server{}, history: map[int64]backends.Change{}}
		backup, backupRevision := map[string]backends.Server{}, int64(0)
		lives := map[string]backends.Life{}
		set := backends.NewSet()
		at, now := position.Position{}, time.Duration(0)
		seenLeaving := map[serverLife]bool{}
		read := func() {
			var leaving []backends.Server
			at, leaving = store.syncTo(now, set, at)
			set.EndGracePeriods(now)
			for _, s := range leaving {
				seenLeaving[serverLife{s.ID, s.Life}] = true
			}
			for _, s := range set.Snapshot().Ready("s") {
				if seenLeaving[serverLife{s.ID, s.Life}] {
					t.Fatalf("%s, life %d, is used after it was seen to leave", s.ID, s.Life)
				}
			}
		}
		read()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.SampledFrom([]string{"write", "write", "write", "leave", "end", "copy", "back", "read", "read", "read"}).Draw(t, "step") {
			case "write":
				if s, ok := store.servers[id]; !ok || s.Leaving {
					lives[id]++
				}
				s := backends.Server{ID: id, Service: "s", Life: max(1, lives[id])}
				store.change(id, &s)
			case "leave":
				if s, ok := store.servers[id]; ok {
					s.Leaving = true
					store.change(id, &s)
				}
			case "end":
				if _, ok := store.servers[id]; ok {
					store.change(id, nil)
				}
			case "copy":
				backup, backupRevision = maps.Clone(store.servers), store.at.Revision
			case "back":
				store.servers, store.history = maps.Clone(backup), map[int64]backends.Change{}
				store.at = position.Position{Era: store.at.Era + 1, Revision: backupRevision}
			case "read":
				read()
			}
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
		}
		read()
		now += time.Minute
		set.EndGracePeriods(now)
		var want, got []string
		for _, s := range store.servers {
			if !s.Leaving && !seenLeaving[serverLife{s.ID, s.Life}] {
				want = append(want, s.ID)
			}
		}
		for _, s := range set.Snapshot().Ready("s") {
			got = append(got, s.ID)
		}
		slices.Sort(want)
		if !slices.Equal(want, got) {
			t.Fatalf("the set uses %v, the store lists %v", got, want)
		}
	})
}
