package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// near and far are the numbers of neighbours in an instance's cell and outside of it.
// A random graph of so many edges a node stays connected when half of the nodes are lost.
const (
	near = 6
	far  = 6
)

// Neighbours are the members with which an instance of a divided fleet gossips, so that it
// needs connections to these only, however large the fleet and its cells are.
type Neighbours struct {
	// Mates are the members of the own cell. They hear from each other often, those of
	// other cells more rarely, and are told when one falls silent.
	Mates []string
	// Near are members of the own cell, Far of others.
	Near, Far []string
}

// NeighboursOf chooses the neighbours of self among live members, of which mates are in its
// cell. They follow from the names, so a member that comes or goes changes one at most.
func NeighboursOf(self string, mates, live []string) Neighbours {
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == self || slices.Contains(mates, name) })
	return Neighbours{Mates: mates, Near: first(self, mates, near), Far: first(self, others, far)}
}

// first returns the n names that are first in an order of self's own.
func first(self string, names []string, n int) []string {
	order := slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(self+"\x00"+a), xxhash.Sum64String(self+"\x00"+b)), cmp.Compare(a, b))
	})
	return order[:min(n, len(order))]
}

// All returns all neighbours.
func (n Neighbours) All() []string { return slices.Concat(n.Near, n.Far) }

// SetNeighbours bounds with whom rounds of gossip are held, and says who is of the own
// cell. Without neighbours all are.
func (t *Table) SetNeighbours(n Neighbours) {
	t.neighbours = n
	t.mates = map[string]bool{}
	for _, name := range n.Mates {
		t.mates[name] = true
	}
	for name, e := range t.entries {
		e.distant = t.distant(name)
	}
}

// distant reports whether a member is of another cell.
func (t *Table) distant(name string) bool { return len(t.mates) > 0 && !t.mates[name] }

// tellers is how many mates of a member tell the other cells that it fell silent: one
// could end at the same moment, and a datagram be lost.
const tellers = 4

// Silent returns the mates that fell silent since the last call, of which this member is to
// tell the other cells.
func (t *Table) Silent(now time.Duration) []*peerpb.MemberSilent {
	var out []*peerpb.MemberSilent
	for _, name := range t.order {
		e := t.entries[name]
		if !t.mates[name] || e.contact {
			continue
		}
		alive := t.alive(now, e)
		if e.spoke && !alive && t.tells(now, name) {
			out = append(out, &peerpb.MemberSilent{Name: name, Incarnation: e.state.Incarnation})
		}
		e.spoke = alive
	}
	return out
}

// tells reports whether this member is one of those that tell of another's silence.
func (t *Table) tells(now time.Duration, silent string) bool {
	own, before := xxhash.Sum64String(silent+"\x00"+t.self.Name), 0
	for name := range t.mates {
		if e := t.entries[name]; name != silent && e != nil && t.alive(now, e) && xxhash.Sum64String(silent+"\x00"+name) < own {
			before++
		}
	}
	return before < tellers
}

// silentBefore is how long before the word of its mates a member was silent at the least;
// it was for two seconds, but late packets make signs of life look newer.
// Signs of life of before that, which come late by way of others, do not bring it back.
const silentBefore = 200 * time.Millisecond

// wordFor is how long the word of one mate waits for that of another.
const wordFor = time.Second

// word is what one mate of a member told of its silence.
type word struct {
	by string
	at time.Duration
}

// FellSilent takes over that a member fell silent, as one of its mates tells. A sign of life
// of since then brings it back. Of a mate that this member hears from itself it takes the
// word of two: late packets may make one of them miss the silence, but none may have
// lost as many in a row.
func (t *Table) FellSilent(now time.Duration, by string, s *peerpb.MemberSilent) {
	e := t.entries[s.Name]
	if e == nil || e.contact || e.state.Incarnation > s.Incarnation {
		return
	}
	first := e.word
	e.word = word{by, now}
	if !e.distant && (first.by == "" || first.by == by || now-first.at > wordFor) {
		return
	}
	e.silentSince = now - silentBefore
}

// draw returns the live members of one round of gossip. One is far if there are any,
// or news would stay within the cell for a while.
func (t *Table) draw(live []string, n int) []string {
	if len(t.neighbours.Far) == 0 {
		t.shuffle(live)
		return live[:min(n, len(live))]
	}
	close, distant := t.among(live, t.neighbours.Near), t.among(live, t.neighbours.Far)
	out := distant[:min(max(1, n/2), len(distant))]
	return append(out, close[:min(n-len(out), len(close))]...)
}

// among returns those of live that are in names, in a drawn order.
func (t *Table) among(live, names []string) []string {
	var out []string
	for _, name := range names {
		if _, is := slices.BinarySearch(live, name); is {
			out = append(out, name)
		}
	}
	t.shuffle(out)
	return out
}
