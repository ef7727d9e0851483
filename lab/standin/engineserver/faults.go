package engineserver

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// FaultKind is a kind of fault that can be injected.
type FaultKind string

// The faults.
const (
	// Die closes every connection and loses all state.
	Die FaultKind = "die"
	// Hang stops all steps but keeps the connections open.
	Hang FaultKind = "hang"
	// Slow multiplies step times by Factor.
	Slow FaultKind = "slow"
	// Late delays the next Times chunks by Factor milliseconds.
	Late FaultKind = "late"
	// Crossed gives the next Times chunks the ID of another stream.
	Crossed FaultKind = "crossed"
	// Drop cuts the connection of the next Times streams at chunk dropAfter.
	Drop FaultKind = "drop"
)

// Fault turns a fault on or off.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	On     bool      `json:"on"`
	Factor float64   `json:"factor"`
	Times  int       `json:"times"`
}

type faults struct {
	dead      bool
	late      time.Duration
	lateTimes int
	crossed   int
	drop      int
}

// dropAfter is the chunk at which a dropped stream is cut.
const dropAfter = 3

func (s *Server) setFault(c echo.Context) error {
	var f Fault
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.Inject(f)
	return c.NoContent(http.StatusOK)
}

// Inject applies a fault.
func (s *Server) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeLoop()
	switch f.Kind {
	case Die:
		s.setDead(f.On)
	case Hang:
		s.core.Hang(s.now(), f.On)
	case Slow:
		s.core.Slow(f.Factor)
	case Late:
		s.faults.late, s.faults.lateTimes = time.Duration(f.Factor*float64(time.Millisecond)), f.Times
	case Crossed:
		s.faults.crossed = f.Times
	case Drop:
		s.faults.drop = f.Times
	}
}

func (s *Server) setDead(on bool) {
	s.faults.dead = on
	if !on {
		return
	}
	s.core = enginecore.New(s.cfg)
	for id, st := range s.streams {
		st.ended = true
		close(st.changed)
		st.changed = make(chan struct{})
		delete(s.streams, id)
	}
}

// closeIfDead closes every connection while the Die fault is on; only the fault
// endpoint stays reachable.
func (s *Server) closeIfDead(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		dead := s.faults.dead
		s.mu.Unlock()
		if !dead || c.Path() == "/v1/faults" {
			return next(c)
		}
		conn, _, err := c.Response().Hijack()
		if err != nil {
			return errors.Wrap(err, "closing connection under fault die")
		}
		return conn.Close()
	}
}

// applyChunkFaults applies the chunk faults and reports whether to cut the connection.
func (s *Server) applyChunkFaults(ch *engine.Chunk) (cut bool) {
	s.mu.Lock()
	late := time.Duration(0)
	if s.faults.lateTimes > 0 {
		s.faults.lateTimes--
		late = s.faults.late
	}
	if s.faults.crossed > 0 {
		s.faults.crossed--
		ch.ID = "another~0~0.1"
		ch.Text = "crossed"
	}
	if s.faults.drop > 0 && ch.Seq == dropAfter {
		s.faults.drop--
		cut = true
	}
	s.mu.Unlock()
	time.Sleep(late)
	return cut
}

func escape(id string) string { return url.PathEscape(id) }

func unescape(id string) string {
	if out, err := url.PathUnescape(id); err == nil {
		return out
	}
	return id
}
