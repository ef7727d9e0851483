package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// patience is how long an attempt waits for its answer, or for the first event
// of a stream. Only the last attempt waits as long as the client does: ending it
// sooner could lose an answer and cannot gain one.
func (x *exchange) patience(plan spread.Plan) time.Duration {
	if x.state.Last() || !x.route.Repeatable() {
		return x.left() + beyondDeadline
	}
	if x.route.Kind != route.Stream {
		return time.Duration(answerPatience * float64(x.route.FirstTarget))
	}
	d := max(firstPatience, time.Duration(firstFactor*float64(x.route.FirstTarget))) + 2*plan.FirstEvent
	if plan.Waiting {
		d += waitingPatience
	}
	return d
}

// busyRecent is the mean reading before the engines over the last seconds above
// which silence is no sign of a fault.
const busyRecent = 100 * time.Millisecond

// watchSilence calls lost when nothing comes from the servers of a plan for as
// long as the attempt is given, or longer while the engines are overloaded.
func (x *exchange) watchSilence(plan spread.Plan, lost func()) *time.Timer {
	var t *time.Timer
	// The timer may fire before t is set.
	armed := make(chan struct{})
	t = time.AfterFunc(x.patience(plan), func() {
		<-armed
		silent := x.relay.now() - time.Duration(x.heard.Load())
		if attempt.WaitOn(silent, x.busy(plan), x.route.FirstTarget, x.route.GapTarget) {
			x.relay.log.Info("attempt goes on beside busy servers", zap.String("request", x.req.ID), zap.String("server", plan.Writer().ID),
				zap.Duration("silent", silent), zap.Duration("recent", x.relay.recentOf(x.service.Name)))
			t.Reset(attempt.ExtendBy)
			return
		}
		lost()
	})
	close(armed)
	return t
}

// busy reports whether the servers of a plan have more to do than they can do
// at once, so that an answer that is late says nothing of their health.
func (x *exchange) busy(plan spread.Plan) bool {
	if x.service.Engine == nil {
		return false
	}
	if x.relay.recentOf(x.service.Name) > busyRecent {
		return true
	}
	return x.relay.loads.Of(plan.Writer().ID).Calls > int64(x.service.Engine.Slots)
}
