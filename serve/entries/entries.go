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
)

// Entries is the module "serve.entries".
type Entries struct{ members *members.Members }

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
	return Answer{Addrs: Choose(e.members.View().Alive, dataCentre, rand.Shuffle), CacheTTL: answerTTL}
}

// Choose returns up to maxAddrs addresses of serving instances in random order,
// those in the data centre of the caller first.
func Choose(alive []*peerpb.MemberState, dataCentre string, shuffle func(int, func(i, j int))) []string {
	var near, far []string
	for _, m := range alive {
		switch {
		case m.Leaving || !m.Serving:
		case m.DataCentre == dataCentre:
			near = append(near, m.CallerAddr)
		default:
			far = append(far, m.CallerAddr)
		}
	}
	shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := slices.Concat(near, far)
	return all[:min(maxAddrs, len(all))]
}
