package poison

import (
	"slices"
	"time"
)

// maxDurable bounds the records that are written to the store.
const maxDurable = 64

// isDurable reports whether a record must outlive the loss of all instances: the request may be refused.
func (r Record) isDurable() bool { return countSuccessive(r.Crashes) >= poisonThreshold }

// DurableDigest returns a hash of the records that must be in the store, zero if there are none.
func (t *Table) DurableDigest() (sum uint64) {
	for _, r := range t.records {
		if r.isDurable() {
			sum += r.digest()
		}
	}
	return sum
}

// Durable returns the records that must be in the store, and what has become of those that it has.
func (t *Table) Durable(inStore []Record) (out []Record) {
	for _, r := range t.records {
		known := slices.ContainsFunc(inStore, func(o Record) bool { return o.Key == r.Key })
		if (r.isDurable() || known) && len(out) < maxDurable {
			out = append(out, r.Record)
		}
	}
	return out
}

// Restore adds what was read from the store. Other instances are not told: each reads the store. Of a
// record that is known here the crashes are those known here.
func (t *Table) Restore(now time.Duration, in []Record) {
	for _, r := range in {
		own := t.records[r.Key]
		if now >= expiry(r) || own != nil && !own.isBehind(r) {
			continue
		}
		t.records[r.Key] = &record{Record: r, restored: true}
	}
	t.evict()
}

// isBehind reports whether another record of the same request has a later answer or more crashes.
func (r Record) isBehind(o Record) bool {
	return r.Round < o.Round || r.Round == o.Round && len(r.Crashes) < len(o.Crashes)
}
