package caller

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"
)

// Connection is one connection on which requests may be sent before earlier ones are answered.
type Connection struct {
	conn    net.Conn
	br      *bufio.Reader
	pending []*http.Request
}

// connectTimeout bounds the opening of a connection.
const connectTimeout = time.Second

// Dial opens a connection to an instance.
func Dial(addr string) (*Connection, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: c, br: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.conn.Close() }

// Write sends a request.
func (c *Connection) Write(r Request) error {
	req, err := r.http(context.Background(), c.conn.RemoteAddr().String())
	if err != nil {
		return err
	}
	c.pending = append(c.pending, req)
	return req.Write(c.conn)
}

// Read returns the answer to the first request that is not answered yet, and whether the
// connection stays open for the next.
func (c *Connection) Read(timeout time.Duration) (a Answer, open bool) {
	start := time.Now()
	defer func() { a.Took = time.Since(start) }()
	if err := c.conn.SetReadDeadline(start.Add(timeout)); err != nil {
		return Answer{Err: err}, false
	}
	req := c.pending[0]
	c.pending = c.pending[1:]
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		return Answer{Err: err}, false
	}
	a = readAnswer(resp)
	return a, a.Err == nil && !resp.Close
}
