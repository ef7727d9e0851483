package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/buckets"
	"github.com/auburnmoor/auburnmoor/internal/wait"
)

const (
	// recheckInterval is the mean interval at which placing a held request is tried
	// again; the engines prefill a part of a deep prompt in about 50 ms. Each interval
	// is drawn between zero and twice the mean, because instances that retry at once
	// would all place before they hear of each other, about 4 ms later.
	recheckInterval = 15 * time.Millisecond
	// maxHeldDeep bounds the deep prompts that one instance holds. Six instances with
	// as many have half a minute of prefill queued, longer than any client waits.
	// Requests that wait for a slot do so for a second at most and are bounded by the
	// instance's connections.
	maxHeldDeep = 32
)

// placeOrHold chooses the servers of the next attempt. A request that was not sent
// yet may be held until the engines have capacity for it. The verdict is Hold only if
// the context ended meanwhile.
func (x *exchange) placeOrHold(ctx context.Context) (spread.Plan, spread.Verdict) {
	r := x.relay
	plan, verdict := x.placeWithinLimits(ctx)
	if verdict != spread.Hold {
		return plan, verdict
	}
	r.held.Add(1)
	defer r.held.Add(-1)
	if x.isDeep() {
		defer r.heldDeep.Add(-1)
		if r.heldDeep.Add(1) > maxHeldDeep {
			return plan, spread.Overloaded
		}
	}
	defer x.joinQueue()()
	r.count("held_total", "waits_for", plan.Reason.String())
	x.logHeld(plan)
	began := r.now()
	for verdict == spread.Hold {
		if x.refusedByAdmission() {
			return plan, spread.Overloaded
		}
		x.updateTurn(plan.Reason)
		if !wait.For(ctx, rand.N(2*recheckInterval)) {
			return plan, verdict
		}
		x.heldFor = r.now() - began
		x.holdReason = plan.Reason
		if x.quarantinedEverywhere() {
			// Servers crashed on the same request while this one was held.
			return plan, spread.NoServer
		}
		plan, verdict = x.placeWithinLimits(ctx)
	}
	r.scope.Histogram("held_seconds", buckets.Durations).RecordDuration(x.heldFor)
	return plan, verdict
}

// maxHoldTime is how long the request may be held. It is zero after an attempt that may
// have reached a server, and while the instance shuts down.
func (x *exchange) maxHoldTime() time.Duration {
	if x.state.Sent() > 0 || x.relay.members.Leaving() {
		return 0
	}
	return spread.MaxHold(x.route.FirstEventTarget, x.timeLimit)
}

// joinQueue counts the held request among those that wait for a slot until the returned
// function is called. A deep prompt is queued by placeOrHold and only removed by it.
func (x *exchange) joinQueue() (leave func()) {
	l := x.relay.loads
	dequeue := func() { l.Release(x.req.ID) }
	if !x.isDeep() {
		l.WaitForSlot(1)
		dequeue = func() { l.WaitForSlot(-1) }
	}
	return func() {
		dequeue()
		x.waitForShare(false)
	}
}

// isDeep reports whether the request has a deep prompt, as defined by spread.Deep.
func (x *exchange) isDeep() bool {
	return x.service.Engine != nil && spread.Deep(x.service.Engine, x.req.PromptTokens, x.answerTokens())
}

// turn is the request's position among the held deep prompts of all instances.
func (x *exchange) turn() spread.Turn {
	t := spread.NewTurn(x.service.Engine, x.req.ID, x.req.PromptTokens, x.rank, x.started, x.route.FirstEventTarget)
	t.OverShare = x.relay.loads.OverShare(x.customerKey())
	return t
}

// updateTurn keeps a held deep prompt in the queue of all instances, unless it waits only for this
// instance's quota of requests to cold servers: other prompts need not wait for it then.
func (x *exchange) updateTurn(waitsFor spread.Reason) {
	x.waitForShare(waitsFor != spread.ForWarmup)
	switch {
	case !x.isDeep():
	case waitsFor == spread.ForWarmup:
		x.relay.loads.Release(x.req.ID)
	default:
		x.relay.loads.Hold(x.turn())
	}
}

// logHeld logs that a request is held and why.
func (x *exchange) logHeld(plan spread.Plan) {
	x.relay.log.Info("held back", zap.String("request", x.req.ID), zap.Int64("prompt", x.req.PromptTokens),
		zap.Stringer("waits_for", plan.Reason), zap.Duration("backlog", plan.Backlog), zap.Int64("held", x.relay.held.Load()), zap.Duration("left", x.remaining()))
}
