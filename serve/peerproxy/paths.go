package peerproxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

const (
	// stallInterval is how long a call hears nothing before its path is doubted,
	// recheckInterval how often it is checked from then on.
	stallInterval   = 200 * time.Millisecond
	recheckInterval = 50 * time.Millisecond
	// probeTimeout bounds an attempt to connect that only tests a path. A round trip between
	// data centres takes 3 ms.
	probeTimeout = 100 * time.Millisecond
)

// servicePaths are the paths to the servers of one service: a partition may separate an
// instance from one service only.
type servicePaths struct {
	paths *reach.Paths
	// isolated is the last state that was logged.
	isolated bool
}

// pathsTo returns the paths to the service of a server; p.mu must be held.
func (p *PeerProxy) pathsTo(server string) (service string, s *servicePaths) {
	if list := p.catalog.Servers(); list != nil {
		if listed, ok := list.Get(server); ok {
			service = listed.Service
		}
	}
	if s = p.services[service]; s == nil {
		s = &servicePaths{paths: reach.NewPaths()}
		p.services[service] = s
	}
	return service, s
}

// judge calls f with the paths to the service of a server.
func (p *PeerProxy) judge(server string, f func(paths *reach.Paths, now time.Duration) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, s := p.pathsTo(server)
	return f(s.paths, p.now())
}

// prefersDirect reports whether to call a server on a connection of this instance.
func (p *PeerProxy) prefersDirect(server string) bool {
	return p.judge(server, func(paths *reach.Paths, now time.Duration) bool { return paths.Direct(now, server) })
}

// isIsolated reports whether this instance seems to be partitioned from the service of a
// server.
func (p *PeerProxy) isIsolated(server string) bool {
	return p.judge(server, (*reach.Paths).Isolated)
}

// heard records data from a backend server.
func (p *PeerProxy) heard(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, s := p.pathsTo(server)
	s.paths.Heard(p.now())
}

// recordConnect records the result of an attempt to connect and logs when this instance
// becomes isolated from a service or stops being so.
func (p *PeerProxy) recordConnect(server string, err error) {
	p.mu.Lock()
	now := p.now()
	service, s := p.pathsTo(server)
	if err == nil {
		s.paths.Connected(now, server)
	} else {
		s.paths.ConnectFailed(now, server)
	}
	isolated := s.paths.Isolated(now)
	changed := isolated != s.isolated
	s.isolated = isolated
	p.mu.Unlock()
	switch {
	case changed && isolated:
		p.scope.Counter("isolations_total").Inc(1)
		p.log.Warn("no path to backend servers", zap.String("service", service), zap.String("server", server))
	case changed:
		p.log.Info("path to backend servers regained", zap.String("service", service), zap.String("server", server))
	}
}

// recordReached records that another instance reaches a server.
func (p *PeerProxy) recordReached(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, s := p.pathsTo(server)
	s.paths.ReachedByOther(p.now(), server)
}

// connect opens a connection that is kept for the next call. The context must not end with
// the request that needs it: a cancelled attempt says nothing about the path.
func (p *PeerProxy) connect(ctx context.Context, to backend.Endpoint) error {
	err := p.direct.Connect(ctx, to)
	p.recordConnect(to.Server, err)
	return err
}

// probe tests the path to a server in the background, at a bounded rate.
func (p *PeerProxy) probe(to backend.Endpoint) {
	p.startProbe(to, func(error) {})
}

// probeStalled tests the path to a server from which a call hears nothing. If it fails,
// another instance is asked: it tells a lost path from a server that fell silent.
func (p *PeerProxy) probeStalled(to backend.Endpoint) {
	p.startProbe(to, func(err error) {
		if err != nil {
			p.reachedByOther(context.Background(), to)
		}
	})
}

func (p *PeerProxy) startProbe(to backend.Endpoint, then func(error)) {
	due := p.judge(to.Server, func(paths *reach.Paths, now time.Duration) bool { return paths.StartProbe(now, to.Server) })
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		then(p.connect(ctx, to))
	}()
}

// doDirect makes a call on a connection of this instance.
func (p *PeerProxy) doDirect(ctx context.Context, c backend.Call) (backend.Answer, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	w := p.watchStall(c, cancel)
	answer, err := p.direct.Do(callCtx, c)
	if err != nil {
		w.stop()
		if errors.Is(err, backend.ErrNotSent) && callCtx.Err() == nil {
			p.recordConnect(c.Server, err)
		}
		err = markLost(callCtx, err)
		cancel(nil)
		return nil, err
	}
	w.heard()
	return &directAnswer{Answer: answer, watch: w, ctx: callCtx, cancel: cancel}, nil
}

// markLost marks the error of a call that was ended because its path is lost.
func markLost(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), backend.ErrPathLost) {
		return errors.Mark(err, backend.ErrPathLost)
	}
	return err
}

// stallWatch doubts the path of a call that hears nothing.
type stallWatch struct {
	proxy     *PeerProxy
	call      backend.Call
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	lastHeard atomic.Int64
	// begun is set once anything came.
	begun atomic.Bool
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

func (w *stallWatch) stop() { w.timer.Stop() }

// check tests the path of a call that hears nothing. A call that may be repeated ends once
// its path is lost: another instance can still have it answered in time.
func (w *stallWatch) check() {
	p, server := w.proxy, w.call.Server
	silent := p.now() - time.Duration(w.lastHeard.Load())
	if silent < stallInterval {
		w.timer.Reset(stallInterval - silent)
		return
	}
	if w.call.Repeatable && p.judge(server, func(paths *reach.Paths, now time.Duration) bool { return paths.Lost(now, server) }) {
		w.cancel(backend.ErrPathLost)
		return
	}
	if w.begun.Load() && silent >= 2*stallInterval || p.judge(server, (*reach.Paths).InDoubt) {
		p.probeStalled(w.call.Endpoint())
	}
	w.timer.Reset(recheckInterval)
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
