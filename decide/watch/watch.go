// Package watch decides which instances of a fleet watch the store of the platform.
// The others make no calls to it and are told what changes by those that do. Who
// watches follows from the list of live instances and from the age of the last news,
// so nothing is agreed and nobody is elected.
//
// Instances whose lists differ may both watch, which costs calls, or for a bounded
// time neither, which Policy.StaleAfter ends. Neither breaks a promise: content is
// taken over by its version or revision, from whoever tells of it first.
//
// The package does no I/O and reads no clock.
package watch

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/place"
)

// Member is a live instance.
type Member struct {
	Name, DataCentre string
	// Leaving instances watch last: they are gone within seconds.
	Leaving bool
	// Capacity is the processor time of the instance in thousandths of a core, zero if
	// it is not known. Larger instances watch first, and pass content on first.
	Capacity uint32
}

// Numbers of instances that watch.
const (
	// perDataCentre is how many watch in each data centre, so that most of what is
	// passed on stays within one.
	perDataCentre = 1
	// least is how many watch in the whole fleet, if it has as many: while some are
	// replaced, frozen or cut off, the others tell all. Half of the instances may be lost
	// at the same moment; all of five are lost with them once in thirty times, and their
	// successors watch as soon as the members notice.
	least = 5
)

// Standing is the place of one instance in the order of those of its data centre.
type Standing struct {
	// Order is the instances of the data centre, those that watch first.
	Order []string
	// Rank is the own index in Order, Watchers how many of Order watch.
	Rank, Watchers int
	ranks          map[string]int
}

// Stand returns the standing of self. Every instance with the same list comes to the
// same order (rendezvous hashing), and a member that joins or leaves changes the place
// of no two others.
func Stand(self Member, members []Member) Standing {
	groups := map[string][]Member{self.DataCentre: nil}
	for _, m := range members {
		if m.Name != self.Name {
			groups[m.DataCentre] = append(groups[m.DataCentre], m)
		}
	}
	groups[self.DataCentre] = append(groups[self.DataCentre], self)
	s := Standing{Watchers: max(perDataCentre, (least+len(groups)-1)/len(groups)), ranks: map[string]int{}}
	for dc, list := range groups {
		order := rank(dc, list)
		for i, name := range order {
			s.ranks[name] = i
		}
		if dc == self.DataCentre {
			s.Order = order
		}
	}
	s.Rank = s.ranks[self.Name]
	return s
}

func rank(dataCentre string, list []Member) []string {
	type scored struct {
		Member
		score float64
	}
	all := make([]scored, len(list))
	for i, m := range list {
		all[i] = scored{m, place.WeightedScore(dataCentre, m.Name, m.Capacity)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.Leaving && !b.Leaving:
			return 1
		case b.Leaving && !a.Leaving:
			return -1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	out := make([]string, len(all))
	for i, m := range all {
		out[i] = m.Name
	}
	return out
}

// Primary reports whether this instance watches as long as it lives.
func (s Standing) Primary() bool { return s.Rank < s.Watchers }

// Before reports whether an instance, of any data centre, is to watch rather than this
// one.
func (s Standing) Before(name string) bool {
	r, known := s.ranks[name]
	return known && r < s.Rank
}

// Policy says when instances watch that usually need not.
type Policy struct {
	// StaleAfter is the age of the last news from an instance that is to watch rather
	// than this one, beyond which the next one does. It covers a watch that waits in
	// vain and the time that gossip takes.
	StaleAfter time.Duration
	// Step is the further age for each rank, so that they begin one after the other. A
	// store that is down is asked by one more instance of a data centre in each Step.
	Step time.Duration
}

// Due reports whether an instance watches now; age is that of the last news from those
// that are to watch rather than it.
func (p Policy) Due(s Standing, age time.Duration) bool {
	return s.Primary() || age >= p.StaleAfter+time.Duration(s.Rank-s.Watchers)*p.Step
}

// fanOut is to how many neighbours an instance passes content on. Of 75 instances of a
// data centre the last has it after three steps, and a link of 20 Mbit/s passes a
// configuration of 1,400 routes (some 40 KB compressed) on in 64 ms.
const fanOut = 4

// Next are the instances to which this one passes on what it was told: its children in
// a tree over the data centre.
func (s Standing) Next() []string {
	first := fanOut*s.Rank + 1
	if first >= len(s.Order) {
		return nil
	}
	return s.Order[first:min(first+fanOut, len(s.Order))]
}

// First are the instances to which this one passes on what the store told it: the top
// of the tree beside its own children. Whoever is lost on the way is told by gossip
// that there is something newer, and asks.
func (s Standing) First() []string {
	var out []string
	for _, name := range s.Order[:min(fanOut+1, len(s.Order))] {
		if name != s.Order[s.Rank] {
			out = append(out, name)
		}
	}
	for _, name := range s.Next() {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
