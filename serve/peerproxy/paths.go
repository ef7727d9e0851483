package peerproxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// probeTimeout bounds an attempt to connect that only tests a path. A round trip between data
// centres takes 3 ms.
const probeTimeout = 100 * time.Millisecond

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

// justFailed reports whether this instance could not connect to a server a moment ago.
func (p *PeerProxy) justFailed(server string) bool {
	return p.judge(server, func(paths *reach.Paths, now time.Duration) bool { return paths.JustFailed(now, server) })
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
