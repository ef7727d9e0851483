// Package spread decides which backend server writes an answer and which
// servers help to read its prompt, from the work that all instances have placed.
// It does no I/O and reads no clock.
package spread

import "time"

// Load is work placed on one server.
type Load struct {
	// Calls are the requests whose answer the server writes.
	Calls int64
	// LongCalls are those of the calls whose prompt is deep.
	LongCalls int64
	// HeldTokens is the KV memory of those requests.
	HeldTokens int64
	// Read is the time that the server needs for the prompts it has to read.
	Read time.Duration
	// Unread is the reading of prompts whose first event has not come. Read ends
	// when it is predicted to, Unread when it has ended.
	Unread time.Duration
	// Parts are prompts of which the server reads a part for another server.
	Parts int64
}

func (l Load) plus(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, LongCalls: l.LongCalls + o.LongCalls, HeldTokens: l.HeldTokens + o.HeldTokens, Read: l.Read + o.Read, Parts: l.Parts + o.Parts, Unread: l.Unread + o.Unread}
}

// Minus returns the work without a part of it.
func (l Load) Minus(o Load) Load {
	return Load{Calls: l.Calls - o.Calls, LongCalls: l.LongCalls - o.LongCalls, HeldTokens: l.HeldTokens - o.HeldTokens, Read: l.Read - o.Read, Parts: l.Parts - o.Parts, Unread: l.Unread - o.Unread}
}

// HasSlots reports whether a server of so many slots runs all its calls at once.
func (l Load) HasSlots(slots int) bool { return slots > 0 && l.Calls <= int64(slots) }

// Begun is the part of the work that ends with the first event of an answer.
func (l Load) Begun() Load { return Load{Unread: l.Unread, Parts: l.Parts} }

// Ledger adds up the work of this instance and what others report of theirs.
// It is not safe for concurrent use.
type Ledger struct {
	own     map[string]Load
	peers   map[string]map[string]Load
	heard   map[string]time.Duration
	total   map[string]Load
	changed map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: map[string]Load{}, peers: map[string]map[string]Load{}, heard: map[string]time.Duration{}, total: map[string]Load{}, changed: map[string]bool{}}
}

// Of returns the work of all instances on a server.
func (l *Ledger) Of(server string) Load { return l.total[server] }

// Own returns the work of this instance on a server.
func (l *Ledger) Own(server string) Load { return l.own[server] }

// Add notes work of this instance.
func (l *Ledger) Add(server string, v Load) { l.setOwn(server, l.own[server].plus(v)) }

// Sub ends work that Add noted.
func (l *Ledger) Sub(server string, v Load) { l.setOwn(server, l.own[server].Minus(v)) }

func (l *Ledger) setOwn(server string, v Load) {
	l.shift(server, l.own[server], v)
	if v == (Load{}) {
		delete(l.own, server)
	} else {
		l.own[server] = v
	}
	l.changed[server] = true
}

func (l *Ledger) shift(server string, from, to Load) {
	sum := l.total[server].Minus(from).plus(to)
	if sum == (Load{}) {
		delete(l.total, server)
		return
	}
	l.total[server] = sum
}

// Report takes over what a peer says of its work. Values are absolute, so a
// report that was lost or came twice is put right by the next one. A complete
// report also ends what it does not name.
func (l *Ledger) Report(now time.Duration, peer string, complete bool, loads map[string]Load) {
	l.heard[peer] = now
	held := l.peers[peer]
	if held == nil {
		held = map[string]Load{}
		l.peers[peer] = held
	}
	for server, v := range loads {
		l.setPeer(held, server, v)
	}
	if !complete {
		return
	}
	for server := range held {
		if _, named := loads[server]; !named {
			l.setPeer(held, server, Load{})
		}
	}
}

func (l *Ledger) setPeer(held map[string]Load, server string, v Load) {
	l.shift(server, held[server], v)
	if v == (Load{}) {
		delete(held, server)
		return
	}
	held[server] = v
}

// Keep forgets the work of peers that are not live: their requests ended with
// them.
func (l *Ledger) Keep(live map[string]bool) {
	for peer := range l.peers {
		if !live[peer] {
			l.forget(peer)
		}
	}
}

// Expire forgets what peers said that were not heard since a time, and returns
// their names. A peer that others still hear may have no working link to this
// instance; the work that it named last would count for as long as that lasts,
// and requests would wait for engines that have long been idle.
func (l *Ledger) Expire(since time.Duration) (silent []string) {
	for peer := range l.peers {
		if l.heard[peer] < since {
			l.forget(peer)
			silent = append(silent, peer)
		}
	}
	return silent
}

func (l *Ledger) forget(peer string) {
	held := l.peers[peer]
	for server := range held {
		l.setPeer(held, server, Load{})
	}
	delete(l.peers, peer)
	delete(l.heard, peer)
}

// TakeChanged returns the present work of this instance on the servers where
// it changed since the last call.
func (l *Ledger) TakeChanged() map[string]Load {
	if len(l.changed) == 0 {
		return nil
	}
	out := make(map[string]Load, len(l.changed))
	for server := range l.changed {
		out[server] = l.own[server]
	}
	clear(l.changed)
	return out
}

// All returns the whole work of this instance.
func (l *Ledger) All() map[string]Load {
	out := make(map[string]Load, len(l.own))
	for server, v := range l.own {
		out[server] = v
	}
	return out
}

// Totals returns the work of all instances by server.
func (l *Ledger) Totals() map[string]Load {
	out := make(map[string]Load, len(l.total))
	for server, v := range l.total {
		out[server] = v
	}
	return out
}
