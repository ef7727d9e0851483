package intake

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/decide/slots"
)

// framingServer reads the bodies of all requests within a limit, and refuses those beyond it by closing the connection.
type framingServer struct {
	t      *testing.T
	intake *Intake
	// unread is set once a body was not read to its end, after which the connection has no further request.
	unread atomic.Bool
	served atomic.Int64
}

const framingLimit = 1 << 10

// ServeHTTP implements http.Handler.
func (s *framingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.unread.Load() {
		s.t.Errorf("a request in or behind a body that was not read: %s %s", r.Method, r.URL)
	}
	conn := ConnOf(r.Context())
	done, _ := conn.Receiving(r.ContentLength)
	defer done()
	raw, lease, refusal, err := s.intake.ReadBody(Body{
		Entry: room.Entry{Length: r.ContentLength, Until: time.Minute}, Reader: r.Body, Limit: framingLimit,
	}, conn.StopReading)
	defer lease.Release()
	if len(raw) > framingLimit && r.ContentLength < 0 || r.ContentLength >= 0 && err == nil && refusal == nil && int64(len(raw)) != r.ContentLength {
		s.t.Errorf("%d bytes of a body announced with %d", len(raw), r.ContentLength)
	}
	if err != nil || refusal != nil {
		s.unread.Store(true)
		w.Header().Set("Connection", "close")
		defer conn.StopReading()
	}
	s.served.Add(1)
	w.Header().Set("Content-Length", "0")
}

// Whatever a client sends, no bound is passed, no memory is kept, and nothing behind a body that was not read is taken for
// a request.
func FuzzFraming(f *testing.F) {
	const next = "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	post := func(framing, body string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + body
	}
	for _, seed := range []string{
		post("Content-Length: 4", "body") + next,
		post("Content-Length: 5000000", "body") + next,
		post("Content-Length: 4\r\nContent-Length: 8", "body") + next,
		post("Content-Length: 4\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n") + next,
		post("Transfer-Encoding: chunked", "4;name=value\r\nbody\r\n0\r\nTrailer: x\r\n\r\n") + next,
		post("Transfer-Encoding: chunked", "7fffffffffffffff\r\n"+next),
		post("Transfer-Encoding: chunked", "1000\r\n"+next),
		post("Transfer-Encoding: gzip, chunked", "4\r\nbody\r\n0\r\n\r\n") + next,
		post("Transfer-Encoding : chunked", "0\r\n\r\n") + next,
		post("Expect: 100-continue\r\nContent-Length: 4", "") + next,
		"GET / HTTP/1.1\r\nHost: h\r\nA: " + strconv.Itoa(1<<40) + "\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		i := &Intake{}
		started := time.Now()
		owner := &auburnmoor.Context{Log: zap.NewNop(), Now: func() time.Duration { return time.Since(started) }, Scope: tally.NoopScope}
		if err := i.Provision(owner); err != nil {
			t.Fatal(err)
		}
		client, server := net.Pipe()
		limits := func() Limits { return Limits{HeadBytes: 4 << 10} }
		lis := &Listener{Listener: newOneConn(server), intake: i, limits: limits, slots: slots.New(1)}
		h := &framingServer{t: t, intake: i}
		s := &http.Server{Handler: h, ConnState: ConnState, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.Serve(lis)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(raw)
		_ = client.Close()
		_ = s.Shutdown(context.Background())
		<-served
		for end := time.Now().Add(5 * time.Second); i.Dump().(Dump).BodyBytes != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are kept", i.Dump().(Dump).BodyBytes)
			}
		}
	})
}

// oneConn is a listener with one connection.
type oneConn struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newOneConn(c net.Conn) *oneConn {
	l := &oneConn{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	l.conns <- c
	return l
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *oneConn) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
