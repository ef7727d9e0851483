package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// proxy forwards TCP connections to one address and can inject network faults.
type proxy struct {
	listenAddr string
	targetAddr string
	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]net.Conn
	// silent stops forwarding on all connections, delay postpones each chunk.
	silent atomic.Bool
	delay  atomic.Int64
	// While holding is above zero, what the target sends is held back, as if it had fallen
	// silent; holds counts the chunks that were.
	holding, holds atomic.Int64
}

// maxChunk bounds the bytes forwarded at once.
const maxChunk = 16 << 10

// silentPollInterval is how often a silenced connection checks whether to resume.
const silentPollInterval = 10 * time.Millisecond

func newProxy(to string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listenAddr: lis.Addr().String(), targetAddr: to, listener: lis, conns: map[net.Conn]net.Conn{}}
	go p.accept(lis)
	return p, nil
}

func (p *proxy) addr() string { return p.listenAddr }

// refuse closes the listener, so that connections are refused as after a process exit.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// reopen listens again after refuse. On failure the server stays unreachable, which the
// checks detect.
func (p *proxy) reopen() {
	lis, err := net.Listen("tcp", p.listenAddr)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.listener = lis
	p.mu.Unlock()
	go p.accept(lis)
}

func (p *proxy) accept(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	p.waitToForward()
	target, err := net.Dial("tcp", p.targetAddr)
	if err != nil {
		return
	}
	defer target.Close()
	p.mu.Lock()
	p.conns[client] = target
	p.mu.Unlock()
	done := make(chan error, 2)
	go func() { done <- p.copy(target, client, p.forward) }()
	go func() { done <- p.copy(client, target, p.forwardOrHold) }()
	if err := <-done; err != nil {
		// A reset of one side must not look like an end in order on the other.
		_ = dropOnClose(client)
		_ = dropOnClose(target)
	}
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// dropOnClose has a connection reset when it is closed.
func dropOnClose(c net.Conn) error {
	tcp, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Newf("%T cannot be reset", c)
	}
	return tcp.SetLinger(0)
}

// copy forwards data by the given function until the sender ends its side. The error is that of either side.
func (p *proxy) copy(to, from net.Conn, forward func(to net.Conn, chunk []byte) error) error {
	buf := make([]byte, maxChunk)
	for {
		n, err := from.Read(buf)
		p.waitToForward()
		if n > 0 {
			if werr := forward(to, buf[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (p *proxy) forward(to net.Conn, chunk []byte) error {
	_, err := to.Write(chunk)
	return err
}

// hold lets the target appear silent until release is called as often.
func (p *proxy) hold() { p.holding.Add(1) }

func (p *proxy) release() { p.holding.Add(-1) }

// chunkParts is the number of places at which a chunk is divided while the target is silent.
const chunkParts = 4

// forwardOrHold forwards a part of a chunk, nothing of some, and holds the rest for as long as
// the target is silent.
func (p *proxy) forwardOrHold(to net.Conn, chunk []byte) error {
	if p.holding.Load() > 0 {
		sent := len(chunk) * int(p.holds.Add(1)%chunkParts) / chunkParts
		if err := p.forward(to, chunk[:sent]); err != nil {
			return err
		}
		chunk = chunk[sent:]
	}
	for p.holding.Load() > 0 {
		time.Sleep(silentPollInterval)
	}
	return p.forward(to, chunk)
}

// waitToForward applies the delay, then blocks while the proxy is silent.
func (p *proxy) waitToForward() {
	time.Sleep(time.Duration(p.delay.Load()))
	for p.silent.Load() {
		time.Sleep(silentPollInterval)
	}
}

// reset aborts all connections with RST instead of an orderly close.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client, target := range p.conns {
		for _, c := range []net.Conn{client, target} {
			_ = dropOnClose(c)
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	p.refuse()
	p.silent.Store(false)
	p.holding.Store(0)
	p.reset()
}
