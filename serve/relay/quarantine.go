package relay

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// examiner finds out why attempts broke. Those that broke at one server at once share an
// examination.
type examiner struct {
	examine func(ctx context.Context, to backend.Endpoint) backend.Condition
	crashes tally.Counter
	shared  singleflight.Group
}

func (e *examiner) condition(s backends.Server) backend.Condition {
	c, _, _ := e.shared.Do(s.ID, func() (any, error) {
		c := e.examine(context.Background(), backend.Endpoint{Server: s.ID, Life: s.Life, Addr: s.Addr})
		if c == backend.ServerEnded {
			e.crashes.Inc(1)
		}
		return c, nil
	})
	return c.(backend.Condition)
}

// examine returns the condition of the server of an attempt that broke with an error. A
// server that is leaving ends with whatever it still runs.
func (x *exchange) examine(s backends.Server, err error) backend.Condition {
	if errors.Is(err, backend.ErrPathLost) {
		return backend.PathLost
	}
	listed, ok := x.relay.catalog.Servers().Get(s.ID)
	if !ok || listed.Leaving {
		return backend.ConditionUnknown
	}
	return x.relay.examiner.condition(s)
}

// identity returns the request's key in the quarantine, computed on first use.
func (x *exchange) identity() poison.Key {
	if x.key == nil {
		k := x.req.key(x.customer)
		x.key = &k
	}
	return *x.key
}

// checkQuarantine reports whether the request may be sent. A request that is known to
// crash servers is refused before it takes down another one. A suspect of a recent
// crash first waits for the reports of other instances.
func (x *exchange) checkQuarantine(ctx context.Context) bool {
	q := x.relay.quarantine
	for !q.Empty() {
		ruling := q.Assess(x.identity(), x.relay.readyCount(x.service.Name))
		x.suspect = ruling.Verdict == poison.Suspect
		if ruling.Verdict == poison.Poisonous {
			x.relay.log.Warn("request quarantined, servers crashed while running it", zap.String("request", x.req.ID), zap.Stringer("identity", x.identity()),
				zap.Int("crashes", ruling.Crashes), zap.Duration("retry_after", ruling.RetryAfter))
			x.endWithError(result.New(result.Quarantined, "%d servers that ran this request crashed, one after the other", ruling.Crashes).WithRetryAfter(ruling.RetryAfter))
			return false
		}
		if ruling.Wait == 0 {
			return true
		}
		if !wait.For(ctx, ruling.Wait) {
			x.endInterrupted(ctx, backend.ErrNotSent)
			return false
		}
	}
	return true
}

// quarantined reports whether the request is by now known to crash servers.
func (x *exchange) quarantined() bool {
	q := x.relay.quarantine
	return !q.Empty() && q.Assess(x.identity(), x.relay.readyCount(x.service.Name)).Verdict == poison.Poisonous
}

// recordCrash reports to the quarantine that the server of a broken attempt crashed while it
// ran the request.
func (x *exchange) recordCrash(plan spread.Plan) {
	x.crashed = x.condition == backend.ServerEnded
	if !x.crashed {
		return
	}
	x.anyCrash = true
	id := plan.Writer().ID
	c := poison.Crash{Server: poison.ServerHash(id), Began: x.sentAt, Ended: x.brokeAt}
	x.relay.quarantine.RecordCrash(x.identity(), c, id, x.relay.readyCount(x.service.Name))
}

// readyCount counts the servers of a service that may get requests.
func (r *Relay) readyCount(service string) int { return len(r.catalog.Servers().Ready(service)) }

// isolateSuspect restricts a suspect request to the servers with the fewest calls: if
// it crashes one, few other requests are lost and the evidence is clearer. Deep prompts
// are exempt, as they may need several engines.
func (x *exchange) isolateSuspect(servers []backends.Server, load func(string) spread.Load) []backends.Server {
	if !x.suspect || x.isDeep() || len(servers) == 0 {
		return servers
	}
	minCalls := load(servers[0].ID).Calls
	for _, s := range servers {
		minCalls = min(minCalls, load(s.ID).Calls)
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return load(s.ID).Calls > minCalls })
}

// reportToQuarantine reports how the request ended.
func (x *exchange) reportToQuarantine() {
	q := x.relay.quarantine
	switch {
	case x.answered && !q.Empty():
		q.RecordAnswer(x.identity())
	case x.anyCrash:
		q.RecordFailure(x.identity())
	}
}
