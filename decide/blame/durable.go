package blame

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// restoredError bounds the error of times that were read from the store: clocks of the day differ
	// and jump by seconds.
	restoredError = 15 * time.Second
	// MaxDurableCrashes bounds the crashes that are written to the store.
	MaxDurableCrashes = 64
)

// Durable is what must outlive the loss of all instances: the crashes of suspects, those of other
// causes about the same time, and the trials.
type Durable struct {
	Crashes []Update
	Used    []UsedTrial
}

// DurableState summarizes what Durable returns.
type DurableState struct {
	// Digest changes with the suspects, their crashes and trials; zero means that there are none.
	Digest uint64
	// Decided is set if a part is refused; else parts are only suspected and mostly cleared soon.
	Decided bool
}

// DurableState returns the summary of what must be in the store.
func (t *Table) DurableState() (d DurableState) {
	for _, s := range t.findSuspects() {
		d.Decided = d.Decided || s.refused
		d.Digest += s.digest()
	}
	for id := range t.used {
		d.Digest += id
	}
	return d
}

// digest is a hash of the part, the number of its crashes, whether it is refused and the versions that
// answer it.
func (s *suspect) digest() (sum uint64) {
	raw := binary.LittleEndian.AppendUint64(make([]byte, 0, 24), uint64(s.part))
	raw = binary.LittleEndian.AppendUint64(raw, uint64(min(len(s.crashes), keptCrashes)))
	if s.refused {
		raw = append(raw, 1)
	}
	sum = xxhash.Sum64(raw)
	for v := range s.sound {
		sum += Sound{s.part, v}.digest()
	}
	return sum
}

// Durable returns what must be in the store, with what is cleared of the keys that the store has. Of more
// than the given number of crashes those are left that refused parts are kept by, then the newest.
func (t *Table) Durable(inStore Durable, most int) (d Durable) {
	keys, crashes := t.durableKeys(), t.durableCrashes()
	for _, u := range inStore.Crashes {
		for _, k := range slices.Concat(u.Keys, u.Cleared) {
			keys[k] = true
		}
		if c := nearest(t.crashes, u.Exit); c != nil {
			crashes[c] = true
		}
	}
	kept := t.kept()
	order := slices.SortedStableFunc(maps.Keys(crashes), func(a, b *crash) int {
		return cmp.Or(cmp.Compare(rank(kept[b]), rank(kept[a])), byTime(b, a))
	})
	for _, c := range order[:min(len(order), most)] {
		d.Crashes = append(d.Crashes, c.update(func(k Key) bool { return keys[k] }))
	}
	for _, u := range t.used {
		d.Used = append(d.Used, u.UsedTrial)
	}
	return d
}

// durableKeys are the suspects and their companions.
func (t *Table) durableKeys() map[Key]bool {
	out := map[Key]bool{}
	for _, s := range t.findSuspects() {
		out[s.part] = true
		for _, k := range s.companions {
			out[k] = true
		}
	}
	return out
}

// durableCrashes are the crashes of suspects, and others so near that they change how many are needed or
// whether one counts.
func (t *Table) durableCrashes() map[*crash]bool {
	out := t.kept()
	for _, s := range t.findSuspects() {
		if !s.refused {
			for _, c := range s.crashes {
				out[c] = true
			}
		}
	}
	for _, c := range t.crashes {
		for _, s := range t.findSuspects() {
			if !s.refused && c.At > s.first()-exitWindow && c.At <= s.last()+sameMoment {
				out[c] = true
			}
		}
	}
	t.addSameMoments(out)
	return out
}

// addSameMoments adds the crashes at the moments of those given, and so on.
func (t *Table) addSameMoments(to map[*crash]bool) {
	near := simultaneous(t.crashes)
	pending := slices.Collect(maps.Keys(to))
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, c := range near[last] {
			if !to[c] {
				to[c] = true
				pending = append(pending, c)
			}
		}
	}
}

// Restore adds what was read from the store. Other instances are not told: each reads the store.
func (t *Table) Restore(now time.Duration, d Durable) {
	known := slices.Clone(t.crashes)
	for _, u := range d.Crashes {
		if now-u.At >= refusedRetention {
			continue
		}
		u.Approximate = true
		c := nearest(known, u.Exit)
		if c == nil {
			c = newCrash(u)
			c.told, c.readAt = true, now
			t.crashes = insertByTime(t.crashes, c)
		}
		c.merge(u)
		if c.approximate {
			clear(c.pending)
		}
	}
	t.suspects = nil
	t.evict()
	for _, u := range d.Used {
		t.MergeUsed(now, u)
		if own := t.used[u.ID]; own != nil {
			own.pending = false
		}
	}
}

func newCrash(u Update) *crash {
	return &crash{Exit: u.Exit, approximate: u.Approximate, version: u.Version, keys: map[Key]bool{}, sound: map[Sound]bool{}, pending: map[Key]bool{}}
}

// findRestored returns the crash of an update if the time of one of the two is approximate, nil if it
// is not known. A crash whose time is told exactly gets that time.
func (t *Table) findRestored(u Update) *crash {
	if u.Approximate {
		return nearest(t.crashes, u.Exit)
	}
	c := nearest(slices.DeleteFunc(slices.Clone(t.crashes), func(c *crash) bool { return !c.approximate || u.At > c.readAt }), u.Exit)
	if c == nil {
		return nil
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(o *crash) bool { return o == c })
	c.Exit, c.approximate = u.Exit, false
	t.crashes = insertByTime(t.crashes, c)
	t.suspects = nil
	return c
}

// nearest returns the crash of the same server whose time is nearest, nil if none is within
// restoredError.
func nearest(crashes []*crash, e Exit) (out *crash) {
	for _, c := range crashes {
		distance := (c.At - e.At).Abs()
		if c.Server != e.Server || distance >= restoredError {
			continue
		}
		if out == nil || distance < (out.At-e.At).Abs() {
			out = c
		}
	}
	return out
}
