package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Source is something in the store that instances watch, each by calls of its own.
type Source int

// The sources.
const (
	Config Source = iota
	Servers
	Evacuations
	// Sources is their number.
	Sources
)

// String returns the name used in logs and metrics.
func (s Source) String() string {
	return [...]string{"configuration", "servers", "evacuations"}[s]
}

// Times is a time by the local clock for each source, zero if there is none.
type Times [Sources]time.Duration

// newest returns the latest of the times.
func (t Times) newest() time.Duration { return slices.Max(t[:]) }

// later returns the later of two times for each source.
func (t Times) later(o Times) Times {
	for s := range t {
		t[s] = max(t[s], o[s])
	}
	return t
}

// Confirmation tells when the store last answered an instance that watches it, and when a call of that instance
// last failed.
type Confirmation struct {
	By         string
	At, Failed Times
}

// failing reports whether the last call for a source failed a short time ago.
func (c Confirmation) failing(now time.Duration, s Source) bool {
	return c.Failed[s] > c.At[s] && now-c.Failed[s] <= failureValidFor
}

// Confirmations holds the last confirmation of each watching instance, as reported by itself
// or relayed by others. It must be used by one goroutine at a time.
type Confirmations struct{ latest map[string]Confirmation }

// NewConfirmations returns the empty Confirmations of an instance that starts.
func NewConfirmations() *Confirmations { return &Confirmations{latest: map[string]Confirmation{}} }

const (
	// keepFor is how long an entry is kept and relayed. It is above any StaleAfter, so that no
	// entry that still matters is dropped.
	keepFor = 40 * time.Second
	// failureValidFor is how long an instance counts as failing after its last failed call, which it repeats
	// within seconds.
	failureValidFor = 5 * time.Second
)

// Record stores what is newer than the known entry of that instance.
func (c *Confirmations) Record(entry Confirmation) {
	known := c.latest[entry.By]
	c.latest[entry.By] = Confirmation{By: entry.By, At: known.At.later(entry.At), Failed: known.Failed.later(entry.Failed)}
}

// Age returns the time since the newest answer for a source to an included instance. Without one, the
// time counts from the start of this process: the others get time to report before this
// instance asks the store itself.
func (c *Confirmations) Age(now time.Duration, s Source, include func(by string) bool) time.Duration {
	last := time.Duration(0)
	for by, entry := range c.latest {
		if include(by) {
			last = max(last, entry.At[s])
		}
	}
	return now - last
}

// Failing reports whether the calls of an instance for a source fail.
func (c *Confirmations) Failing(now time.Duration, s Source, by string) bool {
	return c.latest[by].failing(now, s)
}

// Newest drops outdated entries and returns the newest of the others, at most limit.
func (c *Confirmations) Newest(now time.Duration, limit int) []Confirmation {
	newest := func(entry Confirmation) time.Duration { return max(entry.At.newest(), entry.Failed.newest()) }
	maps.DeleteFunc(c.latest, func(_ string, entry Confirmation) bool { return now-newest(entry) > keepFor })
	out := slices.Collect(maps.Values(c.latest))
	slices.SortFunc(out, func(a, b Confirmation) int {
		return cmp.Or(cmp.Compare(newest(b), newest(a)), cmp.Compare(a.By, b.By))
	})
	return out[:min(limit, len(out))]
}
