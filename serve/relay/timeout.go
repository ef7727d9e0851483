package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// attemptTimeout is how long an attempt waits for its answer, or for the first event of a stream,
// before another server is asked as well. After the last attempt none is.
func (x *exchange) attemptTimeout(plan spread.Plan) time.Duration {
	if x.state.Left() == 0 || !x.route.Repeatable() {
		return x.remaining() + deadlineMargin
	}
	if x.route.Kind != route.Stream {
		return time.Duration(wholeAnswerFactor * float64(x.route.FirstEventTarget))
	}
	d := max(minFirstEventTimeout, time.Duration(firstEventFactor*float64(x.route.FirstEventTarget))) + 2*plan.FirstEvent
	if plan.Queued {
		d += slotWaitTimeout
	}
	return d
}

// overloadBacklog is the mean prefill backlog of the last seconds above which silence
// does not indicate a fault.
const overloadBacklog = 100 * time.Millisecond

// watchSilence asks another server when nothing comes from those of an attempt within its timeout,
// which is extended while the engines are overloaded. The attempt goes on meanwhile.
func (x *exchange) watchSilence(ctx context.Context, t *try) {
	t.heardAt.Store(int64(x.relay.now()))
	timeout := x.attemptTimeout(t.plan)
	// The timer may fire before t.silence is set.
	armed := make(chan struct{})
	t.silence = time.AfterFunc(timeout, func() {
		<-armed
		x.checkSilence(ctx, t, timeout)
	})
	close(armed)
}

// checkSilence acts on the silence of an attempt's servers and sets the time of the next check.
func (x *exchange) checkSilence(ctx context.Context, t *try, timeout time.Duration) {
	if x.isOver(t) {
		return
	}
	if x.streamStarted.Load() {
		timeout = x.gapTimeout()
	}
	if left := timeout - (x.relay.now() - time.Duration(t.heardAt.Load())); left > 0 {
		t.silence.Reset(left)
		return
	}
	silent := x.relay.now() - time.Duration(x.lastHeard.Load())
	if attempt.ShouldWait(silent, x.overloaded(t.plan), x.route.FirstEventTarget, x.route.GapTarget) {
		x.relay.log.Info("attempt extended, servers are overloaded", zap.String("request", x.req.ID), zap.String("server", t.plan.Writer().ID),
			zap.Duration("silent", silent), zap.Duration("recent", x.relay.meanBacklog(x.service.Name)))
	} else {
		x.tryStandby(ctx, t)
		x.endIfDead(t, timeout)
	}
	t.silence.Reset(attempt.ExtendInterval)
}

// maxSoundSilence is how long sound servers fall silent at most.
const maxSoundSilence = 2 * time.Second

// endIfDead ends an attempt of which the client has nothing yet once its server was silent for
// longer than a sound one, so that the client can repeat the request itself.
func (x *exchange) endIfDead(t *try, timeout time.Duration) {
	if x.streamStarted.Load() || !x.route.Repeatable() || x.state.Left() == 0 {
		return
	}
	if x.relay.now()-time.Duration(t.heardAt.Load()) > timeout+maxSoundSilence {
		t.cancel(errSilent)
	}
}

// canRetry reports whether another attempt would be allowed now. State.Next takes the retry once
// the attempt has ended.
func (x *exchange) canRetry() bool {
	return x.remaining() > minRetryTime && x.relay.allowsRetry(x.service.Name)
}

// overloaded reports whether the servers of a plan have more work than they can run at
// once, so that a late answer does not indicate a fault.
func (x *exchange) overloaded(plan spread.Plan) bool {
	if x.service.Engine == nil {
		return false
	}
	if x.relay.meanBacklog(x.service.Name) > overloadBacklog {
		return true
	}
	return x.relay.loads.Total(plan.Writer().ID).Calls > int64(x.service.Engine.Slots)
}
