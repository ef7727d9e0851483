package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/eventlog"
)

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
		f.log.Info("store regained", zap.String("what", w.name), zap.Int("failed_calls", o.failures), zap.Duration("after", f.now()-o.began),
			zap.Duration("hung", o.hung), zap.Duration("paused", o.paused), zap.Duration("idle", o.idle), zap.Duration("answered_in", o.call))
	}
	w.outage = outage{}
}
