package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/decide/slots"
)

// ConnState is an http.Server.ConnState hook; net/http calls it before it sets the deadline that belongs to the state.
func ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.set(slots.Busy)
		conn.completeHead()
	case http.StateIdle:
		conn.idle.Store(true)
		conn.set(slots.Idle)
		conn.releaseHead()
	}
}

type connKey struct{}

// ConnContext is an http.Server.ConnContext hook. It lets handlers find the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, nil if it did not come from a Listener.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is a connection of a client. It shortens the read deadlines that net/http sets, bounds heads, and closes in an
// orderly way.
type Conn struct {
	net.Conn
	listener *Listener
	slot     *slots.Slot

	// idle marks that the next deadline set is the idle timeout between two requests; all other future deadlines
	// bound the reading of heads.
	idle atomic.Bool
	// closed is set by the first Close, displaced once another connection has its place.
	closed, displaced atomic.Bool
	// writeStopped is set by StopWriting.
	writeStopped atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// headBytes is what was received of a head, or of a body in the same read.
	headBytes int64
	head      *Lease
}

// Sizes of heads in bytes.
const (
	// freeHead needs no memory but the buffer that each connection has.
	freeHead = 4 << 10
	// headMargin is allowed beyond the headers: the request line, and a short body or what else is read with the head.
	headMargin = 24 << 10
	// headCopies is how often a head is in memory at once.
	headCopies = 3
)

// writeTimeout bounds a write to a client that does not read, beyond the deadlines of clients.
const writeTimeout = 30 * time.Second

func (c *Conn) set(s slots.State) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.slots.Set(c.listener.intake.now(), c.slot, s)
}

// Displaced reports whether another connection has got the place of this one, which is closed without an answer.
func (c *Conn) Displaced() bool { return c != nil && c.displaced.Load() }

// shortBody is the length in bytes up to which a body is expected with its head.
const shortBody = 8 << 10

// Receiving marks that a body of a length, or of unknown length if that is negative, is being received, until done is
// called. There is no place for it if ok is false.
func (c *Conn) Receiving(length int64) (done func(), ok bool) {
	if c == nil {
		return func() {}, true
	}
	done = func() { c.set(slots.Busy) }
	if length >= 0 && length <= shortBody {
		c.set(slots.Head)
		return done, true
	}
	return done, c.beginBody()
}

func (c *Conn) beginBody() bool {
	l := c.listener
	l.mu.Lock()
	victim, ok := l.slots.SetBody(l.intake.now(), c.slot)
	if victim != nil {
		victim.Owner.(*Conn).displaced.Store(true)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.Owner.(*Conn).giveUp(slots.Body)
	}
	return ok
}

// giveUp ends a connection whose place is needed for another one. A request whose body is being received is refused.
func (c *Conn) giveUp(state slots.State) {
	c.listener.intake.refused("connection_" + state.String())
	if state == slots.Body {
		c.StopReading()
		return
	}
	_ = c.Close()
}

// StopReading makes a pending read return with an error.
func (c *Conn) StopReading() { c.SetBodyDeadline(time.Unix(1, 0)) }

// SetBodyDeadline bounds the time to receive a body; the zero time removes the bound.
func (c *Conn) SetBodyDeadline(t time.Time) {
	if c != nil {
		_ = c.Conn.SetReadDeadline(t)
	}
}

// tooLarge is sent on connections whose head exceeds the limit.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if n == 0 {
		return n, err
	}
	if c.hear() == slots.Head && !c.takeHead(int64(n)) {
		// net/http closes the connection without a word.
		return 0, io.EOF
	}
	return n, err
}

// hear records that something was received and returns the state of the connection.
func (c *Conn) hear() slots.State {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.slots.Hear(c.listener.intake.now(), c.slot)
	return c.slot.State()
}

// takeHead takes memory for received bytes of a head and reports whether it may go on.
func (c *Conn) takeHead(n int64) bool {
	c.mu.Lock()
	before := c.headBytes
	c.headBytes += n
	total, lease := c.headBytes, c.head
	c.mu.Unlock()
	if limit := c.listener.limits().HeadBytes; limit > 0 && total > int64(limit)+headMargin {
		c.listener.intake.refused("head")
		_, _ = c.Conn.Write([]byte(tooLarge))
		return false
	}
	if total <= freeHead {
		return true
	}
	need := (total - max(before, freeHead)) * headCopies
	if lease != nil {
		return lease.Grow(need)
	}
	return c.enterHead(need)
}

// enterHead takes the first memory for a head.
func (c *Conn) enterHead(bytes int64) bool {
	e := room.Entry{Length: room.Unknown, Until: c.listener.intake.now() + c.headTimeout()}
	lease, refusal := c.listener.intake.Enter(e, bytes, func() { _ = c.Close() })
	if refusal != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		lease.Release()
		return false
	}
	c.head = lease
	return true
}

// defaultHeadTimeout is assumed for a head if nothing bounds its time.
const defaultHeadTimeout = 10 * time.Second

func (c *Conn) headTimeout() time.Duration {
	if d := c.listener.limits().HeadTimeout; d > 0 {
		return d
	}
	return defaultHeadTimeout
}

// completeHead records that a head has come whole: its memory is not taken away any more.
func (c *Conn) completeHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.head.Complete()
	}
}

// releaseHead gives back the memory of a head once its request has ended.
func (c *Conn) releaseHead() {
	c.mu.Lock()
	lease := c.head
	c.head, c.headBytes = nil, 0
	c.mu.Unlock()
	lease.Release()
}

// Write implements net.Conn. A client that does not take p within writeTimeout gets no more.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.writeStopped.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

// StopWriting makes a pending write return with an error, and all later ones.
func (c *Conn) StopWriting() {
	if c != nil {
		c.writeStopped.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline implements net.Conn. A deadline in the past, which cancels a read, is passed on unchanged.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.listener.limits().HeadTimeout
	if c.idle.Swap(false) {
		limit = c.listener.limits().IdleTimeout
	}
	if limit > 0 && now.Add(limit).Before(t) {
		t = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}
