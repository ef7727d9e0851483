package peerproxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

const (
	// stallInterval is how long a call hears nothing before its path is doubted,
	// recheckInterval how often it is checked from then on.
	stallInterval   = 200 * time.Millisecond
	recheckInterval = 50 * time.Millisecond
)

// doDirect makes a call on a connection of this instance.
func (p *PeerProxy) doDirect(ctx context.Context, c backend.Call) (backend.Answer, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	w := p.watchStall(c, cancel)
	answer, err := p.direct.Do(callCtx, c)
	if err != nil {
		w.stop()
		if isConnectFailure(err) && callCtx.Err() == nil {
			p.recordConnect(c.Server, err)
		}
		err = markLost(callCtx, err)
		cancel(nil)
		return nil, err
	}
	w.heard()
	return &directAnswer{Answer: answer, watch: w, ctx: callCtx, cancel: cancel}, nil
}

// isConnectFailure reports whether a call was not sent because there was no connection, rather than for what the call
// holds or what the server said.
func isConnectFailure(err error) bool {
	return errors.Is(err, backend.ErrNotSent) && !errors.Is(err, backend.ErrInvalidText) && !errors.Is(err, backend.ErrHeldBack)
}

// markLost marks the error of a call that was ended because its path is lost.
func markLost(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), backend.ErrPathLost) {
		return errors.Mark(err, backend.ErrPathLost)
	}
	return err
}

// directAnswer is an answer on a connection of this instance.
type directAnswer struct {
	backend.Answer
	watch  *stallWatch
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// Read implements backend.Answer.
func (a *directAnswer) Read(b []byte) (int, error) {
	n, err := a.Answer.Read(b)
	if n > 0 {
		a.watch.heard()
	}
	if err != nil {
		a.watch.stop()
		err = markLost(a.ctx, err)
	}
	return n, err
}

// Close implements backend.Answer.
func (a *directAnswer) Close() {
	a.watch.stop()
	a.Answer.Close()
	a.cancel(nil)
}

// stallWatch doubts the path of a call that hears nothing.
type stallWatch struct {
	proxy     *PeerProxy
	call      backend.Call
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	lastHeard atomic.Int64
	// begun is set once anything came, stopped once the call has ended.
	begun, stopped atomic.Bool
}

func (p *PeerProxy) watchStall(c backend.Call, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{proxy: p, call: c, cancel: cancel}
	w.lastHeard.Store(int64(p.now()))
	// The timer may fire before w.timer is set.
	armed := make(chan struct{})
	w.timer = time.AfterFunc(stallInterval, func() {
		<-armed
		w.check()
	})
	close(armed)
	return w
}

func (w *stallWatch) heard() {
	w.begun.Store(true)
	w.lastHeard.Store(int64(w.proxy.now()))
	w.proxy.heard(w.call.Server)
}

func (w *stallWatch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// checkIn sets the time of the next check. The call may have ended during this one.
func (w *stallWatch) checkIn(d time.Duration) {
	w.timer.Reset(d)
	if w.stopped.Load() {
		w.timer.Stop()
	}
}

// check tests the path of a call that hears nothing. A call that may be repeated ends once
// its path is lost: another instance can still have it answered in time.
func (w *stallWatch) check() {
	p, server := w.proxy, w.call.Server
	silent := p.now() - time.Duration(w.lastHeard.Load())
	if silent < stallInterval {
		w.checkIn(stallInterval - silent)
		return
	}
	if w.call.Repeatable && p.judge(server, func(paths *reach.Paths, now time.Duration) bool { return paths.Lost(now, server) }) {
		w.cancel(backend.ErrPathLost)
		return
	}
	if w.begun.Load() && silent >= 2*stallInterval || p.judge(server, (*reach.Paths).NeedsProbe) {
		p.probeStalled(w.call.Endpoint())
	}
	w.checkIn(recheckInterval)
}
