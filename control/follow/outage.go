package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Timing of the calls that detect the recovery of the store. A call that hangs, the longest
// backoff and the answer together fit into StableAfter, within which changes made during
// the outage must be in force.
const (
	// probeWait is how long the store waits for changes in a watch after a failed call.
	probeWait = 10 * time.Millisecond
	// probeSlack is what such a call may take beyond that. A slow store answers in 250 ms.
	probeSlack = 800 * time.Millisecond
	// Backoff after failed calls, with jitter so that the instances do not all return at
	// once to a store that was down. Servers whose entries expired meanwhile are listed
	// again two seconds after the store is back.
	initialBackoff, maxBackoff = 50 * time.Millisecond, time.Second
	// maxStandbyBackoff is the longest backoff of an instance that watches only in place of
	// others and has content to serve from.
	maxStandbyBackoff = 3 * time.Second
)

// errRecovered is the result of a call that was cancelled because the store answered
// another loop after an outage: the call may have hung since the store was unreachable.
var errRecovered = errors.New("the store answers again")

// recovery notifies the loops that the store answers again.
type recovery struct {
	mu   sync.Mutex
	ctx  context.Context
	done context.CancelFunc
	// at is when the last recovery was announced.
	at time.Duration
}

// next returns a context that ends with the next recovery.
func (r *recovery) next() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil {
		r.ctx, r.done = context.WithCancel(context.Background())
	}
	return r.ctx
}

// announce cancels the contexts returned so far, unless a recovery was announced since the
// outage began: the other loops have made new calls since then.
func (r *recovery) announce(now, began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx != nil && r.at < began {
		r.at = now
		r.done()
		r.ctx = nil
	}
}

// outage is the state of one loop since the store last answered it.
type outage struct {
	// failures counts consecutive failed calls.
	failures int
	// began is when the first of them failed.
	began time.Duration
	// lastCall is how long the last call took.
	lastCall time.Duration
	// hung is the time spent in failed calls, paused the backoff after them.
	hung, paused time.Duration
	// causes counts the failed calls by cause.
	causes map[cause]int
}

// cause is why a call to the store failed.
type cause string

// The causes.
const (
	causeRefused    cause = "refused"
	causeMalformed  cause = "malformed"
	causeOldEra     cause = "old era"
	causeTimeout    cause = "timeout"
	causeConnection cause = "connection"
)

func causeOf(err error) cause {
	switch {
	case errors.Is(err, catalog.ErrRefused):
		return causeRefused
	case errors.Is(err, catalog.ErrMalformed):
		return causeMalformed
	case errors.Is(err, catalog.ErrOldEra):
		return causeOldEra
	case errors.Is(err, context.DeadlineExceeded):
		return causeTimeout
	default:
		return causeConnection
	}
}

// begin records the time if the outage is new.
func (o *outage) begin(now time.Duration) {
	if o.failures == 0 {
		o.began, o.causes = now, map[cause]int{}
	}
}

func (f *Follower) recordFailure(w *watcher, err error) {
	if w.id == watch.Servers {
		f.serversFailing.Store(true)
	}
	why := causeOf(err)
	f.scope.Tagged(map[string]string{"what": w.id.String(), "cause": string(why)}).Counter("store_failures_total").Inc(1)
	w.outage.begin(f.now())
	if w.outage.causes[why] == 0 {
		f.log.Warn("store lost", zap.Stringer("what", w.id), zap.String("cause", string(why)), zap.Stringer("at", w.at), eventlog.Error(err))
	}
	first := w.outage.failures == 0
	w.outage.failures++
	w.outage.causes[why]++
	f.recordFailedCall(w.id)
	if first {
		// Others may watch in place of this instance.
		f.members.GossipNow()
	}
	w.outage.hung += w.outage.lastCall
}

func (f *Follower) recordRecovery(w *watcher) {
	if w.id == watch.Servers {
		f.serversFailing.Store(false)
	}
	if o := w.outage; o.failures > 0 {
		f.recovery.announce(f.now(), o.began)
		f.log.Info("store regained", zap.Stringer("what", w.id), zap.Int("failed_calls", o.failures), zap.Any("causes", o.causes), zap.Duration("after", f.now()-o.began),
			zap.Duration("hung", o.hung), zap.Duration("paused", o.paused), zap.Duration("answered_in", o.lastCall))
	}
	w.outage = outage{}
}

// backOff waits after a failed call, or until the store answers another loop again. If this
// instance becomes a primary watcher meanwhile, the shorter limit of those applies.
func (f *Follower) backOff(ctx context.Context, w *watcher) {
	delay := retry.Backoff(w.rand, initialBackoff, f.backoffLimit(), w.outage.failures)
	recovered := f.recovery.next()
	for began := f.now(); ctx.Err() == nil && recovered.Err() == nil; {
		remaining := min(delay, f.backoffLimit()) - (f.now() - began)
		if remaining <= 0 {
			return
		}
		w.outage.paused += f.awaitRecovery(ctx, min(remaining, dutyCheckInterval))
	}
}

// awaitRecovery waits until the store answers another loop again, at most for limit, and
// returns how long it waited.
func (f *Follower) awaitRecovery(ctx context.Context, limit time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.recovery.next(), cancel)()
	began := f.now()
	wait.For(ctx, limit)
	return f.now() - began
}

// backoffLimit is the longest backoff after failed calls.
func (f *Follower) backoffLimit() time.Duration {
	if f.Ready() && !f.members.Standing().Primary() {
		return maxStandbyBackoff
	}
	return maxBackoff
}
