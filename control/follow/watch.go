package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// Timing of the calls to the store.
const (
	// readTimeout bounds a read of the full state.
	readTimeout = 1500 * time.Millisecond
	// dutyCheckInterval is how often an instance checks its duty to watch while the store fails.
	dutyCheckInterval = 100 * time.Millisecond
	// After a change the next call is delayed to batch further changes, by minBatchDelay
	// and up to maxBatchDelay while they continue: in a rolling restart each server changes
	// its entry several times. A server that leaves may be sent requests for two seconds.
	minBatchDelay, maxBatchDelay = 100 * time.Millisecond, 400 * time.Millisecond
)

// unknownRevision is that of a state that may be stale: whatever position the store gives with it, changes
// before that may be missing. No peer is offered such a state, and any known position is a later one.
const unknownRevision = 0

// positionOf returns the position of a full state as of the answer of the store.
func positionOf(at position.Position, stale bool) position.Position {
	if stale {
		at.Revision = unknownRevision
	}
	return at
}

// source is something in the store that a loop follows.
type source struct {
	id watch.Source
	// held returns the position up to which the local content is the newest, and whether
	// there is any.
	held func() (position.Position, bool)
	// read fetches and applies the full state and returns its position. With staleOK the
	// store may return a state that is seconds old, whose position is unknown.
	read func(ctx context.Context, staleOK bool) (position.Position, error)
	// watch applies the changes after a position and waits for them if there are none.
	watch func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error)
}

// applicable reports whether what a watch returned is to be applied: also changes beside an error, if they are those
// of an answer that could be read in part. Without any, its position says nothing.
func applicable(err error, changes int) bool {
	return err == nil || errors.Is(err, catalog.ErrMalformed) && changes > 0
}

// watcher is the state of the loop that follows one source.
type watcher struct {
	source
	rand *rand.Rand
	// at is the last position at which the store answered this instance.
	at position.Position
	// gap is set if the history after at is gone or cannot be read, and the full state must be read.
	gap, watching bool
	// reads counts the reads of the full state since a watch was last answered, readAt is when the last of
	// them was answered.
	reads  int
	readAt time.Duration
	// current is set once the full state was read that was not stale.
	current bool
	// watched is set if the last call was a watch.
	watched bool
	// answered is set once a watch was answered, so that the local content is no older.
	answered bool
	outage   outage
	// batchDelay is the last delay for further changes, zero after a watch without any.
	batchDelay time.Duration
}

// follow reads the full state once, then watches for changes from there while this
// instance has the duty to watch. After a gap in the history it reads the full state
// again. A watch that failed or timed out is repeated from the same position, over another
// connection. The first watch, and those after a failed one, do not wait for changes, so
// that the store confirms the local content at once.
func (f *Follower) follow(ctx context.Context, s source) {
	w := &watcher{source: s, rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
	for ctx.Err() == nil {
		onDuty := f.hasWatchDuty(w.id)
		f.updateDuty(w, onDuty)
		began := w.at
		called, err := f.step(ctx, w, onDuty)
		switch {
		case err == nil && !called:
		case err == nil:
			f.recordRecovery(w)
			if onDuty {
				w.delayBatch(ctx, began.Before(w.at))
			}
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRecovered):
		case errors.Is(err, catalog.ErrHistoryGone):
			f.log.Info("history of changes is gone, reading the full state again", zap.Stringer("what", s.id), zap.Stringer("at", w.at))
			w.gap = true
		case errors.Is(err, catalog.ErrMalformed) && w.watched:
			w.gap = true
		default:
			f.recordFailure(w, err)
			f.backOff(ctx, w)
		}
	}
}

// delayBatch waits after changes, so that the next call returns more of them.
func (w *watcher) delayBatch(ctx context.Context, changed bool) {
	if !changed {
		w.batchDelay = 0
		return
	}
	w.batchDelay = min(max(minBatchDelay, 2*w.batchDelay), maxBatchDelay)
	wait.For(ctx, w.batchDelay)
}

// step makes the next call to the store, or waits if none is due, and reports whether it
// made one.
func (f *Follower) step(ctx context.Context, w *watcher, onDuty bool) (called bool, err error) {
	held, known := w.held()
	w.at = position.Later(w.at, held)
	switch {
	case !known:
		w.at, err = f.call(ctx, w, readTimeout, func(ctx context.Context) (position.Position, error) { return w.read(ctx, true) })
	case !onDuty:
		wait.For(ctx, f.watchPolicy.CheckAfter(f.members.Standing()))
		return false, nil
	case w.gap || !w.current && held.Revision == unknownRevision:
		if pause := w.pauseBeforeRead(f.now()); pause > 0 {
			wait.For(ctx, pause)
			return false, nil
		}
		w.watched = false
		w.at, err = f.call(ctx, w, readTimeout, func(ctx context.Context) (position.Position, error) { return w.read(ctx, false) })
		w.recordRead(f.now(), err)
		f.recordAnswer(w.id, err)
	default:
		wait, slack := f.Wait.Std(), watchSlack
		if w.outage.failures > 0 || !w.answered {
			wait, slack = probeWait, probeSlack
		}
		w.watched = true
		w.at, err = f.call(ctx, w, wait+slack, func(ctx context.Context) (position.Position, error) { return w.watch(ctx, w.at, wait) })
		w.answered = w.answered || err == nil
		if err == nil {
			w.reads = 0
		}
		f.recordAnswer(w.id, err)
	}
	return true, err
}

// While the answers to watches cannot be read, or the history is gone each time, the full state is read at
// intervals of pollInterval after quickReads reads, with one watch after every readsPerWatch of them.
const (
	pollInterval  = 900 * time.Millisecond
	quickReads    = 2
	readsPerWatch = 5
)

// pauseBeforeRead returns how long to wait before the next read of the full state.
func (w *watcher) pauseBeforeRead(now time.Duration) time.Duration {
	if w.reads < quickReads {
		return 0
	}
	return w.readAt + pollInterval - now
}

// recordRead records the end of a read of the full state.
func (w *watcher) recordRead(now time.Duration, err error) {
	if err != nil {
		w.gap = true
		return
	}
	w.reads++
	w.readAt = now
	w.current = true
	w.gap = w.reads > quickReads && w.reads%readsPerWatch != 0
}

// call makes one call to the store and returns the position of its answer, or the last
// known one if it failed.
func (f *Follower) call(ctx context.Context, w *watcher, timeout time.Duration, fn func(context.Context) (position.Position, error)) (position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	recovered := f.recovery.next()
	defer context.AfterFunc(recovered, cancel)()
	began := f.now()
	at, err := fn(ctx)
	w.outage.lastCall = f.now() - began
	f.handleNewEra()
	switch {
	case err == nil:
		return at, nil
	case recovered.Err() != nil:
		return w.at, errRecovered
	default:
		return w.at, err
	}
}

// hasWatchDuty reports whether this instance should watch a source now. One that has just
// started does not, until it knows which other instances are alive.
func (f *Follower) hasWatchDuty(s watch.Source) bool {
	if !f.members.Settled() {
		return false
	}
	now := f.now()
	st := f.members.Standing()
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := func(name string) bool { return f.confirmations.Failing(now, s, name) }
	return f.watchPolicy.ShouldWatch(st, f.confirmations.Age(now, s, st.PrecededBy), failing) || s == watch.Servers && f.isBehind(now)
}

// updateDuty logs when this instance starts or stops watching, and why.
func (f *Follower) updateDuty(w *watcher, onDuty bool) {
	if w.watching == onDuty {
		return
	}
	w.watching = onDuty
	st := f.members.Standing()
	f.scope.Tagged(map[string]string{"what": w.id.String()}).Gauge("store_watching").Update(map[bool]float64{true: 1}[onDuty])
	if onDuty && !st.Primary() {
		f.scope.Tagged(map[string]string{"what": w.id.String()}).Counter("store_takeovers_total").Inc(1)
	}
	f.log.Info("duty to watch the store changed", zap.Stringer("what", w.id), zap.Bool("watching", onDuty), zap.Int("rank", st.Rank), zap.Int("watchers", st.Watchers),
		zap.Int("instances", len(st.Order)), zap.Duration("age", f.ConfirmationAge()))
}
