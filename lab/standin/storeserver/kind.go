package storeserver

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// KindFaults are faults of the calls for one kind of object.
type KindFaults struct {
	// Status answers every call with an HTTP status.
	Status int `json:"status"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent"`
	// Reset closes the connection of every call.
	Reset bool `json:"reset"`
	// CutShort closes the connection in the middle of every answer.
	CutShort bool `json:"cutShort"`
	// Endless answers reads with bytes without end.
	Endless bool `json:"endless"`
	// Garbled answers with bytes that are no JSON.
	Garbled bool `json:"garbled"`
}

// garbledAnswer is the body of a garbled answer.
const garbledAnswer = "\x00{\"events\":[<html>"

func (f KindFaults) apply(c echo.Context, next echo.HandlerFunc) error {
	switch {
	case f.Silent:
		<-c.Request().Context().Done()
		return nil
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status > 0:
		return c.NoContent(f.Status)
	case f.Garbled:
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(garbledAnswer))
	case f.Endless:
		return answerEndlessly(c)
	case f.CutShort:
		return cutShort(c, next)
	}
	return next(c)
}

// answerEndlessly answers with a body that goes on until the caller closes the connection.
func answerEndlessly(c echo.Context) error {
	c.Response().WriteHeader(http.StatusOK)
	_, err := c.Response().Write([]byte(`{"items":[{"metadata":{"name":"`))
	for piece := bytes.Repeat([]byte("x"), endlessPiece); err == nil; {
		_, err = c.Response().Write(piece)
	}
	return nil
}

// cutShort sends the first half of an answer and closes the connection.
func cutShort(c echo.Context, next echo.HandlerFunc) error {
	whole := c.Response().Writer
	half := &halfWriter{ResponseWriter: whole}
	c.Response().Writer = half
	if err := next(c); err != nil {
		return err
	}
	_, _ = whole.Write(half.body[:len(half.body)/2])
	_ = http.NewResponseController(whole).Flush()
	panic(http.ErrAbortHandler)
}

// halfWriter keeps the body of an answer.
type halfWriter struct {
	http.ResponseWriter
	body []byte
}

// Write implements http.ResponseWriter.
func (w *halfWriter) Write(p []byte) (int, error) {
	w.body = append(w.body, p...)
	return len(p), nil
}

// Door is a further address of a store, with faults of its own for the callers that use it.
type Door struct {
	store  *Server
	addr   string
	http   *http.Server
	faults Faults
}

// OpenDoor opens a further address.
func (s *Server) OpenDoor(addr string) (*Door, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	d := &Door{store: s, addr: lis.Addr().String()}
	d.http = &http.Server{Handler: s.handler(func() Faults { return d.faults }), ReadHeaderTimeout: 5 * time.Second}
	s.mu.Lock()
	s.doors = append(s.doors, d)
	s.mu.Unlock()
	go func() { _ = d.http.Serve(lis) }()
	return d, nil
}

// Addr returns the address it listens on.
func (d *Door) Addr() string { return d.addr }

// SetFaults replaces the faults. Those that concern the store as a whole, such as a forgotten history, do
// not apply.
func (d *Door) SetFaults(f Faults) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.faults = f
}
