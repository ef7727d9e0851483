// Package room decides who gets memory that many share, and who loses it when it does not suffice: bodies
// of requests that are being received, and answers that are being read. It does no I/O and has no clock;
// times count from the start of the process.
package room

import (
	"slices"
	"time"
)

// Unknown is the length of what does not announce it.
const Unknown = -1

// rateWindow is the time over which the present rate of a holder is measured.
const rateWindow = time.Second

// Config describes a room.
type Config struct {
	// Bytes is its size.
	Bytes int64
	// Tiers keep parts of the room for small holders.
	Tiers []Tier
	// Policy chooses who loses its memory.
	Policy Policy
}

// Tier bounds what holders of more than a size may take together.
type Tier struct {
	Above int64
	// Share is a part of the room.
	Share float64
}

// Room is memory of a fixed size. It is not safe for concurrent use.
type Room struct {
	cfg     Config
	holders map[*Holder]struct{}
	total   *account
	// short is the tier that lacks memory while the policy is asked.
	short int
	// customers are the accounts of those that have any holder.
	customers map[string]*account
	typical   meanHold
}

// account counts memory.
type account struct {
	// used are the bytes taken by holders, above those of the holders in each tier.
	used    int64
	above   []int64
	holders int
}

// all is the index of a tier that has all holders.
const all = -1

// in returns the bytes taken by the holders in a tier.
func (a *account) in(tier int) int64 {
	if tier == all {
		return a.used
	}
	return a.above[tier]
}

// Entry is what asks for memory.
type Entry struct {
	// Customer is empty if it is not known.
	Customer string
	// Length is the number of bytes that are to come, or Unknown.
	Length int64
	// Until is when it ends at the latest.
	Until time.Duration
}

// Holder has memory of a room.
type Holder struct {
	Entry
	began time.Duration
	// bytes is the memory taken, received what has come of what is to come.
	bytes, received int64
	// heard is when anything last came.
	heard time.Duration
	// windowAt and windowReceived are the beginning of the present window, rate is the number of bytes a
	// second in the window before.
	windowAt       time.Duration
	windowReceived int64
	rate           float64
	complete, gone bool
}

// New returns an empty room.
func New(cfg Config) *Room {
	r := &Room{cfg: cfg, holders: map[*Holder]struct{}{}, customers: map[string]*account{}}
	r.total = r.newAccount()
	return r
}

func (r *Room) newAccount() *account { return &account{above: make([]int64, len(r.cfg.Tiers))} }

// limit returns what the holders in a tier may take.
func (r *Room) limit(tier int) int64 {
	if tier == all {
		return r.cfg.Bytes
	}
	return int64(float64(r.cfg.Bytes) * r.cfg.Tiers[tier].Share)
}

// has reports whether a holder is in a tier.
func (r *Room) has(tier int, h *Holder) bool {
	return tier == all || h.bytes > r.cfg.Tiers[tier].Above
}

// Used returns the bytes taken, Holders the number of those that have them.
func (r *Room) Used() int64  { return r.total.used }
func (r *Room) Holders() int { return len(r.holders) }

// Enter adds a holder that takes bytes at once. It returns those that lose their memory for it; the new one has
// none if ok is false.
func (r *Room) Enter(now time.Duration, e Entry, bytes int64) (h *Holder, victims []*Holder, ok bool) {
	h = &Holder{Entry: e, began: now, heard: now, windowAt: now}
	r.holders[h] = struct{}{}
	r.count(h, 1)
	victims, ok = r.Grow(now, h, bytes)
	return h, victims, ok
}

// Grow takes more memory for a holder. It returns those that lose theirs for it; the holder has lost its own if
// ok is false.
func (r *Room) Grow(now time.Duration, h *Holder, bytes int64) (victims []*Holder, ok bool) {
	if h.gone {
		return nil, false
	}
	r.take(h, bytes)
	for r.lacks(h) {
		victim := r.cfg.Policy(r, now, h, r.candidates(h))
		if victim == nil {
			victim = h
		}
		r.remove(victim)
		if victim == h {
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// lacks reports whether there is not enough for what a holder has taken, and sets short.
func (r *Room) lacks(h *Holder) bool {
	for tier := all; tier < len(r.cfg.Tiers); tier++ {
		if r.has(tier, h) && r.total.in(tier) > r.limit(tier) {
			r.short = tier
			return true
		}
	}
	return false
}

// candidates returns the holders whose memory may be taken away for another one, in an order that does not vary:
// those that are still being received, in the tier that is short.
func (r *Room) candidates(asks *Holder) (out []*Holder) {
	for h := range r.holders {
		if !h.complete && (h == asks || r.has(r.short, h)) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *Holder) int { return int(a.began - b.began) })
	return out
}

// Shrink gives back a part of the memory of a holder.
func (r *Room) Shrink(h *Holder, bytes int64) {
	if !h.gone {
		r.take(h, -bytes)
	}
}

func (r *Room) take(h *Holder, bytes int64) {
	r.count(h, -1)
	h.bytes += bytes
	r.count(h, 1)
}

// count adds the memory of a holder to the accounts, or takes it off with the factor -1.
func (r *Room) count(h *Holder, factor int) {
	customer := r.customers[h.Customer]
	if customer == nil {
		customer = r.newAccount()
		r.customers[h.Customer] = customer
	}
	bytes := int64(factor) * h.bytes
	for _, a := range []*account{r.total, customer} {
		a.used += bytes
		a.holders += factor
		for tier := range a.above {
			if r.has(tier, h) {
				a.above[tier] += bytes
			}
		}
	}
	if customer.holders == 0 {
		delete(r.customers, h.Customer)
	}
}

// Receive records that bytes of a holder have come.
func (r *Room) Receive(now time.Duration, h *Holder, bytes int64) {
	h.heard = now
	h.received += bytes
	h.windowReceived += bytes
	h.turnWindow(now)
}

// turnWindow begins a new window if the present one is over.
func (h *Holder) turnWindow(now time.Duration) {
	if past := now - h.windowAt; past >= rateWindow {
		h.rate = float64(h.windowReceived) / past.Seconds()
		h.windowAt, h.windowReceived = now, 0
	}
}

// Complete records that a holder has come whole: its memory is not taken away any more.
func (r *Room) Complete(h *Holder) { h.complete = true }

// Leave gives back the memory of a holder.
func (r *Room) Leave(now time.Duration, h *Holder) {
	if h.gone {
		return
	}
	if top := len(r.cfg.Tiers) - 1; r.has(top, h) {
		r.typical.add(now - h.began)
	}
	r.remove(h)
}

func (r *Room) remove(h *Holder) {
	r.count(h, -1)
	h.gone = true
	delete(r.holders, h)
}

// FreeIn returns the time after which there should be room for a number of bytes: that of a usual holder, or until
// enough of those here end at the latest, if that is sooner.
func (r *Room) FreeIn(now time.Duration, bytes int64) time.Duration {
	ends := make([]*Holder, 0, len(r.holders))
	for h := range r.holders {
		ends = append(ends, h)
	}
	slices.SortFunc(ends, func(a, b *Holder) int { return int(a.Until - b.Until) })
	missing := int64(0)
	for tier := all; tier < len(r.cfg.Tiers); tier++ {
		missing = max(missing, r.total.in(tier)+bytes-r.limit(tier))
	}
	at := now
	for _, h := range ends {
		if missing <= 0 {
			break
		}
		at = max(at, h.Until)
		missing -= h.bytes
	}
	return min(at-now, r.typical.get())
}

// meanHold is how long large holders keep their memory, on average of the last ones.
type meanHold struct{ seconds float64 }

const (
	// firstHold is assumed until a holder has left.
	firstHold = time.Second
	// holdWeight is the weight of the newest holder.
	holdWeight = 0.1
)

func (m *meanHold) add(d time.Duration) {
	if m.seconds == 0 {
		m.seconds = firstHold.Seconds()
	}
	m.seconds += holdWeight * (d.Seconds() - m.seconds)
}

func (m *meanHold) get() time.Duration {
	if m.seconds == 0 {
		return firstHold
	}
	return time.Duration(m.seconds * float64(time.Second))
}
