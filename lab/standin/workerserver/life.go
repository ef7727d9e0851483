package workerserver

import (
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// life is what ends at a crash.
type life struct {
	http     *http.Server
	listener net.Listener
}

// end closes the connections at once.
func (l *life) end() {
	// The HTTP server does not know its listener before it begins to serve.
	_ = l.listener.Close()
	_ = l.http.Close()
}

// errClosed is returned by Start after Close.
var errClosed = errors.New("backend server: closed")

// Start listens.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	lis, err := net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return errors.Wrap(err, "backend server")
	}
	s.cfg.Addr = lis.Addr().String()
	l := &life{listener: lis, http: &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}}
	s.life = l
	go func() { _ = l.http.Serve(silentListener{lis, &s.silences}) }()
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Addr
}

// Close stops the server at once; a pending restart is cancelled.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.life != nil {
		s.life.end()
	}
}

// crash stops the server with all requests it runs and restarts it after RestartAfter. Of several
// requests that crash it at once the first does.
func (s *Server) crash(r *http.Request) {
	l := s.recordCrash(r)
	if l == nil {
		return
	}
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
	s.restart(l)
}

// End ends the server with all requests it runs, whatever they are, and restarts it after RestartAfter.
func (s *Server) End() {
	s.mu.Lock()
	l := s.life
	s.life = nil
	s.mu.Unlock()
	if l != nil {
		s.restart(l)
	}
}

// restart ends a life and begins the next one after RestartAfter.
func (s *Server) restart(l *life) {
	l.end()
	time.AfterFunc(s.cfg.RestartAfter, func() {
		if s.Start() == nil && s.cfg.OnRestart != nil {
			s.cfg.OnRestart()
		}
	})
}

// recordCrash returns the life in which a request runs, nil if it has crashed before.
func (s *Server) recordCrash(r *http.Request) *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life
	if l == nil || l.http != r.Context().Value(http.ServerContextKey) {
		return nil
	}
	s.life = nil
	s.crashed = append(s.crashed, time.Now())
	return l
}

// Crashes counts the crashes of the server.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashed)
}

// CrashTimes returns the times of these crashes.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashed)
}
