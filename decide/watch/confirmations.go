package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Confirmation tells when an instance that watches the store last got an answer from it, by
// the local clock.
type Confirmation struct {
	By string
	At time.Duration
}

// Confirmations holds the last confirmation of each watching instance, as reported by itself
// or relayed by others. It must be used by one goroutine at a time.
type Confirmations struct{ latest map[string]time.Duration }

// NewConfirmations returns the empty Confirmations of an instance that starts.
func NewConfirmations() *Confirmations { return &Confirmations{latest: map[string]time.Duration{}} }

// keepFor is how long an entry is kept and relayed. It is above any StaleAfter, so that no
// entry that still matters is dropped.
const keepFor = 40 * time.Second

// Record stores an entry if it is newer than the known one of that instance.
func (c *Confirmations) Record(entry Confirmation) {
	if at, known := c.latest[entry.By]; !known || entry.At > at {
		c.latest[entry.By] = entry.At
	}
}

// Age returns the time since the newest entry of an included instance. Without one, the
// time counts from the start of this process: the others get time to report before this
// instance asks the store itself.
func (c *Confirmations) Age(now time.Duration, include func(by string) bool) time.Duration {
	last := time.Duration(0)
	for by, at := range c.latest {
		if include(by) {
			last = max(last, at)
		}
	}
	return now - last
}

// Newest drops outdated entries and returns the newest of the others, at most limit.
func (c *Confirmations) Newest(now time.Duration, limit int) []Confirmation {
	maps.DeleteFunc(c.latest, func(_ string, at time.Duration) bool { return now-at > keepFor })
	out := make([]Confirmation, 0, len(c.latest))
	for by, at := range c.latest {
		out = append(out, Confirmation{by, at})
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.By, b.By)) })
	return out[:min(limit, len(out))]
}
