package relay

import (
	"context"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// maxPermitTries is the number of limited servers whose permits are asked for at once.
const maxPermitTries = 2

// placeWithinLimits chooses the servers of the next attempt. A server that names a limit gets
// requests for which it has a permit, alone and without helpers; the others are chosen as ever.
func (x *exchange) placeWithinLimits(ctx context.Context) (spread.Plan, spread.Verdict) {
	if x.restLeft() > 0 {
		return spread.Plan{}, spread.NoServer
	}
	if !x.relay.limits.Any() {
		return x.place(x.maxHoldTime())
	}
	if x.fitsOneServer() {
		if plan, ok := x.placePermitted(ctx, 0); ok {
			return plan, spread.Placed
		}
	}
	plan, verdict := x.place(x.maxHoldTime())
	if verdict == spread.Placed {
		return plan, verdict
	}
	if permitted, ok := x.placePermitted(ctx, 0); ok {
		return permitted, spread.Placed
	}
	if verdict == spread.Hold || len(x.limitedServers()) == 0 {
		return plan, verdict
	}
	if permitted, ok := x.placePermitted(ctx, x.maxPermitWait()); ok {
		return permitted, spread.Placed
	}
	if verdict == spread.Overloaded {
		return plan, verdict
	}
	return plan, spread.Limited
}

// fitsOneServer reports whether the request gains little by helpers.
func (x *exchange) fitsOneServer() bool {
	return x.service.Engine == nil || spread.Short(x.service.Engine, x.req.PromptTokens)
}

// maxPermitWait is how long the request can wait for a permit and still be answered in time.
func (x *exchange) maxPermitWait() time.Duration {
	if x.relay.members.Leaving() {
		return 0
	}
	return min(spread.MaxHold(x.route.FirstEventTarget, x.timeLimit), x.remaining()/2)
}

// limitedServers returns the servers that may get the request with a permit, those whose permits
// may be free first.
func (x *exchange) limitedServers() []backends.Server {
	r := x.relay
	snap := r.catalog.Servers()
	ready := snap.Ready(x.service.Name)
	c := r.loads.Cell()
	r.mu.Lock()
	p := r.pool(x.service.Name)
	p.syncServers(snap, ready)
	servers := r.permitted(p, r.newColdGate(x.service)).apply(p.cellServers(snap, c, ready, x.service.Engine == nil))
	r.mu.Unlock()
	avoided := x.avoided()
	return slices.DeleteFunc(r.limits.Limited(servers), func(s backends.Server) bool {
		return slices.Contains(avoided, s.ID) || !r.loads.Total(s.ID).HasSlots(s.Slots)
	})
}

// placePermitted places the request on a limited server if it gets a permit within a time.
func (x *exchange) placePermitted(ctx context.Context, maxWait time.Duration) (spread.Plan, bool) {
	servers := x.limitedServers()
	for i, s := range servers[:min(len(servers), maxPermitTries)] {
		closed := x.relay.limits.ClosedFor(s)
		if i == 0 || closed < x.permitAfter {
			x.permitAfter = closed
		}
		if closed > maxWait {
			break
		}
		granted, after := x.relay.limits.Permit(ctx, s, x.rank, float64(x.req.PromptTokens+x.req.AnswerTokens), maxWait)
		if !granted {
			x.permitAfter = after
			continue
		}
		if plan, ok := x.placeGranted(s); ok {
			return plan, true
		}
	}
	return spread.Plan{}, false
}

// placeGranted places the request on a server for which it has a permit, unless the server went out of use
// while the request waited for the permit.
func (x *exchange) placeGranted(s backends.Server) (spread.Plan, bool) {
	if !x.relay.catalog.Servers().IsReady(s) {
		return spread.Plan{}, false
	}
	plan, verdict := x.placeAmong([]backends.Server{s}, 1, 0, true)
	return plan, verdict == spread.Placed
}
