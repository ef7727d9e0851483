package reach

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the choice of proxies.
const (
	// maxProxies is the number of instances over which the calls of one instance are
	// spread.
	maxProxies = 4
	// defaultCapacity is assumed of instances that do not report theirs, in thousandths
	// of a core.
	defaultCapacity = 1000
)

// Pauses after which an instance that made no call for this one is asked again.
const (
	// PauseBusy is for one that makes too many calls for others.
	PauseBusy = 200 * time.Millisecond
	// PauseIsolated is for one that has no path to backend servers itself.
	PauseIsolated = time.Second
	// PauseFailed is for one that did not answer, or does not support such calls.
	PauseFailed = 2 * time.Second
)

// Instance is another instance that may make calls for this one.
type Instance struct {
	Name string
	// Capacity is its processor time in thousandths of a core, zero if unknown.
	Capacity uint32
}

// Proxies chooses the instances that make calls for this one. Each instance prefers others
// by weighted rendezvous hashing, so that the calls of many partitioned instances spread
// over all that are not. It is not safe for concurrent use.
type Proxies struct {
	self string
	// ranked are the other instances, the preferred ones first.
	ranked []ranked
	paused map[string]time.Duration
	active map[string]int
}

type ranked struct {
	Instance
	score float64
}

// NewProxies returns Proxies of an instance that knows no others yet.
func NewProxies(self string) *Proxies {
	return &Proxies{self: self, paused: map[string]time.Duration{}, active: map[string]int{}}
}

// SetInstances replaces the instances to choose from; self is ignored.
func (p *Proxies) SetInstances(list []Instance) {
	p.ranked = p.ranked[:0]
	for _, in := range list {
		if in.Name == p.self {
			continue
		}
		if in.Capacity == 0 {
			in.Capacity = defaultCapacity
		}
		p.ranked = append(p.ranked, ranked{in, p.score(in)})
	}
	slices.SortFunc(p.ranked, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
}

// score is the weighted rendezvous score of an instance for this one.
func (p *Proxies) score(in Instance) float64 {
	const bits = 53
	h := xxhash.Sum64String(p.self + "\x00" + in.Name)
	uniform := (float64(h>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(in.Capacity) / math.Log(uniform)
}

// Choose returns the instance with the fewest active calls for its capacity among the
// preferred ones that are neither paused nor in skip. If all are paused, the first call
// goes to the one whose pause ends first: a pause may be outdated.
func (p *Proxies) Choose(now time.Duration, skip []string) (string, bool) {
	best, next, considered := "", "", 0
	var bestLoad float64
	var nextUntil time.Duration
	for _, in := range p.ranked {
		if slices.Contains(skip, in.Name) {
			continue
		}
		if until, paused := p.paused[in.Name]; paused && now < until {
			if next == "" || until < nextUntil {
				next, nextUntil = in.Name, until
			}
			continue
		}
		considered++
		load := float64(p.active[in.Name]+1) / float64(in.Capacity)
		if best == "" || load < bestLoad {
			best, bestLoad = in.Name, load
		}
		if considered == maxProxies {
			break
		}
	}
	if best == "" && len(skip) == 0 {
		best = next
	}
	return best, best != ""
}

// Pause passes over an instance for a while.
func (p *Proxies) Pause(now time.Duration, name string, d time.Duration) {
	for other, until := range p.paused {
		if now >= until {
			delete(p.paused, other)
		}
	}
	p.paused[name] = now + d
}

// Begin records a call made by an instance, End its end.
func (p *Proxies) Begin(name string) { p.active[name]++ }

// End records the end of a call.
func (p *Proxies) End(name string) {
	if p.active[name]--; p.active[name] <= 0 {
		delete(p.active, name)
	}
}

// ActiveCount counts the calls in progress.
func (p *Proxies) ActiveCount() (n int) {
	for _, c := range p.active {
		n += c
	}
	return n
}
