// Package connend tells the end of a connection from its failure.
//
// The kernel reports a reset once: to whichever call on the socket comes first. If that is a write, the next read sees
// what a connection that ended in order shows, and an answer that the end of the connection ends looks whole.
package connend

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Conn is a connection that reads an end only if no write has failed. It waits for the writing in progress, which ends
// at the latest when the connection is closed.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// settled is signalled when no writing is in progress, and when the connection is closed.
	settled *sync.Cond
	writing int
	closed  bool
	// failed is the error of the first write that failed.
	failed error
}

// New returns a connection on which nothing was written yet.
func New(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.settled = sync.NewCond(&out.mu)
	return out
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	end := c.BeginWriting()
	n, err := c.Conn.Write(p)
	end(err)
	return n, err
}

// BeginWriting begins a writing that may take several writes, such as that of a request with its body. The function
// that it returns ends it, with the error if it failed; further calls of that function have no effect.
func (c *Conn) BeginWriting() (end func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
	ended := false
	return func(err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if ended {
			return
		}
		ended = true
		if c.failed == nil {
			c.failed = err
		}
		if c.writing--; c.writing == 0 {
			c.settled.Broadcast()
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.settled.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF only after an end in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or why the connection did not end in order.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 && !c.closed {
		c.settled.Wait()
	}
	switch {
	case c.failed != nil:
		return errors.Wrap(c.failed, "the connection ended after a write failed")
	case c.writing > 0:
		return net.ErrClosed
	default:
		return io.EOF
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no descriptor", c.Conn)
	}
	return sc.SyscallConn()
}
