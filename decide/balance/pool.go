// Package balance selects a backend server for calls to plain services, by the power of
// two random choices. It does no I/O and reads no clock.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/retry"
)

// Server is a backend server of a plain service.
type Server struct {
	Name string
	Addr string
}

// Pool holds the backend servers of one service. It is not safe for concurrent use.
type Pool struct {
	servers     []Server
	outstanding map[string]int
	health      *health.Tracker
	budget      *retry.Budget
	rand        *rand.Rand
}

// NewPool returns an empty pool.
func NewPool(retryShare, ejectShare float64, r *rand.Rand) *Pool {
	return &Pool{
		outstanding: map[string]int{}, rand: r,
		health: health.NewTracker(ejectShare, r), budget: retry.NewBudget(retryShare),
	}
}

// SetLimits applies the limits of a new configuration.
func (p *Pool) SetLimits(retryShare, ejectShare float64) {
	p.budget.SetShare(retryShare)
	p.health.SetMaxShare(ejectShare)
}

// SetServers replaces the servers that may get new calls, which excludes leaving ones.
func (p *Pool) SetServers(servers []Server) {
	for _, old := range p.servers {
		if !slices.ContainsFunc(servers, func(s Server) bool { return s.Name == old.Name }) {
			p.health.Remove(old.Name)
		}
	}
	for _, s := range servers {
		p.health.Add(s.Name)
	}
	p.servers = servers
}

// Pick chooses between two random usable servers the one with fewer outstanding calls,
// and counts the call. It skips the servers already tried.
func (p *Pool) Pick(now time.Duration, tried []string) (Server, bool) {
	var usable []Server
	for _, s := range p.servers {
		if p.health.Usable(now, s.Name) && !slices.Contains(tried, s.Name) {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return Server{}, false
	}
	a := usable[p.rand.IntN(len(usable))]
	if b := usable[p.rand.IntN(len(usable))]; p.outstanding[b.Name] < p.outstanding[a.Name] {
		a = b
	}
	p.outstanding[a.Name]++
	p.health.Begin(now, a.Name)
	return a, true
}

// Verdict is what the end of a call says about its server's health.
type Verdict int

// The verdicts. A call cancelled by its caller says nothing: counting it as a failure
// would let callers with short timeouts eject a healthy server.
const (
	Succeeded Verdict = iota
	Failed
	CallerCancelled
)

// Done records the end of a call that Pick counted.
func (p *Pool) Done(now time.Duration, name string, v Verdict) {
	if p.outstanding[name]--; p.outstanding[name] <= 0 {
		delete(p.outstanding, name)
	}
	switch v {
	case Succeeded:
		p.health.Success(now, name)
		p.budget.AddSuccess()
	case Failed:
		p.health.Failure(now, name)
	case CallerCancelled:
		p.health.Abandon(name)
	}
}

// TakeRetry takes one retry from the budget, and reports whether there was one.
func (p *Pool) TakeRetry() bool { return p.budget.Take() }

// Dump is the state of a pool as shown in the state dump.
type Dump struct {
	Servers       []string       `json:"servers"`
	Outstanding   map[string]int `json:"outstanding"`
	Ejected       int            `json:"ejected"`
	RetriesDenied uint64         `json:"retries_denied"`
}

// Dump returns the state of the pool.
func (p *Pool) Dump() Dump {
	d := Dump{Outstanding: map[string]int{}, Ejected: p.health.EjectedCount(), RetriesDenied: p.budget.Denied()}
	for _, s := range p.servers {
		d.Servers = append(d.Servers, s.Name)
	}
	for k, v := range p.outstanding {
		d.Outstanding[k] = v
	}
	return d
}
