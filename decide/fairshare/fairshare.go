// Package fairshare measures how much of the engines each customer uses and decides which customers use
// more than their share. It addresses a customer that sends several times its share of prompts while
// the engines have too little capacity for all. It does no I/O and reads no clock.
package fairshare

import (
	"maps"
	"math"
	"time"
)

const (
	// UsageTimeConstant is the time constant of the exponential decay of usage. A few deep prompts make up
	// the usage of a customer, so that with a much shorter one equal customers would differ too much.
	UsageTimeConstant = 10 * time.Second
	// PeerTimeout is how long the usage of a silent peer counts: two of its complete reports in a row
	// may be lost.
	PeerTimeout = 2500 * time.Millisecond
	// waitingTTL is how long a peer's report that prompts wait there counts (spread.TurnTTL).
	waitingTTL = 600 * time.Millisecond
	// MaxCustomers bounds the customers kept for each peer and for the instance itself.
	MaxCustomers = 512
	// MaxEntries bounds the entries of a report.
	MaxEntries = 16
	// repeatFor is how long after a customer's last prompt its entry is repeated in complete reports, of
	// which there are three in this time. Receivers let usage decay by themselves.
	repeatFor = 2100 * time.Millisecond
	// minUsage is the usage below which a customer is forgotten.
	minUsage = time.Millisecond
	// maxReported bounds the usage accepted for one customer of one peer.
	maxReported = time.Hour
)

// Usage is the prefill time of the prompts placed for a customer, with decay.
type Usage struct {
	Customer uint32
	Prefill  time.Duration
}

// amount is a usage in seconds as of a time.
type amount struct {
	seconds float64
	at      time.Duration
}

func (a amount) value(now time.Duration) float64 {
	return a.seconds * math.Exp(-float64(now-a.at)/float64(UsageTimeConstant))
}

func (a amount) plus(now time.Duration, seconds float64) amount {
	return amount{max(0, a.value(now)+seconds), now}
}

// peer is what another instance reported.
type peer struct {
	usage map[uint32]amount
	// heardAt is when its last report came.
	heardAt time.Duration
	// waits is set if that report said that deep prompts of customers within their share wait there.
	waits bool
}

// own is the usage of a customer by prompts of this instance.
type own struct {
	amount
	// placedAt is when its last prompt was placed; reported is unset from then until the next report.
	placedAt time.Duration
	reported bool
}

// Table is the usage of all customers. It is not safe for concurrent use.
type Table struct {
	own   map[uint32]own
	peers map[string]*peer
	// total is the sum of own and all peers.
	total map[uint32]amount
	// deep and forSlot count the deep prompts and the other requests that this instance holds, by
	// customer, zero for no customer.
	deep, forSlot map[uint32]int
	shares        shares
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		own: map[uint32]own{}, peers: map[string]*peer{}, total: map[uint32]amount{},
		deep: map[uint32]int{}, forSlot: map[uint32]int{},
		shares: shares{over: map[uint32]bool{}, announced: map[uint32]bool{}},
	}
}

// Place records a placed prompt. Requests without a customer do not count.
func (t *Table) Place(now time.Duration, customer uint32, prefill time.Duration) {
	o, known := t.own[customer]
	if customer == 0 || prefill <= 0 || !known && len(t.own) >= MaxCustomers {
		return
	}
	t.own[customer] = own{amount: o.plus(now, prefill.Seconds()), placedAt: now}
	t.add(now, customer, prefill.Seconds())
}

func (t *Table) add(now time.Duration, customer uint32, seconds float64) {
	t.total[customer] = t.total[customer].plus(now, seconds)
}

// Wait adds n, which may be negative, to the requests of a customer that this instance holds: deep prompts
// or others.
func (t *Table) Wait(customer uint32, deep bool, n int) {
	waiting := t.waiting(deep)
	waiting[customer] += n
	if waiting[customer] <= 0 {
		delete(waiting, customer)
	}
}

func (t *Table) waiting(deep bool) map[uint32]int {
	if deep {
		return t.deep
	}
	return t.forSlot
}

// TakeReport returns the entries of the next report, at most MaxEntries, those with the most usage first.
// A complete report has the customers for whom prompts were placed within repeatFor, another one those
// for whom prompts were placed since the last report.
func (t *Table) TakeReport(now time.Duration, complete bool) []Usage {
	var out []Usage
	for c, o := range t.own {
		if complete && now-o.placedAt <= repeatFor || !o.reported {
			out = append(out, Usage{c, time.Duration(o.value(now) * float64(time.Second))})
		}
	}
	sortByUsage(out)
	out = out[:min(len(out), MaxEntries)]
	for _, u := range out {
		o := t.own[u.Customer]
		o.reported = true
		t.own[u.Customer] = o
	}
	return out
}

// ApplyReport replaces the usage of the listed customers by a peer. The usage of others decays. Waits
// tells that deep prompts of customers within their share wait at the peer.
func (t *Table) ApplyReport(now time.Duration, name string, entries []Usage, waits bool) {
	p := t.peers[name]
	if p == nil {
		p = &peer{usage: map[uint32]amount{}}
		t.peers[name] = p
	}
	p.heardAt, p.waits = now, waits
	for _, u := range entries[:min(len(entries), MaxEntries)] {
		previous, known := p.usage[u.Customer]
		if u.Customer == 0 || !known && len(p.usage) >= MaxCustomers {
			continue
		}
		seconds := min(max(0, u.Prefill), maxReported).Seconds()
		p.usage[u.Customer] = amount{seconds, now}
		t.add(now, u.Customer, seconds-previous.value(now))
	}
}

// Expire forgets silent peers and customers without usage.
func (t *Table) Expire(now time.Duration) {
	for name, p := range t.peers {
		if now-p.heardAt > PeerTimeout {
			t.removePeer(now, name)
			continue
		}
		maps.DeleteFunc(p.usage, func(_ uint32, a amount) bool { return a.value(now) < minUsage.Seconds() })
	}
	maps.DeleteFunc(t.own, func(_ uint32, o own) bool { return o.value(now) < minUsage.Seconds() })
	maps.DeleteFunc(t.total, func(_ uint32, a amount) bool { return a.value(now) < minUsage.Seconds() })
}

// RetainPeers forgets the peers that are not live.
func (t *Table) RetainPeers(now time.Duration, live map[string]bool) {
	for name := range t.peers {
		if !live[name] {
			t.removePeer(now, name)
		}
	}
}

func (t *Table) removePeer(now time.Duration, name string) {
	for c, a := range t.peers[name].usage {
		t.add(now, c, -a.value(now))
	}
	delete(t.peers, name)
}
