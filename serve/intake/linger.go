package intake

import (
	"io"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/slots"
)

// A closed connection is read on for lingerTimeout and maxLingerBytes at most, or until the
// client closes it.
const (
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 4 << 20
)

// Close implements net.Conn. The kernel resets a connection that is closed with unread input,
// such as the client's next request, and drops the end of an answer that it has not sent yet. So
// only the sending side is closed at first. Another call closes the connection at once.
func (c *Conn) Close() error {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	c.releaseHead()
	if c.displaced.Load() {
		return c.Conn.Close()
	}
	c.set(slots.Closing)
	if !ok || sender.CloseWrite() != nil {
		c.leave()
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger discards what the client still sends, then closes the connection.
func (c *Conn) linger() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// An error means that the client is gone or the time is up.
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	// The client has all that it will get.
	c.leave()
	_ = c.Conn.Close()
}

// leave frees the place of the connection.
func (c *Conn) leave() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.slots.Remove(c.slot)
}
