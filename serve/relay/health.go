package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// onTracker runs f with the health of the service's servers.
func (x *exchange) onTracker(f func(*health.Tracker)) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.pool(x.service.Name).tracker)
}

// begin notes that an attempt goes to the servers of a plan; settle ends it.
func (x *exchange) begin(plan spread.Plan) {
	x.judged, x.pace = nil, health.Run{}
	x.onTracker(func(t *health.Tracker) {
		for _, id := range serverIDs(plan) {
			t.Begin(x.relay.now(), id)
		}
	})
}

// fail counts the attempt against servers.
func (x *exchange) fail(ids ...string) {
	x.judge(ids, (*health.Tracker).Failure)
}

// fault counts a failure that a server itself reported.
func (x *exchange) fault(id string) {
	x.judge([]string{id}, (*health.Tracker).Fault)
}

func (x *exchange) judge(ids []string, verdict func(*health.Tracker, time.Duration, string)) {
	x.onTracker(func(t *health.Tracker) {
		for _, id := range ids {
			if slices.Contains(x.judged, id) {
				continue
			}
			x.judged = append(x.judged, id)
			verdict(t, x.relay.now(), id)
		}
	})
}

// settle ends the attempt at the servers that it was not counted against.
func (x *exchange) settle(plan spread.Plan, answered bool) {
	x.onTracker(func(t *health.Tracker) {
		for _, id := range serverIDs(plan) {
			switch {
			case slices.Contains(x.judged, id):
			case answered:
				t.Success(x.relay.now(), id)
			default:
				t.Abandon(id)
			}
		}
	})
}

// observePace judges the pause before the newest event. The engines that write
// answers to long prompts also read for others, so their pauses say nothing; nor
// do any while the engines are overloaded.
func (x *exchange) observePace(plan spread.Plan) {
	if x.route.Kind != route.Stream || x.newestGap == 0 || !spread.Short(x.service.Engine, x.req.PromptTokens) {
		return
	}
	r, id := x.relay, plan.Writer().ID
	expected := spread.Pass(x.service.Engine, r.loads.Of(id))
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(x.service.Name)
	if p.meter.Mean() > busyRecent || !p.pace.Observe(&x.pace, x.newestGap, expected) {
		return
	}
	p.tracker.Slow(r.now(), id)
	r.count("servers_slow_total", "service", x.service.Name)
	r.log.Warn("backend server is slow", zap.String("request", x.req.ID), zap.String("server", id),
		zap.Duration("pause", x.newestGap), zap.Duration("expected", expected))
}
