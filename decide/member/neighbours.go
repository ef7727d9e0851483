package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	// Near are members of the own cell, Far of others.
	Near, Far []string
}

// NeighboursOf chooses the neighbours of self among live members, of which mates are in its
// cell. They follow from the names, so a member that comes or goes changes one at most.
func NeighboursOf(self string, mates, live []string) Neighbours {
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == self || slices.Contains(mates, name) })
	return Neighbours{Near: first(self, mates, near), Far: first(self, others, far)}
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

// SetNeighbours bounds with whom rounds of gossip are held. Without neighbours they are
// held with all.
func (t *Table) SetNeighbours(n Neighbours) { t.neighbours = n }

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
