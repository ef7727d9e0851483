package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// proxy passes connections on to one address, and can harm them.
type proxy struct {
	at   string
	to   string
	mu   sync.Mutex
	lis  net.Listener
	open map[net.Conn]net.Conn
	// silent connections pass nothing on from then, delay holds each piece back.
	silent atomic.Bool
	delay  atomic.Int64
}

// pieceSize is the most that is passed on at once, in bytes.
const pieceSize = 16 << 10

// silentPoll is how often a silent link looks whether it is open again.
const silentPoll = 10 * time.Millisecond

func newProxy(to string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{at: lis.Addr().String(), to: to, lis: lis, open: map[net.Conn]net.Conn{}}
	go p.accept(lis)
	return p, nil
}

func (p *proxy) addr() string { return p.at }

// refuse has the proxy refuse connections, as the address of a process that ended does.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.lis.Close()
}

// listen ends that. An error of it shows as a server that is not back.
func (p *proxy) listen() {
	lis, err := net.Listen("tcp", p.at)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.lis = lis
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

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	p.wait()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	p.mu.Lock()
	p.open[near] = far
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			p.copy(pair[1], pair[0])
			done <- struct{}{}
		}()
	}
	<-done
	p.mu.Lock()
	delete(p.open, near)
	p.mu.Unlock()
}

// copy passes on what comes until one end closes.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds back what a silent or slow link does not pass on yet.
func (p *proxy) wait() {
	time.Sleep(time.Duration(p.delay.Load()))
	for p.silent.Load() {
		time.Sleep(silentPoll)
	}
}

// reset breaks all connections, without the close that tells the other end of an end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for near, far := range p.open {
		for _, c := range []net.Conn{near, far} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	p.refuse()
	p.silent.Store(false)
	p.reset()
}
