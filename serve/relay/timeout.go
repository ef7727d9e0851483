package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// attemptTimeout is how long an attempt waits for its answer, or for the first event
// of a stream. The last attempt waits as long as the client does: ending it sooner
// could only lose an answer.
func (x *exchange) attemptTimeout(plan spread.Plan) time.Duration {
	if x.state.IsLast() || !x.route.Repeatable() {
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

// watchSilence calls onSilence when nothing comes from the servers of a plan within
// the timeout of the attempt, which is extended while the engines are overloaded, or while no
// other attempt could continue an answer whose beginning was sent.
func (x *exchange) watchSilence(plan spread.Plan, onSilence func()) *time.Timer {
	var t *time.Timer
	// The timer may fire before t is set.
	armed := make(chan struct{})
	t = time.AfterFunc(x.attemptTimeout(plan), func() {
		<-armed
		if x.streamStarted.Load() && !x.canRetry() {
			t.Reset(attempt.ExtendInterval)
			return
		}
		silent := x.relay.now() - time.Duration(x.lastHeard.Load())
		if attempt.ShouldWait(silent, x.overloaded(plan), x.route.FirstEventTarget, x.route.GapTarget) {
			x.relay.log.Info("attempt extended, servers are overloaded", zap.String("request", x.req.ID), zap.String("server", plan.Writer().ID),
				zap.Duration("silent", silent), zap.Duration("recent", x.relay.meanBacklog(x.service.Name)))
			t.Reset(attempt.ExtendInterval)
			return
		}
		onSilence()
	})
	close(armed)
	return t
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
