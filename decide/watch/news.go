package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Heard is when an instance that watches last heard from the store, by the own clock.
type Heard struct {
	By string
	At time.Duration
}

// News keeps when the instances that watch last heard from the store. It is told by
// themselves and by others, and used by one goroutine at a time.
type News struct{ at map[string]time.Duration }

// NewNews returns what an instance knows at its start: nothing.
func NewNews() *News { return &News{at: map[string]time.Duration{}} }

// tellFor is how long word of an instance is passed on and kept. It is above any
// StaleAfter, so that nothing that counts is dropped.
const tellFor = 40 * time.Second

// Note takes word of an instance over if it is newer than what is known.
func (n *News) Note(h Heard) {
	if at, known := n.at[h.By]; !known || h.At > at {
		n.at[h.By] = h.At
	}
}

// Age is the time since the newest word from an instance that counts. An instance that
// heard of none takes its own start for the last word: it gives the others time to
// tell, and asks the store itself after that.
func (n *News) Age(now time.Duration, counts func(by string) bool) time.Duration {
	last := time.Duration(0)
	for by, at := range n.at {
		if counts(by) {
			last = max(last, at)
		}
	}
	return now - last
}

// Newest returns the latest word, the newest first, at most so many.
func (n *News) Newest(now time.Duration, most int) []Heard {
	maps.DeleteFunc(n.at, func(_ string, at time.Duration) bool { return now-at > tellFor })
	out := make([]Heard, 0, len(n.at))
	for by, at := range n.at {
		out = append(out, Heard{by, at})
	}
	slices.SortFunc(out, func(a, b Heard) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.By, b.By)) })
	return out[:min(most, len(out))]
}
