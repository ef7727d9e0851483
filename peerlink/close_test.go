package peerlink

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// stuckTransport dials connections that accept no more data once it is stuck, until released.
type stuckTransport struct {
	osTransport
	stuck    atomic.Bool
	released chan struct{}
}

// Dial implements Transport.
func (t *stuckTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := t.osTransport.Dial(ctx, addr)
	return stuckConn{conn, t}, err
}

type stuckConn struct {
	net.Conn
	transport *stuckTransport
}

// Write implements net.Conn.
func (c stuckConn) Write(b []byte) (int, error) {
	if c.transport.stuck.Load() {
		<-c.transport.released
	}
	return c.Conn.Write(b)
}

var _ = Describe("closing a connection that accepts no more data", func() {
	const first, second = "127.0.0.1:19914", "127.0.0.1:19915"
	addrs := map[string]string{"b": second, "c": second}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Content: []byte(strings.Repeat("x", 5000))}}}

	// Guards against an instance that sends nothing to any other for seconds.
	It("does not hold up messages to other instances", func() {
		t := &stuckTransport{released: make(chan struct{})}
		var received atomic.Int64
		startLink("b", second, addrs, func(string, *peerpb.Envelope) { received.Add(1) })
		a := startLinkOver(t, "a", first, addrs, func(string, *peerpb.Envelope) {})
		Expect(a.Send("b", env)).To(BeTrue())
		Eventually(received.Load, "5s", "5ms").Should(Equal(int64(1)))
		t.stuck.Store(true)
		swept := make(chan struct{})
		go func() {
			a.sweep(time.Now().Add(idleTimeout + time.Second))
			close(swept)
		}()
		Consistently(swept, "100ms").ShouldNot(BeClosed())
		sent := make(chan bool, 1)
		go func() { sent <- a.Send("c", env) }()
		Eventually(sent, "1s", "5ms").Should(Receive(BeTrue()))
		close(t.released)
		Eventually(swept, "10s").Should(BeClosed())
	})
})
