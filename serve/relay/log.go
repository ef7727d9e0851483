package relay

import (
	"slices"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/buckets"
)

// logAnswered records an answer that was sent to the client.
func (x *exchange) logAnswered(plan spread.Plan) {
	x.relay.count("answers_total", "kind", x.route.Kind.String())
	x.relay.scope.Tagged(map[string]string{"kind": x.route.Kind.String()}).Histogram("first_seconds", buckets.Durations).RecordDuration(x.firstLatency)
	x.log("answered", zap.String("server", plan.Writer().ID), zap.Int("helpers", len(plan.Helpers())),
		zap.Duration("predicted", plan.FirstEvent), zap.Duration("first", x.firstLatency), zap.Duration("longest_gap", x.longestGap), zap.Bool("waiting", plan.Queued),
		zap.Duration("first_target", x.route.FirstEventTarget), zap.Duration("gap_target", x.route.GapTarget),
		zap.Duration("gap_read", x.gapLoad.UnconfirmedPrefill), zap.Duration("gap_pass", spread.PassTime(x.service.Engine, x.gapLoad)))
}

// logPlaced logs the servers of an attempt and what the choice was based on.
func (x *exchange) logPlaced(plan spread.Plan) {
	snap := x.relay.catalog.Servers()
	x.relay.log.Info("placed", zap.String("request", x.req.ID), zap.String("route", x.route.Name), zap.Uint64("version", x.version),
		zap.String("customer", x.customer), zap.Int64("prompt", x.req.PromptTokens), zap.String("server", plan.Writer().ID),
		zap.Strings("helpers", serverIDs(plan)[1:]), zap.Duration("predicted", plan.FirstEvent), zap.Bool("waiting", plan.Queued),
		zap.Duration("held", x.heldFor), zap.Stringer("servers_at", snap.At), zap.Duration("servers_age", x.relay.catalog.ConfirmationAge()), zap.Duration("left", x.remaining()))
}

func (x *exchange) log(msg string, fields ...zap.Field) { x.relay.log.Info(msg, x.fields(fields)...) }

func (x *exchange) warn(msg string, fields ...zap.Field) { x.relay.log.Warn(msg, x.fields(fields)...) }

// fields returns the fields of a log line on the end of a request, and extra ones.
func (x *exchange) fields(extra []zap.Field) []zap.Field {
	return slices.Concat([]zap.Field{
		zap.String("request", x.req.ID), zap.String("route", x.route.Name), zap.Uint64("version", x.version), zap.Int64("prompt", x.req.PromptTokens),
		zap.Int("attempts", x.state.Sent()+1), zap.Duration("took", x.relay.now()-x.started),
	}, extra)
}

// logFailed records an attempt that ended without an answer, and what follows it.
func (x *exchange) logFailed(t *try, o attempt.Outcome, next attempt.Action, err error) {
	x.relay.count("attempts_failed_total", "outcome", o.String())
	x.relay.log.Warn("attempt failed", zap.String("request", x.req.ID), zap.String("server", t.plan.Writer().ID), zap.Int("helpers", len(t.plan.Helpers())),
		zap.Stringer("identity", x.identity()), zap.Strings("parts", x.req.SharedParts), zap.Bool("crashed", t.crashed),
		zap.Duration("writing", t.writingTime()),
		zap.Stringer("outcome", o), zap.Stringer("next", next), zap.Int("sent", x.state.Sent()), zap.Duration("left", x.remaining()),
		zap.Duration("servers_age", x.relay.catalog.ConfirmationAge()), eventlog.Error(err))
}
