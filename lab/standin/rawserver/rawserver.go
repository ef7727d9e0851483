// Package rawserver stands in for a backend server that answers requests with any bytes and ends its connections in
// any way.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// End is how the connection goes on after an answer.
type End int

// The ends.
const (
	// KeepOpen reads what is left of the request, and the next one.
	KeepOpen End = iota
	// Close reads what is left of the request and closes the connection.
	Close
	// CloseWrite closes the sending side, then reads what is left of the request.
	CloseWrite
	// Reset resets the connection.
	Reset
	// Abandon closes the connection and leaves the rest of the request unread: a reset, if there is any.
	Abandon
)

// Script is how the server answers.
type Script struct {
	// Answer is sent as it is, but for "{id}", the value of IDHeader in the request, and "{seal}", what Seal returns.
	Answer string
	// Early answers before the body of the request is read.
	Early bool
	End   End
	// Pause is the time between the answer and the end.
	Pause time.Duration
}

// receiveBuffer is the size in bytes of what the kernel takes of an upload that is not read, so that it is still being
// written when the answer comes.
const receiveBuffer = 256 << 10

// Server answers all requests by one script.
type Server struct {
	// IDHeader names the header that identifies a request, Seal signs the answer to one.
	IDHeader string
	Seal     func(id string) string

	script   atomic.Pointer[Script]
	listener net.Listener
	mu       sync.Mutex
	bodies   map[string][]string
	conns    map[net.Conn]bool
	requests atomic.Int64
}

// Start listens on a free port of the loopback interface.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "raw server")
	}
	s.listener, s.bodies, s.conns = lis, map[string][]string{}, map[net.Conn]bool{}
	go s.accept()
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Play sets how requests are answered from now on.
func (s *Server) Play(script Script) { s.script.Store(&script) }

// Requests counts the requests whose head was read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Bodies returns the bodies of the requests with an ID that were read to their end.
func (s *Server) Bodies(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies[id]...)
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok || tcp.SetReadBuffer(receiveBuffer) != nil {
			_ = c.Close()
			continue
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(tcp)
	}
}

func (s *Server) serve(c *net.TCPConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers a request and reports whether another may follow.
func (s *Server) answer(c *net.TCPConn, r *http.Request) (goOn bool) {
	script := s.script.Load()
	id := r.Header.Get(s.IDHeader)
	if !script.Early && s.readBody(r, id) != nil {
		return false
	}
	if _, err := io.WriteString(c, s.fill(script.Answer, id)); err != nil {
		return false
	}
	time.Sleep(script.Pause)
	switch script.End {
	case Reset:
		_ = c.SetLinger(0)
		return false
	case Abandon:
		return false
	case CloseWrite:
		_ = c.CloseWrite()
	}
	if script.Early && s.readBody(r, id) != nil {
		return false
	}
	return script.End == KeepOpen
}

func (s *Server) readBody(r *http.Request, id string) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[id] = append(s.bodies[id], string(body))
	return nil
}

func (s *Server) fill(answer, id string) string {
	seal := ""
	if s.Seal != nil {
		seal = s.Seal(id)
	}
	return strings.NewReplacer("{id}", id, "{seal}", seal).Replace(answer)
}
