package spread

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of a server's ID, used in ledgers and reports because it takes a third
// of the bytes of the ID. Two of 750 servers collide with a probability of 1 in 15,000;
// each is then charged with the work of both.
type Key uint32

// KeyOf returns the key of a server.
func KeyOf(server string) Key { return Key(xxhash.Sum64String(server)) }

// Prefill is the prefill of one part of a prompt on a server.
type Prefill struct {
	// Duration is how long the prefill takes, ExpectedEnd when it is expected to end: in
	// Work from the moment of the report, in a ledger by its clock.
	Duration, ExpectedEnd time.Duration
}

// Work is what one instance placed on one server. Prefills are not part of Load: every
// instance removes them at their expected end, so that the end need not be sent.
type Work struct {
	Load
	Prefills []Prefill
}

// account is the work of one instance on one server, with times by the ledger's clock.
type account struct {
	load     Load
	prefills []Prefill
}

// sum is the whole work, pending prefill included.
func (a *account) sum() Load {
	if a == nil {
		return Load{}
	}
	sum := a.load
	for _, r := range a.prefills {
		sum.Prefill += r.Duration
	}
	return sum
}

// work returns the account with times relative to now.
func (a *account) work(now time.Duration) Work {
	if a == nil {
		return Work{}
	}
	w := Work{Load: a.load}
	for _, r := range a.prefills {
		w.Prefills = append(w.Prefills, Prefill{Duration: r.Duration, ExpectedEnd: r.ExpectedEnd - now})
	}
	return w
}

// accounts holds the work of one instance by server.
type accounts map[Key]*account

// Ledger adds up the work of this instance and what peers report of theirs. It is not safe
// for concurrent use.
type Ledger struct {
	local       accounts
	peers       map[string]accounts
	lastReport  map[string]time.Duration
	total       map[Key]Load
	changed     map[Key]bool
	prefillEnds endHeap
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{local: accounts{}, peers: map[string]accounts{}, lastReport: map[string]time.Duration{}, total: map[Key]Load{}, changed: map[Key]bool{}}
}

// Total returns the work of all instances on a server, as of the last Advance.
func (l *Ledger) Total(server string) Load { return l.total[KeyOf(server)] }

// LocalWork returns the work of this instance on a server.
func (l *Ledger) LocalWork(now time.Duration, server Key) Work { return l.local[server].work(now) }

// Add records work of this instance. Its prefill ends only by Sub.
func (l *Ledger) Add(server string, v Load) {
	l.change(l.local, KeyOf(server), func(a *account) { a.load = a.load.plus(v) })
	l.changed[KeyOf(server)] = true
}

// Sub removes work that Add recorded, or what Place recorded except its prefill.
func (l *Ledger) Sub(server string, v Load) {
	if v == (Load{}) {
		return
	}
	l.change(l.local, KeyOf(server), func(a *account) { a.load = a.load.Minus(v) })
	l.changed[KeyOf(server)] = true
}

// Place records a part of a plan. Its prefill ends by itself at its expected end;
// EndPrefill with the returned value ends it sooner.
func (l *Ledger) Place(now time.Duration, p Part) Prefill {
	k := KeyOf(p.Server.ID)
	r := Prefill{Duration: p.Load.Prefill, ExpectedEnd: now + p.PrefillEnd}
	l.change(l.local, k, func(a *account) {
		a.load = a.load.plus(p.Load.Minus(Load{Prefill: p.Load.Prefill}))
		if r.Duration > 0 {
			a.prefills = append(a.prefills, r)
		}
	})
	l.changed[k] = true
	if r.Duration > 0 {
		heap.Push(&l.prefillEnds, endEvent{at: r.ExpectedEnd, server: k})
	}
	return r
}

// EndPrefill ends a prefill that Place recorded, if it has not ended. The server is not
// marked as changed: peers end the prefill at its expected end, or with the next report on
// the server.
func (l *Ledger) EndPrefill(server string, r Prefill) {
	k := KeyOf(server)
	if a := l.local[k]; a == nil || !slices.Contains(a.prefills, r) {
		return
	}
	l.change(l.local, k, func(a *account) {
		i := slices.Index(a.prefills, r)
		a.prefills = slices.Delete(a.prefills, i, i+1)
	})
}

// Advance ends the prefills whose expected end has come.
func (l *Ledger) Advance(now time.Duration) {
	for len(l.prefillEnds) > 0 && l.prefillEnds[0].at <= now {
		d := heap.Pop(&l.prefillEnds).(endEvent)
		target := l.local
		if d.peer != "" {
			target = l.peers[d.peer]
		}
		if target[d.server] == nil {
			continue
		}
		l.change(target, d.server, func(a *account) {
			a.prefills = slices.DeleteFunc(a.prefills, func(r Prefill) bool { return r.ExpectedEnd <= now })
		})
	}
}

// change applies f to the account of a server and adjusts the total by the difference.
func (l *Ledger) change(target accounts, server Key, f func(*account)) {
	a := target[server]
	if a == nil {
		a = &account{}
		target[server] = a
	}
	previous := a.sum()
	f(a)
	if a.load == (Load{}) && len(a.prefills) == 0 {
		delete(target, server)
	}
	sum := l.total[server].Minus(previous).plus(a.sum())
	if sum == (Load{}) {
		delete(l.total, server)
		return
	}
	l.total[server] = sum
}

// ApplyReport applies a report of a peer's work. Values are absolute, so the next report
// corrects one that was lost, and duplicates do no harm. A complete report also ends the
// work on servers that it does not list.
func (l *Ledger) ApplyReport(now time.Duration, peer string, complete bool, reported map[Key]Work) {
	l.lastReport[peer] = now
	known := l.peers[peer]
	if known == nil {
		known = accounts{}
		l.peers[peer] = known
	}
	l.setWork(now, peer, reported)
	if !complete {
		return
	}
	for server := range known {
		if _, listed := reported[server]; !listed {
			l.setPeerWork(now, peer, server, Work{})
		}
	}
}

// ApplyRelayed applies a report of changes that came through another instance. It does not extend
// the time for which the peer's work counts (see Expire). It is ignored, and false is returned, if
// no work of the peer counts: without complete reports of the peer itself, nothing would correct a
// lost report.
func (l *Ledger) ApplyRelayed(now time.Duration, peer string, reported map[Key]Work) bool {
	if l.peers[peer] == nil {
		return false
	}
	l.setWork(now, peer, reported)
	return true
}

func (l *Ledger) setWork(now time.Duration, peer string, reported map[Key]Work) {
	for server, w := range reported {
		l.setPeerWork(now, peer, server, w)
	}
}

func (l *Ledger) setPeerWork(now time.Duration, peer string, server Key, w Work) {
	l.change(l.peers[peer], server, func(a *account) {
		a.load, a.prefills = w.Load, a.prefills[:0]
		for _, r := range w.Prefills {
			if r.ExpectedEnd <= 0 {
				continue
			}
			a.prefills = append(a.prefills, Prefill{Duration: r.Duration, ExpectedEnd: now + r.ExpectedEnd})
			heap.Push(&l.prefillEnds, endEvent{at: now + r.ExpectedEnd, peer: peer, server: server})
		}
	})
}

// RetainPeers drops the work of peers that are not live: their requests ended with them.
func (l *Ledger) RetainPeers(live map[string]bool) {
	for peer := range l.peers {
		if !live[peer] {
			l.forget(peer)
		}
	}
}

// Expire drops the work of peers whose last report is older than since, and returns the names of
// those that had any. A peer that others still hear may have no working link to this instance; its last
// reported work would count for as long as that lasts, and requests would wait for engines
// that have long been idle.
func (l *Ledger) Expire(since time.Duration) (silent []string) {
	for peer := range l.peers {
		if l.lastReport[peer] >= since {
			continue
		}
		if l.hasWork(peer) {
			silent = append(silent, peer)
		}
		l.forget(peer)
	}
	return silent
}

func (l *Ledger) hasWork(peer string) bool {
	for _, a := range l.peers[peer] {
		if a.sum() != (Load{}) {
			return true
		}
	}
	return false
}

func (l *Ledger) forget(peer string) {
	for server := range l.peers[peer] {
		l.setPeerWork(0, peer, server, Work{})
	}
	delete(l.peers, peer)
	delete(l.lastReport, peer)
}

// TakeChanged returns the present work of this instance on the servers where it changed
// since the last call.
func (l *Ledger) TakeChanged(now time.Duration) map[Key]Work {
	if len(l.changed) == 0 {
		return nil
	}
	out := make(map[Key]Work, len(l.changed))
	for server := range l.changed {
		out[server] = l.LocalWork(now, server)
	}
	clear(l.changed)
	return out
}

// AllLocalWork returns the whole work of this instance.
func (l *Ledger) AllLocalWork(now time.Duration) map[Key]Work {
	out := make(map[Key]Work, len(l.local))
	for server, a := range l.local {
		out[server] = a.work(now)
	}
	return out
}

// LocalLoad returns the work of this instance on a server, pending prefill included.
func (l *Ledger) LocalLoad(server string) Load { return l.local[KeyOf(server)].sum() }

// endEvent is when a prefill ends on a server, placed by a peer or, if peer is empty, by
// this instance.
type endEvent struct {
	at     time.Duration
	peer   string
	server Key
}

// endHeap is a heap.Interface ordered by time.
type endHeap []endEvent

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return cmp.Less(h[i].at, h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endHeap) Push(x any) { *h = append(*h, x.(endEvent)) }

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
