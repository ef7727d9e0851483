// Package serviceserver stands in for a plain service. It counts the requests it
// runs, so that a test can tell a repeated run from a repeated answer.
package serviceserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// Counter counts the runs of a service over all its backend servers.
type Counter struct{ n atomic.Uint64 }

// Runs returns the number of runs.
func (c *Counter) Runs() uint64 { return c.n.Load() }

// Server is one backend server of a service.
type Server struct {
	name    string
	addr    string
	counter *Counter
	http    *http.Server

	mu    sync.Mutex
	delay time.Duration
}

// New returns a stopped server of the service named name.
func New(addr, name string, counter *Counter) *Server {
	return &Server{name: name, addr: addr, counter: counter}
}

// Answer is the body of every answer.
type Answer struct {
	Service string `json:"service"`
	Run     uint64 `json:"run"`
	Key     string `json:"key"`
}

// Start listens.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "service %s", s.name)
	}
	s.addr = lis.Addr().String()
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", s.call)
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the server at once.
func (s *Server) Close() { _ = s.http.Close() }

// SetDelay makes every call take at least d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *Server) call(c echo.Context) error {
	run := s.counter.n.Add(1)
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	time.Sleep(d)
	return c.JSON(http.StatusOK, Answer{Service: s.name, Run: run, Key: c.Request().Header.Get("Idempotency-Key")})
}
