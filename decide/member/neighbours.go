package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// distant is the number of neighbours outside of an instance's cell. A random graph of
// eight edges a node stays connected when half of the nodes are lost.
const distant = 8

// Neighbours are the members with which an instance of a divided fleet gossips, so that it
// needs connections to these only, however large the fleet is.
type Neighbours struct {
	// Mates are the members of the own cell, Distant some of the others.
	Mates, Distant []string
}

// NeighboursOf chooses the neighbours of self among live members. The distant ones follow
// from the names, so a member that comes or goes changes one of them at most.
func NeighboursOf(self string, mates, live []string) Neighbours {
	type scored struct {
		name  string
		score uint64
	}
	var others []scored
	for _, name := range live {
		if name != self && !slices.Contains(mates, name) {
			others = append(others, scored{name, xxhash.Sum64String(self + "\x00" + name)})
		}
	}
	slices.SortFunc(others, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name)) })
	n := Neighbours{Mates: mates}
	for _, o := range others[:min(distant, len(others))] {
		n.Distant = append(n.Distant, o.name)
	}
	return n
}

// All returns all neighbours.
func (n Neighbours) All() []string { return slices.Concat(n.Mates, n.Distant) }

// SetNeighbours bounds with whom rounds of gossip are held. Without neighbours they are
// held with all.
func (t *Table) SetNeighbours(n Neighbours) { t.neighbours = n }

// draw returns the live members of one round of gossip. One is distant if there are any,
// or news would stay within the cell for a while.
func (t *Table) draw(live []string, n int) []string {
	if len(t.neighbours.Distant) == 0 {
		t.shuffle(live)
		return live[:min(n, len(live))]
	}
	near := t.among(live, t.neighbours.Mates)
	far := t.among(live, t.neighbours.Distant)
	out := far[:min(max(1, n/2), len(far))]
	return append(out, near[:min(n-len(out), len(near))]...)
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
