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
	// lookAgain is the mean time after which a request that is held back is placed
	// again: the engines read a part of a deep prompt in some 50 ms. It is drawn
	// between nearly none and twice as much. Instances that look at the same moment
	// would all send before they hear of each other, some 4 ms later.
	lookAgain = 15 * time.Millisecond
	// maxHeld bounds the deep prompts that one instance holds back. Six instances
	// with so many have reading for half a minute before them, and no client
	// waits that long. Requests that wait for a slot do so for a second at most and
	// are bounded by the instance's connections.
	maxHeld = 32
)

// placeInTurn chooses servers for the next attempt. A request that was sent
// nowhere may be held back until the engines have less to read. The verdict is
// Hold only if the context ended meanwhile.
func (x *exchange) placeInTurn(ctx context.Context) (spread.Plan, spread.Verdict) {
	r := x.relay
	plan, verdict := x.place(x.holdPatience())
	if verdict != spread.Hold {
		return plan, verdict
	}
	r.held.Add(1)
	defer r.held.Add(-1)
	if x.deep() {
		defer r.heldDeep.Add(-1)
		if r.heldDeep.Add(1) > maxHeld {
			return plan, spread.NoRoom
		}
	}
	defer x.joinQueue()()
	r.count("held_total", "waits_for", plan.Reason.String())
	x.heldBack(plan)
	began := r.now()
	for verdict == spread.Hold {
		if x.deep() {
			r.loads.Hold(x.turn())
		}
		if !wait.For(ctx, rand.N(2*lookAgain)) {
			return plan, verdict
		}
		x.waited = r.now() - began
		x.waitedFor = plan.Reason
		if x.poisonous() {
			// Servers crashed with the same request while this one waited.
			return plan, spread.NoServer
		}
		plan, verdict = x.place(x.holdPatience())
	}
	r.scope.Histogram("held_seconds", buckets.Durations).RecordDuration(x.waited)
	return plan, verdict
}

// holdPatience is how long the request may be held back. An instance that shuts
// down sends at once.
func (x *exchange) holdPatience() time.Duration {
	if x.state.Sent() > 0 || x.relay.members.Leaving() {
		return 0
	}
	return spread.Patience(x.route.FirstTarget, x.time)
}

// joinQueue has other instances know that the request waits, until the function
// that it returns is called.
func (x *exchange) joinQueue() (leave func()) {
	l := x.relay.loads
	if x.deep() {
		return func() { l.Leave(x.req.ID) }
	}
	l.WaitForSlot(1)
	return func() { l.WaitForSlot(-1) }
}

// deep reports whether the request's prompt is deep.
func (x *exchange) deep() bool {
	return x.service.Engine != nil && spread.Deep(x.service.Engine, x.req.PromptTokens, x.answerTokens())
}

// turn is the request's place among the prompts that are held back.
func (x *exchange) turn() spread.Turn {
	return spread.TurnOf(x.service.Engine, x.req.ID, x.req.PromptTokens, x.started, x.route.FirstTarget)
}

// heldBack logs that a request waits and for what.
func (x *exchange) heldBack(plan spread.Plan) {
	x.relay.log.Info("held back", zap.String("request", x.req.ID), zap.Int64("prompt", x.req.PromptTokens),
		zap.Stringer("waits_for", plan.Reason), zap.Duration("backlog", plan.Backlog), zap.Int64("held", x.relay.held.Load()), zap.Duration("left", x.left()))
}
