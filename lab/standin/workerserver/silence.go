package workerserver

import (
	"bytes"
	"net"
	"regexp"
	"slices"
	"sync"
	"time"
)

// SilencePoint is where a server falls silent.
type SilencePoint string

// The points.
const (
	// BeforeAccept is before the next connection is accepted.
	BeforeAccept SilencePoint = "before_accept"
	// BeforeHead is before the first byte of an answer, AfterHead between its head and its body.
	BeforeHead SilencePoint = "before_head"
	AfterHead  SilencePoint = "after_head"
	// InBody is in the middle of what is written of a body at once.
	InBody SilencePoint = "in_body"
	// InChunk is inside the line with the size of a chunk, InEvent inside an event of a stream,
	// BetweenEvents before an event other than the first, BeforeEnd before the chunk that ends a body.
	InChunk       SilencePoint = "in_chunk"
	InEvent       SilencePoint = "in_event"
	BetweenEvents SilencePoint = "between_events"
	BeforeEnd     SilencePoint = "before_end"
)

// Silence makes the whole server silent for d when it next comes to a point: it accepts, reads and
// writes nothing meanwhile, and goes on after. Each call adds one such silence, so that several may
// fall into one answer.
func (s *Server) Silence(at SilencePoint, d time.Duration) {
	s.silences.add(silence{at: at, lasts: d})
}

// SilenceAnswer does the same to one connection, while the server serves all others.
func (s *Server) SilenceAnswer(at SilencePoint, d time.Duration) {
	s.silences.add(silence{at: at, lasts: d, oneConnection: true})
}

// SilenceNow makes the whole server silent from now on for d.
func (s *Server) SilenceNow(d time.Duration) { s.silences.extend(time.Now().Add(d)) }

// ClearSilences removes the silences that have not begun.
func (s *Server) ClearSilences() {
	s.silences.mu.Lock()
	defer s.silences.mu.Unlock()
	s.silences.pending = nil
}

// PendingSilences counts the silences that have not begun.
func (s *Server) PendingSilences() int {
	s.silences.mu.Lock()
	defer s.silences.mu.Unlock()
	return len(s.silences.pending)
}

// silence is one silence that has not begun.
type silence struct {
	at            SilencePoint
	lasts         time.Duration
	oneConnection bool
}

// silences are the silences of one server.
type silences struct {
	mu      sync.Mutex
	pending []silence
	// until is the end of the silence of the whole server.
	until time.Time
}

func (q *silences) add(s silence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, s)
}

func (q *silences) extend(until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until.After(q.until) {
		q.until = until
	}
}

// take removes and returns the first pending silence for which reached returns a position.
func (q *silences) take(reached func(SilencePoint) (int, bool)) (found silence, position int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, s := range q.pending {
		if position, ok = reached(s.at); ok {
			q.pending = slices.Delete(q.pending, i, i+1)
			return s, position, true
		}
	}
	return silence{}, 0, false
}

// begin begins a silence and waits for its end.
func (q *silences) begin(s silence) {
	if s.oneConnection {
		time.Sleep(s.lasts)
		return
	}
	q.extend(time.Now().Add(s.lasts))
	q.wait()
}

// wait returns when the server is not silent.
func (q *silences) wait() {
	for {
		q.mu.Lock()
		left := time.Until(q.until)
		q.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// silentListener accepts connections that fall silent with the server.
type silentListener struct {
	net.Listener
	silences *silences
}

// Accept implements net.Listener.
func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.silences.wait()
	if s, _, ok := l.silences.take(func(p SilencePoint) (int, bool) { return 0, p == BeforeAccept }); ok {
		l.silences.begin(s)
	}
	return &silentConn{TCPConn: c.(*net.TCPConn), silences: l.silences}, nil
}

// silentConn is a connection that falls silent with its server.
type silentConn struct {
	*net.TCPConn
	silences *silences
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	c.silences.wait()
	n, err := c.TCPConn.Read(p)
	c.silences.wait()
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	c.silences.wait()
	s, cut, ok := c.silences.take(func(at SilencePoint) (int, bool) { return position(at, p) })
	if !ok {
		return c.TCPConn.Write(p)
	}
	n, err := c.writeNonEmpty(p[:cut])
	if err != nil {
		return n, err
	}
	c.silences.begin(s)
	if cut == len(p) {
		return n, nil
	}
	m, err := c.Write(p[cut:])
	return n + m, err
}

func (c *silentConn) writeNonEmpty(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.TCPConn.Write(p)
}

var (
	headEnd   = []byte("\r\n\r\n")
	eventData = []byte("data:")
	lastChunk = []byte("0\r\n\r\n")
	chunkSize = regexp.MustCompile(`^[1-9a-f][0-9a-f]*\r\n`)
)

// position returns where in the bytes of one write a point is.
func position(at SilencePoint, p []byte) (cut int, ok bool) {
	hasHead := bytes.HasPrefix(p, []byte("HTTP/1."))
	bodyAt := 0
	if hasHead {
		end := bytes.Index(p, headEnd)
		if end < 0 {
			return 0, at == BeforeHead
		}
		bodyAt = end + len(headEnd)
	}
	body := p[bodyAt:]
	switch at {
	case BeforeHead:
		return 0, hasHead
	case AfterHead:
		return bodyAt, hasHead
	case InBody:
		return bodyAt + len(body)/2, len(body) > 1
	case InChunk:
		return bodyAt + 1, chunkSize.Match(body)
	case InEvent:
		data := bytes.Index(body, eventData)
		return bodyAt + data + len(eventData), data >= 0
	case BetweenEvents:
		return 0, !hasHead && bytes.Contains(body, eventData)
	case BeforeEnd:
		return len(p) - len(lastChunk), bytes.HasSuffix(body, lastChunk)
	default:
		return 0, false
	}
}
