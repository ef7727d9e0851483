package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// withTracker runs f with the health tracker of the service's servers.
func (x *exchange) withTracker(f func(*health.Tracker)) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.pool(x.service.Name).tracker)
}

// beginTracking starts an attempt in the tracker for all servers of a plan.
func (x *exchange) beginTracking(t *try) {
	x.withTracker(func(tracker *health.Tracker) {
		for _, id := range serverIDs(t.plan) {
			tracker.Begin(x.relay.now(), id)
		}
	})
}

// recordFailure counts a failed attempt against servers.
func (x *exchange) recordFailure(t *try, ids ...string) {
	x.recordOnce(t, ids, (*health.Tracker).Failure)
}

// recordFault counts a failure that a server itself reported.
func (x *exchange) recordFault(t *try, id string) {
	x.recordOnce(t, []string{id}, (*health.Tracker).ReportedFailure)
}

// recordOnce calls record for each server that has none in an attempt.
func (x *exchange) recordOnce(t *try, ids []string, record func(*health.Tracker, time.Duration, string)) {
	x.withTracker(func(tracker *health.Tracker) {
		for _, id := range ids {
			if slices.Contains(t.recorded, id) {
				continue
			}
			t.recorded = append(t.recorded, id)
			record(tracker, x.relay.now(), id)
		}
	})
}

// endTracking ends the attempt at the servers without a recorded failure.
func (x *exchange) endTracking(t *try, answered bool) {
	x.withTracker(func(tracker *health.Tracker) {
		for _, id := range serverIDs(t.plan) {
			switch {
			case slices.Contains(t.recorded, id):
			case answered:
				tracker.Success(x.relay.now(), id)
			default:
				tracker.Abandon(id)
			}
		}
	})
}

// observePace checks the newest pause between events and ejects the server if it is
// slow. Pauses in answers to long prompts don't count, as their engines also prefill
// for others, nor do any while the engines are overloaded.
func (x *exchange) observePace(t *try) {
	if x.route.Kind != route.Stream || x.newestGap == 0 || !spread.Short(x.service.Engine, x.req.PromptTokens) {
		return
	}
	r, id := x.relay, t.plan.Writer().ID
	expected := spread.PassTime(x.service.Engine, r.loads.Total(id))
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(x.service.Name)
	if p.meter.Mean() > overloadBacklog || !p.slowDetector.Observe(&t.gapWindow, x.newestGap, expected) {
		return
	}
	p.tracker.EjectSlow(r.now(), id)
	r.count("servers_slow_total", "service", x.service.Name)
	r.log.Warn("backend server is slow", zap.String("request", x.req.ID), zap.String("server", id),
		zap.Duration("pause", x.newestGap), zap.Duration("expected", expected))
}
