// Package watch decides which instances of a fleet watch the store of the platform. The
// others make no calls to it and get its changes from those that do. An instance derives
// whether it watches from the list of live instances and the age of the newest store answer
// known to it; there is no agreement and no election.
//
// If the lists of two instances differ, both may watch, which costs additional calls, or
// neither, which Policy.StaleAfter bounds. Both cases are safe: content is adopted by its
// version or revision, from whichever instance sends it first.
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
	// Leaving instances rank last: they stop within seconds.
	Leaving bool
	// Capacity is the processor time of the instance in thousandths of a core, zero if
	// unknown. Larger instances tend to rank first.
	Capacity uint32
}

// Minimum numbers of instances that watch.
const (
	// minPerDataCentre is the minimum per data centre, so that most of the propagation stays
	// within one.
	minPerDataCentre = 1
	// minWatchers is the minimum in the whole fleet, if it has that many instances: while some
	// are replaced, frozen or partitioned, the others propagate changes. If half of the
	// instances fail at once, all of five watchers are among them once in thirty times; their
	// successors watch as soon as the failure is detected.
	minWatchers = 5
)

// Standing is the rank of one instance among those of its data centre.
type Standing struct {
	// Order lists the instances of the data centre by rank; the first ones watch.
	Order []string
	// Rank is the index of this instance in Order, Watchers the number of instances in Order
	// that watch.
	Rank, Watchers int
	rankOf         map[string]int
}

// StandingOf returns the standing of self. All instances with the same list compute the same
// order (rendezvous hashing). A member that joins or leaves doesn't change the relative order
// of the others.
func StandingOf(self Member, members []Member) Standing {
	groups := map[string][]Member{self.DataCentre: nil}
	for _, m := range members {
		if m.Name != self.Name {
			groups[m.DataCentre] = append(groups[m.DataCentre], m)
		}
	}
	groups[self.DataCentre] = append(groups[self.DataCentre], self)
	s := Standing{Watchers: max(minPerDataCentre, (minWatchers+len(groups)-1)/len(groups)), rankOf: map[string]int{}}
	for dc, list := range groups {
		order := rankMembers(dc, list)
		for i, name := range order {
			s.rankOf[name] = i
		}
		if dc == self.DataCentre {
			s.Order = order
		}
	}
	s.Rank = s.rankOf[self.Name]
	return s
}

// rankMembers returns the names of a data centre's members by rank: leaving ones last, the
// others by weighted rendezvous hashing.
func rankMembers(dataCentre string, list []Member) []string {
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

// Primary reports whether this instance always watches.
func (s Standing) Primary() bool { return s.Rank < s.Watchers }

// PrecededBy reports whether an instance, of any data centre, has a lower rank than this one and
// so watches before it.
func (s Standing) PrecededBy(name string) bool {
	r, known := s.rankOf[name]
	return known && r < s.Rank
}

// maxSkipped bounds the failing instances that others watch in place of, as a multiple of Watchers: while the store
// is down, each that watches calls it.
const maxSkipped = 2

// rankAmong is the rank without the instances before this one whose calls fail.
func (s Standing) rankAmong(failing func(name string) bool) int {
	rank := s.Rank
	for _, name := range s.Order[:s.Rank] {
		if s.Rank-rank < maxSkipped*s.Watchers && failing(name) {
			rank--
		}
	}
	return rank
}

// Policy sets when instances that are not primary watch.
type Policy struct {
	// StaleAfter is the age of the last store answer, as known from the instances ranked before
	// it, at which the first instance after the primary ones begins to watch. It covers the wait
	// of a watch call without a change and the propagation by gossip.
	StaleAfter time.Duration
	// Step is the additional age per rank, so that instances begin one after the other. While
	// a store is down, one more instance per data centre calls it in each Step.
	Step time.Duration
}

// ShouldWatch reports whether an instance watches a source now. age is that of the last store answer of the
// instances ranked before it, and failing tells of which of them the calls are known to fail.
func (p Policy) ShouldWatch(s Standing, age time.Duration, failing func(name string) bool) bool {
	rank := s.rankAmong(failing)
	return rank < s.Watchers || age >= p.StaleAfter+time.Duration(rank-s.Watchers)*p.Step
}

// checkInterval and maxCheckInterval bound the interval of CheckAfter.
const (
	checkInterval    = 100 * time.Millisecond
	maxCheckInterval = time.Second
)

// CheckAfter returns when an instance should check again whether it has to watch. The further it
// ranks behind those that do, the more of them must fail first, and the later it checks.
func (p Policy) CheckAfter(s Standing) time.Duration {
	behind := max(0, s.Rank-s.Watchers)
	return min(maxCheckInterval, checkInterval*time.Duration(1+behind))
}

// fanOut is the number of instances to which each one forwards content. It reaches all of 75
// instances of a data centre in three steps, and a link of 20 Mbit/s forwards a configuration
// of 1,400 routes (some 40 KB compressed) in 64 ms.
const fanOut = 4

// Children returns the instances to which this one forwards content that it got from another
// instance: its children in a tree over the data centre.
func (s Standing) Children() []string {
	firstChild := fanOut*s.Rank + 1
	if firstChild >= len(s.Order) {
		return nil
	}
	return s.Order[firstChild:min(firstChild+fanOut, len(s.Order))]
}

// FirstTargets returns the instances to which this one forwards content that it got from the store:
// the top of the tree and its own children. An instance that misses it learns by gossip that
// there is a newer version, and requests it.
func (s Standing) FirstTargets() []string {
	var out []string
	for _, name := range s.Order[:min(fanOut+1, len(s.Order))] {
		if name != s.Order[s.Rank] {
			out = append(out, name)
		}
	}
	for _, name := range s.Children() {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
