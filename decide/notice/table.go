// Package notice holds what backend servers say of themselves in their answers: that they leave,
// and that they want no requests of this instance for a time.
//
// The package does no I/O and reads no clock.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

const (
	// MaxRest bounds the rest that a server gets for one answer that asks for it.
	MaxRest = time.Minute
	// unlistedFor is how long the word of a server is kept that the list lacks: the list may be old.
	unlistedFor = 30 * time.Second
	// maxWords bounds the words of each kind that are kept.
	maxWords = 4096
)

// Key is one life of a server.
type Key struct {
	Server string
	Life   backends.Life
}

// Leaving is the word of a server that it leaves.
type Leaving struct {
	// By is the instance that heard it first, as far as is known.
	By string
	// Heard is when By heard it, Learned when this instance did.
	Heard, Learned time.Duration
}

// Rest is the rest that a server asked this instance for.
type Rest struct {
	// Asked is when it asked first since it last got requests, Until when the rest ends.
	Asked, Until time.Duration
	// Answers counts the answers that asked for it.
	Answers int
}

// Table holds what servers said as one instance knows it. It is not safe for concurrent use.
type Table struct {
	leaving map[Key]Leaving
	rests   map[Key]Rest
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leaving: map[Key]Leaving{}, rests: map[Key]Rest{}} }

// RecordLeaving records that a server said that it leaves, and reports whether that is new.
// A word is never taken back: it holds as long as the life of the server.
func (t *Table) RecordLeaving(server Key, w Leaving) (fresh bool) {
	if _, known := t.leaving[server]; known || len(t.leaving) >= maxWords {
		return false
	}
	t.leaving[server] = w
	return true
}

// Leaves reports whether a server said that it leaves.
func (t *Table) Leaves(server Key) bool {
	_, ok := t.leaving[server]
	return ok
}

// Leaving returns the servers that said that they leave.
func (t *Table) Leaving() map[Key]Leaving { return maps.Clone(t.leaving) }

// LearnedSince returns those of them that this instance learned of since a time.
func (t *Table) LearnedSince(since time.Duration) map[Key]Leaving {
	out := map[Key]Leaving{}
	for server, w := range t.leaving {
		if w.Learned >= since {
			out[server] = w
		}
	}
	return out
}

// Outdated reports whether a word is too old to hold for a server that is not listed. Instances
// that tell each other of it forget it by its age, or it would go round for ever.
func Outdated(now time.Duration, w Leaving) bool { return now-w.Heard >= unlistedFor }

// RecordRest records that a server asked this instance for rest. It returns when the rest ends, and
// whether the server was not resting. A shorter rest does not end a longer one.
func (t *Table) RecordRest(now time.Duration, server Key, d time.Duration) (until time.Duration, fresh bool) {
	r := t.rests[server]
	if fresh = now >= r.Until; fresh {
		if len(t.rests) >= maxWords {
			t.endRests(now)
		}
		if len(t.rests) >= maxWords {
			return now, false
		}
		r = Rest{Asked: now}
	}
	r.Until = max(r.Until, now+min(d, MaxRest))
	r.Answers++
	t.rests[server] = r
	return r.Until, fresh
}

// RestLeft returns the time until a server's rest ends, zero if it does not rest.
func (t *Table) RestLeft(now time.Duration, server Key) time.Duration {
	return max(0, t.rests[server].Until-now)
}

// Resting returns the servers that rest.
func (t *Table) Resting(now time.Duration) map[Key]Rest {
	t.endRests(now)
	return maps.Clone(t.rests)
}

func (t *Table) endRests(now time.Duration) {
	maps.DeleteFunc(t.rests, func(_ Key, r Rest) bool { return now >= r.Until })
}

// Expire forgets rests that ended, and the words of servers that are gone.
func (t *Table) Expire(now time.Duration, listed func(Key) bool) {
	t.endRests(now)
	maps.DeleteFunc(t.leaving, func(server Key, w Leaving) bool { return Outdated(now, w) && !listed(server) })
}

// Len returns the number of servers that leave and of those that rest, or did lately.
func (t *Table) Len() (leaving, resting int) { return len(t.leaving), len(t.rests) }

// Sorted returns the keys of a map in order.
func Sorted[V any](words map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(words), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Life, b.Life))
	})
}
