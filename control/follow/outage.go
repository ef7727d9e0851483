package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
)

// Times of the calls by which an instance learns that the store is back. A call that
// hangs, the longest pause and the answer fit into StableAfter, by the end of which what
// changed meanwhile must be in force.
const (
	// probeWait is how long the store waits for a change before it answers a call after a
	// failed one.
	probeWait = 10 * time.Millisecond
	// probeSlack is what such a call may take beyond that; a store that is slow answers in
	// 250 ms.
	probeSlack = 800 * time.Millisecond
	// Pauses after a failed call; drawn, so that the instances do not return to
	// a store that was down all at once. Servers whose entries lapsed meanwhile are
	// back two seconds after the store.
	firstPause, longestPause = 50 * time.Millisecond, time.Second
	// othersPause is the longest pause of an instance that others tell what it needs.
	othersPause = 3 * time.Second
)

// errRegained ends a call because another one, begun later, was answered: the call may
// have hung since the store was away.
var errRegained = errors.New("the store answers again")

// recovery tells the loops that the store answers again.
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

// announce ends the contexts given out so far, unless a recovery was announced since the
// outage began: the other loop has called again since then.
func (r *recovery) announce(now, began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx != nil && r.at < began {
		r.at = now
		r.done()
		r.ctx = nil
	}
}

// outage is what one loop went through since the store last answered it.
type outage struct {
	// failures counts the calls that failed one after the other.
	failures int
	// began is when the first of them failed, or when the loop first waited for the other.
	began time.Duration
	// call is how long the last call took.
	call time.Duration
	// hung is the time spent in failed calls, paused that after them, and idle that without
	// a call because the other loop's calls failed.
	hung, paused, idle time.Duration
}

// begin notes when the outage began, if it is new.
func (o *outage) begin(now time.Duration) {
	if o.failures == 0 && o.idle == 0 {
		o.began = now
	}
}

func (f *Follower) lost(w *watcher, err error) {
	if w.name == whatServers {
		f.storeFailing.Store(true)
	}
	f.scope.Tagged(map[string]string{"what": w.name}).Counter("store_failures_total").Inc(1)
	w.outage.begin(f.now())
	if w.outage.failures == 0 {
		f.log.Warn("store lost", zap.String("what", w.name), eventlog.Error(err))
	}
	w.outage.failures++
	w.outage.hung += w.outage.call
}

func (f *Follower) regained(w *watcher) {
	if w.name == whatServers {
		f.storeFailing.Store(false)
	}
	if o := w.outage; o.failures > 0 || o.idle > 0 {
		f.recovery.announce(f.now(), o.began)
		f.log.Info("store regained", zap.String("what", w.name), zap.Int("failed_calls", o.failures), zap.Duration("after", f.now()-o.began),
			zap.Duration("hung", o.hung), zap.Duration("paused", o.paused), zap.Duration("idle", o.idle), zap.Duration("answered_in", o.call))
	}
	w.outage = outage{}
}

// pause waits after a failed call, until the store answers the other loop if it does so
// before. An instance that comes to watch as long as it lives meanwhile waits no longer
// than such instances do.
func (f *Follower) pause(ctx context.Context, w *watcher) {
	drawn := retry.Backoff(w.rand, firstPause, f.longestPause(), w.outage.failures)
	back := f.recovery.next()
	for began := f.now(); ctx.Err() == nil && back.Err() == nil; {
		left := min(drawn, f.longestPause()) - (f.now() - began)
		if left <= 0 {
			return
		}
		w.outage.paused += f.untilRegained(ctx, min(left, dutyEvery))
	}
}

// untilRegained waits until the store answers the other loop, for a time at most, and
// returns how long it waited.
func (f *Follower) untilRegained(ctx context.Context, most time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.recovery.next(), cancel)()
	began := f.now()
	wait.For(ctx, most)
	return f.now() - began
}

// longestPause is the longest pause after failed calls.
func (f *Follower) longestPause() time.Duration {
	if f.Ready() && !f.members.Standing().Primary() {
		return othersPause
	}
	return longestPause
}
