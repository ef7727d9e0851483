package relay

import (
	"context"
	"slices"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// crashes tells servers that ended from connections that broke. Both break the
// attempts in progress; only a server that ended refuses new connections.
type crashes struct {
	refuses func(ctx context.Context, addr string) bool
	count   tally.Counter
	asked   singleflight.Group
}

// confirm reports whether a server, an attempt at which just broke, has ended. All
// attempts that break with one server ask once.
func (c *crashes) confirm(s backends.Server) bool {
	ended, _, _ := c.asked.Do(s.ID, func() (any, error) {
		ended := c.refuses(context.Background(), s.Addr)
		if ended {
			c.count.Inc(1)
		}
		return ended, nil
	})
	return ended.(bool)
}

// identity is worked out once and only if it is needed.
func (x *exchange) identity() poison.Key {
	if x.key == nil {
		k := x.req.key(x.customer)
		x.key = &k
	}
	return *x.key
}

// admit ends a request that is known to crash the servers that run it, before another
// one is lost with it and with all that it runs. One that may be the cause of a crash
// that just happened waits until others can have told what they saw.
func (x *exchange) admit(ctx context.Context) bool {
	q := x.relay.quarantine
	for !q.Empty() {
		ruling := q.Judge(x.identity(), x.relay.ready(x.service.Name))
		x.suspect = ruling.Verdict == poison.Suspect
		if ruling.Verdict == poison.Poisonous {
			x.relay.log.Warn("request is not run, servers crashed with it", zap.String("request", x.req.ID), zap.Stringer("identity", x.identity()),
				zap.Int("crashes", ruling.Crashes), zap.Duration("retry_after", ruling.RetryAfter))
			x.end(result.New(result.Quarantined, "%d servers that ran this request crashed, one after the other", ruling.Crashes).After(ruling.RetryAfter))
			return false
		}
		if ruling.Wait == 0 {
			return true
		}
		if !wait.For(ctx, ruling.Wait) {
			x.timeUp(ctx, backend.ErrNotSent)
			return false
		}
	}
	return true
}

// poisonous reports whether the request is known to crash servers by now.
func (x *exchange) poisonous() bool {
	q := x.relay.quarantine
	return !q.Empty() && q.Judge(x.identity(), x.relay.ready(x.service.Name)).Verdict == poison.Poisonous
}

// investigate notes that the server of a failed attempt ended while it ran the request. A
// server that leaves ends as well, with whatever it still runs; that is no sign against
// it.
func (x *exchange) investigate(plan spread.Plan, o attempt.Outcome) {
	x.crashed = false
	if o != attempt.Broken {
		return
	}
	ended := x.relay.now()
	s, listed := x.relay.catalog.Servers().Get(plan.Writer().ID)
	if !listed || s.Leaving || !x.relay.crashes.confirm(plan.Writer()) {
		return
	}
	x.crashed, x.anyCrash = true, true
	c := poison.Crash{Server: poison.ServerHash(s.ID), Began: x.sent, Ended: ended}
	x.relay.quarantine.Crashed(x.identity(), c, s.ID, x.relay.ready(x.service.Name))
}

// ready counts the servers of a service that may get requests.
func (r *Relay) ready(service string) int { return len(r.catalog.Servers().Ready(service)) }

// apart leaves a suspect only the servers with the fewest requests: should it be the
// cause, few others go down with it, and what happens tells more. Prompts that need several
// engines have no choice.
func (x *exchange) apart(servers []backends.Server, load func(string) spread.Load) []backends.Server {
	if !x.suspect || x.deep() || len(servers) == 0 {
		return servers
	}
	fewest := load(servers[0].ID).Calls
	for _, s := range servers {
		fewest = min(fewest, load(s.ID).Calls)
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return load(s.ID).Calls > fewest })
}

// closeCase notes how the request ended.
func (x *exchange) closeCase() {
	q := x.relay.quarantine
	switch {
	case x.answered && !q.Empty():
		q.Answered(x.identity())
	case x.anyCrash:
		q.Failed(x.identity())
	}
}
