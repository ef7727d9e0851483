package relay

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
)

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

// beyondCell returns the cold servers of other cells. If the quotas are below one per second, only some
// instances may send a server a request, and none of these may be in the server's cell.
func (g *coldGate) beyondCell(share, ready []backends.Server) (out []backends.Server) {
	if g == nil || len(share) == len(ready) {
		return nil
	}
	for _, s := range ready {
		if g.isCold(s) && !slices.ContainsFunc(share, func(o backends.Server) bool { return o.ID == s.ID }) {
			out = append(out, s)
		}
	}
	return out
}

// free returns the given cold servers that pass the filters, which include the gate. It does not set
// excluded for the others.
func (g *coldGate) free(servers []backends.Server, filters filterChain) []backends.Server {
	if len(servers) == 0 {
		return nil
	}
	excluded := g.excluded
	defer func() { g.excluded = excluded }()
	return filters.apply(servers)
}

// take counts a request against the quota of a server and reports whether the request may be sent. The
// send is nil if the server is not cold.
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

// nextFree returns the time until the quota of any of the cold servers is free again, at most
// maxRetryAfterCold.
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
