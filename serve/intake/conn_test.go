package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestIntake(t *testing.T) { testkit.Suite(t, "intake") }

// newIntake provisions a module with its settings.
func newIntake(self auburnmoor.Identity, i *Intake) *Intake {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	Expect(i.Provision(&auburnmoor.Context{Self: self, Log: zap.NewNop(), Now: now, Scope: tally.NoopScope})).To(Succeed())
	return i
}

// listen opens a listener whose clients have limits.
func listen(l Limits) *Listener {
	lis, err := newIntake(auburnmoor.Identity{}, &Intake{}).
		Listen(context.Background(), "127.0.0.1:0", ListenerConfig{Share: 1, Limits: func() Limits { return l }})
	Expect(err).NotTo(HaveOccurred())
	return lis
}

var _ = Describe("limits of the configuration", func() {
	// serve starts a server that responds to every request within the given limits.
	serve := func(l Limits) string {
		lis := listen(l)
		s := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: ConnState,
		}
		go func() { _ = s.Serve(lis) }()
		DeferCleanup(s.Close)
		return lis.Addr().String()
	}
	dial := func(addr string) net.Conn {
		c, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return c
	}
	ask := func(c net.Conn, br *bufio.Reader) {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(br, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
	}

	// Guards against an answer whose end is lost because its connection is closed with input unread.
	It("send an answer to its end while the next request waits", func() {
		const size, buffer, request = 256 << 10, 16 << 10, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		lis := listen(Limits{})
		asked, nextSent := make(chan struct{}), make(chan struct{})
		s := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(asked)
			<-nextSent
			w.Header().Set("Connection", "close")
			_, _ = w.Write(make([]byte, size))
		})}
		go func() { _ = s.Serve(lis) }()
		DeferCleanup(s.Close)
		c := dial(lis.Addr().String())
		Expect(c.(*net.TCPConn).SetReadBuffer(buffer)).To(Succeed())
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		<-asked
		_, err = io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		close(nextSent)
		time.Sleep(100 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred(), "after %d bytes", n)
		Expect(n).To(BeEquivalentTo(size))
	})

	It("close a connection for good once the client has read its end", func() {
		lis := listen(Limits{})
		accepted := make(chan net.Conn, 1)
		go func() {
			defer GinkgoRecover()
			c, err := lis.Accept()
			Expect(err).NotTo(HaveOccurred())
			accepted <- c
		}()
		client := dial(lis.Addr().String())
		server := <-accepted
		Expect(server.Close()).To(Succeed())
		_, err := client.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		_, err = server.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(client.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(server.Close, lingerTimeout/2).Should(MatchError(net.ErrClosed))
	})

	// Guards against clients that exhaust the file descriptors with idle connections.
	It("close connections after the idle timeout", func() {
		c := dial(serve(Limits{IdleTimeout: 100 * time.Millisecond}))
		br := bufio.NewReader(c)
		ask(c, br)
		_, err := br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("close connections whose headers do not arrive in time", func() {
		c := dial(serve(Limits{HeadTimeout: 100 * time.Millisecond}))
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
	})

	It("do not apply the header timeout between two requests", func() {
		c := dial(serve(Limits{IdleTimeout: 5 * time.Second, HeadTimeout: 50 * time.Millisecond}))
		br := bufio.NewReader(c)
		for range 2 {
			ask(c, br)
			time.Sleep(150 * time.Millisecond)
		}
		ask(c, br)
	})
})
