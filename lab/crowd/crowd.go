package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// patience bounds an attempt of a client that is neither taken in nor refused.
const patience = 20 * time.Second

// Crowd are clients that connect to one address at once.
type Crowd struct {
	Addr string
	// Deaf clients do not read what they are sent.
	Deaf bool
	// Attempts is how often each client of Gather connects, Pause how long one of Press that was refused waits before
	// it comes back.
	Attempts int
	Pause    time.Duration

	// taken counts the attempts that sent all, refused those that were ended before.
	taken, refused atomic.Int64
	done           chan struct{}
	sent, open     sync.WaitGroup
}

// Gather starts the clients and returns once each has sent all or given up; those that were not refused stay connected
// until Leave.
func (c *Crowd) Gather(n int, m Member) *Crowd {
	c.done = make(chan struct{})
	for range n {
		c.sent.Add(1)
		c.open.Add(1)
		go c.join(m)
	}
	c.sent.Wait()
	return c
}

// Leave ends all connections.
func (c *Crowd) Leave() {
	close(c.done)
	c.open.Wait()
}

// Counts returns the number of attempts that sent all, and of those that were ended before.
func (c *Crowd) Counts() (taken, refused int64) { return c.taken.Load(), c.refused.Load() }

// join makes the attempts of one client.
func (c *Crowd) join(m Member) {
	defer c.open.Done()
	said := sync.OnceFunc(c.sent.Done)
	defer said()
	for range c.Attempts {
		if c.attempt(m, said) {
			return
		}
	}
}

// attempt reports whether the client sent all and stayed until the crowd left.
func (c *Crowd) attempt(m Member, said func()) bool {
	conn, err := net.DialTimeout("tcp", c.Addr, patience)
	if err != nil {
		c.refused.Add(1)
		return false
	}
	defer conn.Close()
	closed := make(chan struct{})
	if c.Deaf {
		// An error leaves the buffer as it is.
		_ = conn.(*net.TCPConn).SetReadBuffer(1)
	} else {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	if m(conn) != nil {
		c.refused.Add(1)
		return false
	}
	c.taken.Add(1)
	said()
	select {
	case <-c.done:
		return true
	case <-closed:
		return false
	}
}

// Press keeps n clients at an address until the context ends: who is refused comes back.
func (c *Crowd) Press(ctx context.Context, n int, m Member) {
	c.done = make(chan struct{})
	stop := context.AfterFunc(ctx, func() { close(c.done) })
	defer stop()
	for range n {
		c.open.Go(func() {
			for ctx.Err() == nil {
				c.attempt(m, func() {})
				select {
				case <-ctx.Done():
				case <-time.After(c.Pause):
				}
			}
		})
	}
	c.open.Wait()
}
