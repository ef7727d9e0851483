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

// started is one life of a server.
type started struct {
	id   string
	life backends.Life
}

// listing is the list of servers as a store holds it, with the changes of its era.
type listing struct {
	at      position.Position
	servers map[string]backends.Server
	history map[int64]backends.Change
}

func (l *listing) change(id string, s *backends.Server) {
	l.at.Revision++
	l.history[l.at.Revision] = backends.Change{ID: id, Server: s}
	if s == nil {
		delete(l.servers, id)
		return
	}
	l.servers[id] = *s
}

func (l *listing) all() []backends.Server { return slices.Collect(maps.Values(l.servers)) }

// follow brings a set up to date, by changes within an era, by the whole list otherwise, and
// tells which servers it showed that leave.
func (l *listing) follow(now time.Duration, set *backends.Set, from position.Position) (at position.Position, leaving []backends.Server) {
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

// TestErasProperty draws what servers write, when the store comes back from a copy, and when
// an instance reads. A server that was seen to leave gets nothing more in its life; one
// that goes on writing is never without work for longer than the store needs to be
// believed again; and once all is quiet what is used is what the store lists.
func TestErasProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &listing{at: position.Position{Era: 1}, servers: map[string]backends.Server{}, history: map[int64]backends.Change{}}
		copied, copiedAt := map[string]backends.Server{}, int64(0)
		lives := map[string]backends.Life{}
		set := backends.NewSet()
		at, now := position.Position{}, time.Duration(0)
		seenLeaving := map[started]bool{}
		see := func() {
			var leaving []backends.Server
			at, leaving = store.follow(now, set, at)
			set.Settle(now)
			for _, s := range leaving {
				seenLeaving[started{s.ID, s.Life}] = true
			}
			for _, s := range set.Snapshot().Ready("s") {
				if seenLeaving[started{s.ID, s.Life}] {
					t.Fatalf("%s, life %d, is used after it left", s.ID, s.Life)
				}
			}
		}
		see()
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
				copied, copiedAt = maps.Clone(store.servers), store.at.Revision
			case "back":
				store.servers, store.history = maps.Clone(copied), map[int64]backends.Change{}
				store.at = position.Position{Era: store.at.Era + 1, Revision: copiedAt}
			case "read":
				see()
			}
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
		}
		see()
		now += time.Minute
		set.Settle(now)
		var want, got []string
		for _, s := range store.servers {
			if !s.Leaving && !seenLeaving[started{s.ID, s.Life}] {
				want = append(want, s.ID)
			}
		}
		for _, s := range set.Snapshot().Ready("s") {
			got = append(got, s.ID)
		}
		slices.Sort(want)
		if !slices.Equal(want, got) {
			t.Fatalf("used are %v, the store lists %v", got, want)
		}
	})
}
