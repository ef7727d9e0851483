package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
)

// maxRetryAfterCold is the longest time after which callers may come back that are refused because all
// servers are cold. A quota that is used up is free again after about a second.
const maxRetryAfterCold = time.Second

// coldQuotas are the requests that this instance sent to cold servers. Its zero value is empty. Its
// mutex may be locked while any other is held.
type coldQuotas struct {
	mu      sync.Mutex
	limiter *warmup.Limiter
}

// with calls f with the limiter.
func (q *coldQuotas) with(f func(*warmup.Limiter)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limiter == nil {
		q.limiter = warmup.NewLimiter()
	}
	f(q.limiter)
}

// coldGate decides at one moment which cold servers of a service may get a request. It is a
// serverFilter.
type coldGate struct {
	quotas  *coldQuotas
	snap    *backends.Snapshot
	service *route.Service
	fleet   member.Roster
	now     time.Duration
	// excluded is set once the filter excluded a server.
	excluded bool
}

// newColdGate returns the gate of a service, or nil if its cold servers have no limit; r.mu must be held.
func (r *Relay) newColdGate(service *route.Service) *coldGate {
	if service.ColdRate <= 0 {
		return nil
	}
	return &coldGate{quotas: &r.coldQuotas, snap: r.catalog.Servers(), service: service, fleet: member.Roster(r.retryFleet()), now: r.now()}
}

// lockAndMakeColdGate is newColdGate for callers that do not hold r.mu.
func (r *Relay) lockAndMakeColdGate(service *route.Service) *coldGate {
	if service.ColdRate <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newColdGate(service)
}

func (g *coldGate) isCold(s backends.Server) bool {
	return g.snap.ColdUntil(s.ID, g.service.ColdStart) > g.now
}

// quota returns how many requests this instance may send to a cold server in any second.
func (g *coldGate) quota(s backends.Server) (warmup.Server, int) {
	key := warmup.Server{ID: s.ID, Life: s.Life}
	return key, warmup.Quota(g.now, key, g.service.ColdRate, g.fleet)
}

// check implements serverFilter.
func (g *coldGate) check(s backends.Server) (e exclusion) {
	if !g.isCold(s) {
		return eligible
	}
	key, quota := g.quota(s)
	g.quotas.with(func(l *warmup.Limiter) {
		if !l.Allows(g.now, key, quota) {
			e, g.excluded = cold, true
		}
	})
	return e
}

// take takes a request to a server from the quota and reports whether the request may be sent. The send
// is nil if the server is not cold.
func (g *coldGate) take(s backends.Server) (send *coldSend, ok bool) {
	if g == nil || !g.isCold(s) {
		return nil, true
	}
	key, quota := g.quota(s)
	g.quotas.with(func(l *warmup.Limiter) {
		if v := l.Take(g.now, key, quota); v != nil {
			send = &coldSend{quotas: g.quotas, entry: v, pending: true}
		}
	})
	return send, send != nil
}

// nextFree returns the time until the quota of a first cold server is free again.
func (g *coldGate) nextFree(servers []backends.Server) time.Duration {
	shortest := maxRetryAfterCold
	g.quotas.with(func(l *warmup.Limiter) {
		for _, s := range servers {
			if !g.isCold(s) {
				continue
			}
			key, quota := g.quota(s)
			shortest = min(shortest, l.NextFree(g.now, key, quota))
		}
	})
	return shortest
}

// coldSend is the part of one attempt in the quota of its server. A nil one is that of a server that
// is not cold.
type coldSend struct {
	quotas *coldQuotas
	entry  *warmup.Send
	// pending is set until the attempt is sent.
	pending bool
}

// sent records that the attempt is sent now.
func (s *coldSend) sent(now time.Duration) {
	if s != nil {
		s.pending = false
		s.quotas.with(func(l *warmup.Limiter) { l.Sent(now, s.entry) })
	}
}

// giveBack records that the attempt does not count: it was not sent, or its server does not count it.
func (s *coldSend) giveBack() {
	if s != nil {
		s.pending = false
		s.quotas.with(func(l *warmup.Limiter) { l.Return(s.entry) })
	}
}

// end gives the part back if the attempt ended before it was sent.
func (s *coldSend) end() {
	if s != nil && s.pending {
		s.giveBack()
	}
}

// coldState is what placing a request at cold servers needs.
type coldState struct {
	// leftOut is set if the last placement passed over a server only because it is cold; counted once
	// the request is counted for that.
	leftOut, counted bool
	// send is the part of the quota that was taken for the plan chosen last, until its attempt begins.
	send *coldSend
}

// leaveOutCold records that a cold server was passed over.
func (x *exchange) leaveOutCold() {
	x.cold.leftOut = true
	if !x.cold.counted {
		x.cold.counted = true
		x.relay.count("requests_past_cold_servers_total", "service", x.service.Name)
	}
}

// chooseWithin chooses among servers and takes the request from the quota of its writer if that is
// cold. Another request may have used up the quota since the servers were filtered; then the choice is
// made again without that server.
func (x *exchange) chooseWithin(gate *coldGate, servers []backends.Server, choose func([]backends.Server) (spread.Plan, spread.Verdict)) (spread.Plan, spread.Verdict) {
	for {
		plan, verdict := choose(servers)
		if verdict != spread.Placed {
			return plan, verdict
		}
		send, ok := gate.take(plan.Writer())
		if ok {
			x.cold.send = send
			return plan, verdict
		}
		x.leaveOutCold()
		servers = slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return s.ID == plan.Writer().ID })
	}
}

// takeColdSend returns the part of the quota of the plan chosen last, for its attempt.
func (x *exchange) takeColdSend() *coldSend {
	send := x.cold.send
	x.cold.send = nil
	return send
}

// awaitWarmup is the verdict on a request that only cold servers could take. One with a prompt is
// held until the quota of a server is free again.
func (x *exchange) awaitWarmup(maxHold time.Duration) (spread.Plan, spread.Verdict) {
	plan := spread.Plan{Reason: spread.ForWarmup}
	if x.service.Engine != nil && x.heldFor < maxHold {
		return plan, spread.Hold
	}
	return plan, spread.NoServer
}

// retryAfterCold returns when the caller may come back if all servers are cold: between the time at which
// the first quota is free again and a second, so that callers do not all come back at once.
func (x *exchange) retryAfterCold() time.Duration {
	gate := x.relay.lockAndMakeColdGate(x.service)
	if gate == nil {
		return retryAfterNoBackend
	}
	first := max(minRetryAfterNotRun, gate.nextFree(x.relay.catalog.Servers().Ready(x.service.Name)))
	return first + time.Duration(rand.Float64()*float64(maxRetryAfterCold-first))
}
