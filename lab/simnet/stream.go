package simnet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one end of a connection.
type stream struct {
	host, peerHost *Host
	peer           *stream
	local, remote  net.Addr
	ready          *sync.Cond
	// in holds what the other end sent, in order.
	in []*segment
	// lastArrival is when the last segment to this end arrives.
	lastArrival time.Time
	// err is set once the connection has failed.
	err          error
	closed       bool
	readDeadline time.Time
}

// segment is data on its way to one end of a connection.
type segment struct {
	data []byte
	// end is io.EOF or a reset, nil for data.
	end error
	at  time.Time
	// arrived is set once the receiving host has it.
	arrived bool
}

type listener struct {
	host   *Host
	addr   string
	ready  *sync.Cond
	queue  []*stream
	closed bool
}

// Listen implements peerlink.Transport.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{host: h, addr: addr, ready: sync.NewCond(&h.net.mu)}
	h.listeners[addr] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	for !l.closed && len(l.queue) == 0 {
		l.ready.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	return s, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	l.closed = true
	if l.host.listeners[l.addr] == l {
		delete(l.host.listeners, l.addr)
	}
	l.ready.Broadcast()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return tcpAddr(l.addr) }

func tcpAddr(addr string) net.Addr {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(parsed)
}

// Dial implements peerlink.Transport. Packets of the handshake that are lost are not sent again.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	h.AwaitRunning()
	trip, reached := h.handshake(parsed.Addr().String())
	if !reached {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t := time.NewTimer(trip)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		return h.connect(parsed.Addr().String(), addr)
	}
}

// handshake returns how long the first packet and its answer take, and whether both arrive.
func (h *Host) handshake(ip string) (trip time.Duration, reached bool) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[ip]
	if target == nil || blocked(h, target) || blocked(target, h) || n.lost(h, target) || n.lost(target, h) {
		return 0, false
	}
	arrival := n.send(h, target, 0)
	return time.Until(arrival) + n.latencyBetween(h, target), true
}

func (h *Host) connect(ip, addr string) (net.Conn, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[ip]
	l := target.listeners[addr]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near := &stream{host: h, peerHost: target, local: tcpAddr(h.ip + ":0"), remote: tcpAddr(addr), ready: sync.NewCond(&n.mu)}
	far := &stream{host: target, peerHost: h, local: near.remote, remote: near.local, ready: sync.NewCond(&n.mu)}
	near.peer, far.peer = far, near
	h.streams[near], target.streams[far] = true, true
	l.queue = append(l.queue, far)
	l.ready.Signal()
	return near, nil
}

// Write implements net.Conn.
func (s *stream) Write(b []byte) (int, error) {
	n := s.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	s.host.awaitRunningLocked()
	switch {
	case s.closed:
		return 0, net.ErrClosed
	case s.err != nil:
		return 0, s.err
	}
	sent := s.transmit(&segment{data: append([]byte(nil), b...)})
	time.AfterFunc(UserTimeout, func() { s.endUnacknowledged(sent) })
	return len(b), nil
}

// transmit puts a segment on its way to the other end. The caller holds the network's lock.
func (s *stream) transmit(g *segment) *segment {
	n := s.host.net
	g.at = n.send(s.host, s.peerHost, len(g.data))
	if n.lost(s.host, s.peerHost) {
		g.at = g.at.Add(retransmitDelay)
	}
	if g.at.Before(s.peer.lastArrival) {
		g.at = s.peer.lastArrival
	}
	s.peer.lastArrival = g.at
	s.peer.in = append(s.peer.in, g)
	time.AfterFunc(time.Until(g.at), s.peer.arrive)
	return g
}

// arrive marks what has arrived by now and wakes readers.
func (s *stream) arrive() {
	s.host.net.mu.Lock()
	defer s.host.net.mu.Unlock()
	s.arriveLocked()
}

func (s *stream) arriveLocked() {
	now := time.Now()
	if blocked(s.peerHost, s.host) {
		return
	}
	refused := false
	for _, g := range s.in {
		if g.at.After(now) {
			break
		}
		refused = refused || !g.arrived && g.end == nil
		g.arrived = true
	}
	if refused && s.err != nil {
		// Nobody is left to read it.
		s.transmit(&segment{end: syscall.ECONNRESET})
	}
	s.ready.Broadcast()
}

// retransmit delivers what could not pass, some time after the trouble of a host has changed. The
// caller holds the network's lock.
func (s *stream) retransmit() {
	s.ready.Broadcast()
	time.AfterFunc(retransmitDelay, s.arrive)
}

// endUnacknowledged fails the connection at this end if a segment has not arrived.
func (s *stream) endUnacknowledged(g *segment) {
	s.host.net.mu.Lock()
	defer s.host.net.mu.Unlock()
	if !g.arrived && blocked(s.host, s.peerHost) && s.err == nil {
		s.fail(syscall.ETIMEDOUT)
		s.transmit(&segment{end: syscall.ECONNRESET})
	}
}

func (s *stream) fail(err error) {
	if s.err == nil {
		s.err = err
	}
	delete(s.host.streams, s)
	s.ready.Broadcast()
}

// resetLocked ends the connection as the end of its process does.
func (s *stream) resetLocked() {
	s.fail(net.ErrClosed)
	s.transmit(&segment{end: syscall.ECONNRESET})
}

// Read implements net.Conn.
func (s *stream) Read(b []byte) (int, error) {
	n := s.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.err != nil:
			return 0, s.err
		case !s.readDeadline.IsZero() && !time.Now().Before(s.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.in) > 0 && s.in[0].arrived && !s.host.trouble.Frozen:
			return s.take(b)
		}
		s.ready.Wait()
	}
}

// take returns the next data that arrived. The caller holds the network's lock.
func (s *stream) take(b []byte) (int, error) {
	g := s.in[0]
	if g.end != nil {
		s.fail(g.end)
		return 0, g.end
	}
	copied := copy(b, g.data)
	g.data = g.data[copied:]
	if len(g.data) == 0 {
		s.in = s.in[1:]
	}
	return copied, nil
}

// Close implements net.Conn.
func (s *stream) Close() error {
	s.host.net.mu.Lock()
	defer s.host.net.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.err == nil {
		s.transmit(&segment{end: io.EOF})
	}
	s.fail(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.local }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.remote }

// SetDeadline implements net.Conn. Writes do not block, so only reads have a deadline.
func (s *stream) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (*stream) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.host.net.mu.Lock()
	defer s.host.net.mu.Unlock()
	s.readDeadline = t
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), s.ready.Broadcast)
	}
	s.ready.Broadcast()
	return nil
}
