package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Times of the calls to the store.
const (
	// readTimeout bounds a read of the whole.
	readTimeout = 1500 * time.Millisecond
	// dutyEvery is how often an instance looks whether it is to watch.
	dutyEvery = 100 * time.Millisecond
	// Changes that follow a change are gathered into one call for gatherFor, and longer
	// up to gatherMost as long as they go on. When servers start or are replaced one
	// after the other each changes its entry several times; a server that leaves may be
	// sent requests for two seconds.
	gatherFor, gatherMost = 100 * time.Millisecond, 500 * time.Millisecond
)

// The two things that are followed, as logs and metrics name them.
const (
	whatServers = "servers"
	whatConfig  = "configuration"
)

// source is one of the two, as its loop sees it.
type source struct {
	name string
	// held returns the position up to which the content held is the newest, and whether
	// any is held.
	held func() (position.Position, bool)
	// read takes over the whole and returns its position; what it was some seconds ago
	// will do if staleOK.
	read func(ctx context.Context, staleOK bool) (position.Position, error)
	// watch takes over what changed after a position, or will have changed after a wait.
	watch func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error)
}

// watcher is the state of one source's loop.
type watcher struct {
	source
	rand *rand.Rand
	// at is the last position at which the store answered this instance.
	at position.Position
	// gap tells that the history after it is gone and the whole must be read.
	gap, watching bool
	// answered tells that a watch was answered: what is held is no older than that.
	answered bool
	outage   outage
	// gather is how long the next changes are gathered, zero after a watch without any.
	gather time.Duration
}

// follow reads the whole once, then watches from there as long as that is this
// instance's duty. After a gap in the history it reads the whole again. A watch that
// failed or went silent is asked again from the same revision, over another connection.
// The first watch, and those after a failed one, do not wait for changes: what is held may
// be old, and the store's word is wanted at once.
func (f *Follower) follow(ctx context.Context, s source) {
	w := &watcher{source: s, rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
	for ctx.Err() == nil {
		due := f.due()
		f.noteDuty(w, due)
		began := w.at
		called, err := f.turn(ctx, w, due)
		switch {
		case err == nil && !called:
		case err == nil:
			f.regained(w)
			if due {
				w.pace(ctx, began.Before(w.at))
			}
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRegained):
		case errors.Is(err, catalog.ErrHistoryGone):
			f.log.Info("history of changes is gone, reading the whole again", zap.String("what", s.name), zap.Stringer("at", w.at))
			w.gap = true
		default:
			f.lost(w, err)
			f.pause(ctx, w)
		}
	}
}

// pace waits after changes, so that more of them come with the next call.
func (w *watcher) pace(ctx context.Context, changed bool) {
	if !changed {
		w.gather = 0
		return
	}
	w.gather = min(max(gatherFor, 2*w.gather), gatherMost)
	wait.For(ctx, w.gather)
}

// turn makes the call that is due, or pauses if none is, and reports whether it made one.
func (f *Follower) turn(ctx context.Context, w *watcher, due bool) (called bool, err error) {
	held, known := w.held()
	w.at = position.Later(w.at, held)
	switch {
	case !known:
		w.at, err = f.call(ctx, w, readTimeout, func(ctx context.Context) (position.Position, error) { return w.read(ctx, true) })
	case !due:
		wait.For(ctx, dutyEvery)
		return false, nil
	case w.name == whatConfig && f.storeFailing.Load():
		// While the store fails one of the two loops asks whether it is back.
		w.outage.begin(f.now())
		w.outage.idle += f.untilRegained(ctx, dutyEvery)
		return false, nil
	case w.gap:
		w.at, err = f.call(ctx, w, readTimeout, func(ctx context.Context) (position.Position, error) { return w.read(ctx, false) })
		w.gap = err != nil
		f.heardFromStore(w.name, err)
	default:
		wait, slack := f.Wait.Std(), watchSlack
		if w.outage.failures > 0 || !w.answered {
			wait, slack = probeWait, probeSlack
		}
		w.at, err = f.call(ctx, w, wait+slack, func(ctx context.Context) (position.Position, error) { return w.watch(ctx, w.at, wait) })
		w.answered = w.answered || err == nil
		f.heardFromStore(w.name, err)
	}
	return true, err
}

// call makes one call and returns the position of its answer, or the last one known.
func (f *Follower) call(ctx context.Context, w *watcher, timeout time.Duration, fn func(context.Context) (position.Position, error)) (position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	back := f.recovery.next()
	defer context.AfterFunc(back, cancel)()
	began := f.now()
	at, err := fn(ctx)
	w.outage.call = f.now() - began
	f.noteEra()
	switch {
	case err == nil:
		return at, nil
	case back.Err() != nil:
		return w.at, errRegained
	default:
		return w.at, err
	}
}

// due reports whether this instance watches the store now. One that starts lives on what
// it read first until it knows who else lives.
func (f *Follower) due() bool {
	if !f.members.Settled() {
		return false
	}
	now := f.now()
	st := f.members.Standing()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.policy.ShouldWatch(st, f.news.Age(now, st.PrecededBy))
}

// noteDuty logs when this instance begins or ceases to watch, and why.
func (f *Follower) noteDuty(w *watcher, due bool) {
	if w.watching == due {
		return
	}
	w.watching = due
	st := f.members.Standing()
	f.scope.Tagged(map[string]string{"what": w.name}).Gauge("store_watching").Update(map[bool]float64{true: 1}[due])
	if due && !st.Primary() {
		f.scope.Tagged(map[string]string{"what": w.name}).Counter("store_takeovers_total").Inc(1)
	}
	f.log.Info("duty to watch the store changed", zap.String("what", w.name), zap.Bool("watching", due), zap.Int("rank", st.Rank), zap.Int("watchers", st.Watchers),
		zap.Int("instances", len(st.Order)), zap.Duration("age", f.Age()))
}
