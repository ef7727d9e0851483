// Package soak runs the real program as several processes on one machine, injects faults
// from outside them, and checks what callers and backend servers see against the promises
// of the product. A plan of timed faults follows from a seed and can be written to a
// file, replayed and shrunk.
package soak

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnmoor/auburnmoor/settings"
)

// Kind is a sort of fault.
type Kind string

// The kinds of fault.
const (
	// Kill, Term and Reload send signals to instances; ended ones start again. Freeze
	// stops them for a while.
	Kill   Kind = "kill"
	Term   Kind = "term"
	Reload Kind = "reload"
	Freeze Kind = "freeze"
	// StoreDown refuses calls, StoreSilent answers none, StoreSlow answers late.
	StoreDown   Kind = "store-down"
	StoreSilent Kind = "store-silent"
	StoreSlow   Kind = "store-slow"
	// StoreForgets drops the history of changes, StoreOlder goes back to the copy that was
	// taken some seconds before; writers write again.
	StoreForgets Kind = "store-forgets"
	StoreOlder   Kind = "store-older"
	// CutStore silences, ResetStore resets the links of instances to the store.
	CutStore   Kind = "cut-store"
	ResetStore Kind = "reset-store"
	// CutServer silences, ResetServer resets, SlowServer delays the links to backend
	// servers.
	CutServer   Kind = "cut-server"
	ResetServer Kind = "reset-server"
	SlowServer  Kind = "slow-server"
	// ResetCallers resets the connections of callers.
	ResetCallers Kind = "reset-callers"
	// Misanswer has backend servers answer wrongly.
	Misanswer Kind = "misanswer"
	// Deadly has a caller repeat a request that crashes the engines that run it.
	Deadly Kind = "deadly"
	// Replace has backend servers leave and others come in their place.
	Replace Kind = "replace"
	// Change adds a route, Changes several in a row.
	Change  Kind = "change"
	Changes Kind = "changes"
)

// Fault is one timed fault.
type Fault struct {
	// At is the time since the start of traffic.
	At   settings.Duration `toml:"at"`
	Kind Kind              `toml:"kind"`
	// For is how long it lasts, where it lasts.
	For settings.Duration `toml:"for"`
	// Share is the part of the instances or servers that it strikes, at least one.
	Share float64 `toml:"share"`
	// Pick chooses which, together with the number of them.
	Pick uint64 `toml:"pick"`
}

// Plan is what one run plays.
type Plan struct {
	Seed      uint64            `toml:"seed"`
	Instances int               `toml:"instances"`
	Length    settings.Duration `toml:"length"`
	Faults    []Fault           `toml:"fault"`
}

// Bounds of what is drawn.
const (
	// calmFor is the time without other faults at the begin of a run, in which some
	// instances are told to end, and calmAtEnd that at its end, in which servers are replaced
	// and the fleet must be as good as before.
	calmFor, calmAtEnd = 6 * time.Second, 10 * time.Second
	// termAt is when instances are told to end, replaceAt is how long before the end servers
	// are replaced.
	termAt, replaceAt    = 3200 * time.Millisecond, 6 * time.Second
	shortest, longest    = 300 * time.Millisecond, 5 * time.Second
	fewScenes            = 2
	mostStrikes          = 4
	smallShare, maxExtra = 0.2, 0.6
)

// lasting are the kinds inside which others strike, striking the others.
var (
	lasting  = []Kind{StoreDown, StoreSilent, StoreSlow, CutStore, CutServer, SlowServer, Freeze}
	striking = []Kind{Kill, Term, Reload, Freeze, StoreForgets, StoreOlder, ResetStore, ResetServer, ResetCallers, Misanswer, Deadly, Replace, Change, Changes}
)

// Draw returns the plan of a seed: scenes in which some faults strike while another lasts.
func Draw(seed uint64, instances int, length time.Duration) (Plan, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Instances: instances, Length: settings.Duration(length)}
	if err := p.check(); err != nil {
		return p, err
	}
	p.add(r, termAt, Term, 0)
	p.add(r, length-replaceAt, Replace, 0)
	p.add(r, length-replaceAt, Change, 0)
	span := length - calmFor - calmAtEnd
	scenes := max(1, min(fewScenes, int(span/longest)))
	for i := range scenes {
		begin := calmFor + span*time.Duration(i)/time.Duration(scenes)
		most := min(longest, span/time.Duration(scenes))
		lasts := shortest + time.Duration(r.Int64N(int64(most-shortest)+1))
		p.add(r, begin, lasting[r.IntN(len(lasting))], lasts)
		p.add(r, begin+time.Duration(r.Int64N(int64(lasts))), Changes, 0)
		for range 1 + r.IntN(mostStrikes) {
			at := begin + time.Duration(r.Int64N(int64(most)))
			p.add(r, at, striking[r.IntN(len(striking))], min(shortest+time.Duration(r.Int64N(int64(2*time.Second))), calmFor+span-at))
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p, p.check()
}

// Without returns the plan without one of its faults.
func (p Plan) Without(fault int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), fault, fault+1)
	return p
}

func (p *Plan) add(r *rand.Rand, at time.Duration, k Kind, lasts time.Duration) {
	p.Faults = append(p.Faults, Fault{
		At: settings.Duration(at), Kind: k, For: settings.Duration(lasts), Share: smallShare + maxExtra*r.Float64(), Pick: r.Uint64() >> 12,
	})
}

// ParsePlan reads a plan from a file's content.
func ParsePlan(raw []byte) (Plan, error) {
	var p Plan
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&p); err != nil {
		return p, errors.Wrap(err, "plan")
	}
	return p, p.check()
}

func (p Plan) check() error {
	if p.Instances < 1 || p.Instances > mostInstances {
		return errors.Newf("plan: %d instances, 1 to %d may run", p.Instances, mostInstances)
	}
	if p.Length.Std() < calmFor+longest+calmAtEnd {
		return errors.Newf("plan: a length of %s, at least %s are needed", p.Length.Std(), calmFor+longest+calmAtEnd)
	}
	for i, f := range p.Faults {
		if !slices.Contains(lasting, f.Kind) && !slices.Contains(striking, f.Kind) {
			return errors.Newf("plan: fault %d: unknown kind %q", i+1, f.Kind)
		}
		if f.At < 0 || f.For < 0 || f.At+f.For > p.Length || f.Share < 0 || f.Share > 1 {
			return errors.Newf("plan: fault %d: time or share out of range", i+1)
		}
	}
	return nil
}

// Format writes a plan as a file's content.
func (p Plan) Format() ([]byte, error) { return toml.Marshal(p) }

// picked returns which of n things a fault strikes.
func (f Fault) picked(n int) []int {
	order := rand.New(rand.NewPCG(f.Pick, 2)).Perm(n)
	return order[:min(n, max(1, int(f.Share*float64(n))))]
}
