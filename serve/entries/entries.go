// Package entries chooses the entry instances that callers should use.
package entries

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.entries"

func init() { auburnmoor.Register(new(Entries)) }

const (
	// maxAddrs is the number of addresses that a caller uses of one answer.
	maxAddrs = 64
	// answerTTL is how long callers may cache an answer. It limits how long they
	// keep using an instance that is gone; each caller asks once in this time.
	answerTTL = 2 * time.Second
	// othersPerDataCentre is the number of addresses of each other data centre in an answer that
	// prefers the caller's. With two, a caller whose data centre fails has somewhere to go even if one
	// more instance fails.
	othersPerDataCentre = 2
)

// Entries is the module "serve.entries".
type Entries struct {
	// PreferDataCentre restricts answers to the caller's data centre and a few instances elsewhere.
	PreferDataCentre bool `toml:"prefer_data_centre"`

	members *members.Members
}

// ModuleInfo implements auburnmoor.Module.
func (*Entries) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, Requires: []auburnmoor.ModuleID{members.ID}, OptIn: true, New: func() auburnmoor.Module { return new(Entries) }}
}

// Provision implements auburnmoor.Provisioner.
func (e *Entries) Provision(c *auburnmoor.Context) (err error) {
	e.members, err = auburnmoor.Require[*members.Members](c, members.ID)
	return err
}

// Answer holds the addresses for a caller and how long it may cache them.
type Answer struct {
	Addrs    []string
	CacheTTL time.Duration
}

// For returns the answer for a caller in a data centre. No address means that this
// instance knows of no serving instance, itself included.
func (e *Entries) For(dataCentre string) Answer {
	return Answer{Addrs: e.choose(e.members.View().Alive, dataCentre), CacheTTL: answerTTL}
}

func (e *Entries) choose(alive []*peerpb.MemberState, dataCentre string) []string {
	if e.PreferDataCentre {
		return ChooseLocal(alive, dataCentre, rand.Shuffle)
	}
	return Choose(alive, dataCentre, rand.Shuffle)
}

// Choose returns up to maxAddrs addresses of serving instances in random order,
// those in the data centre of the caller first.
func Choose(alive []*peerpb.MemberState, dataCentre string, shuffle func(int, func(i, j int))) []string {
	near, far := divide(alive, dataCentre, shuffle)
	return addrsOf(near, far)
}

// ChooseLocal returns up to maxAddrs addresses of serving instances: those in the data centre of the
// caller, and othersPerDataCentre of each other one. If the caller's data centre has fewer than half
// of the mean of the data centres, the answer is filled up to the mean with further instances
// elsewhere, because its callers would overload it. If it has none, all others are listed.
func ChooseLocal(alive []*peerpb.MemberState, dataCentre string, shuffle func(int, func(i, j int))) []string {
	near, far := divide(alive, dataCentre, shuffle)
	if len(near) == 0 {
		return addrsOf(far)
	}
	others, rest, farDataCentres := splitOthers(far)
	all, dataCentres := len(near)+len(far), farDataCentres+1
	if 2*len(near)*dataCentres < all {
		mean := (all + dataCentres - 1) / dataCentres
		missing := mean - len(near) - len(others)
		others = append(others, rest[:min(max(0, missing), len(rest))]...)
	}
	// At least half of the addresses stay local, however many data centres there are.
	others = others[:min(maxAddrs-min(len(near), maxAddrs/2), len(others))]
	return addrsOf(near[:min(maxAddrs-len(others), len(near))], others)
}

// splitOthers returns the first othersPerDataCentre instances of each data centre, the rest, and the number of
// data centres.
func splitOthers(far []*peerpb.MemberState) (others, rest []*peerpb.MemberState, dataCentres int) {
	seen := map[string]int{}
	for _, m := range far {
		seen[m.DataCentre]++
		if seen[m.DataCentre] <= othersPerDataCentre {
			others = append(others, m)
		} else {
			rest = append(rest, m)
		}
	}
	return others, rest, len(seen)
}

// divide returns the serving instances in a data centre and in the others, each in random order.
func divide(alive []*peerpb.MemberState, dataCentre string, shuffle func(int, func(i, j int))) (near, far []*peerpb.MemberState) {
	for _, m := range alive {
		switch {
		case m.Leaving || !m.Serving:
		case m.DataCentre == dataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return near, far
}

// addrsOf returns the first maxAddrs addresses.
func addrsOf(lists ...[]*peerpb.MemberState) []string {
	all := slices.Concat(lists...)
	out := make([]string, min(maxAddrs, len(all)))
	for i := range out {
		out[i] = all[i].CallerAddr
	}
	return out
}
