package connend_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/connend"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestConnEnd(t *testing.T) { testkit.Suite(t, "connend") }

// scripted is a connection whose reads see an end and whose writes return what is sent on written.
type scripted struct {
	net.Conn
	written chan error
}

func (s scripted) Read([]byte) (int, error) { return 0, io.EOF }
func (s scripted) Write(p []byte) (int, error) {
	if err := <-s.written; err != nil {
		return 0, err
	}
	return len(p), nil
}
func (s scripted) Close() error { return nil }

// Guards against answers that look whole because a write got the error of the reset that ended them.
var _ = Describe("the end of a connection", func() {
	var (
		written chan error
		c       *connend.Conn
		ended   chan error
	)
	BeforeEach(func() {
		written, ended = make(chan error, 8), make(chan error, 1)
		c = connend.New(scripted{written: written})
	})
	read := func() {
		go func() {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}()
	}

	It("is one if all writes succeeded", func() {
		written <- nil
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		read()
		Eventually(ended).Should(Receive(Equal(io.EOF)))
	})

	It("is the failure of an earlier write", func() {
		written <- syscall.ECONNRESET
		_, err := c.Write([]byte("x"))
		Expect(err).To(HaveOccurred())
		read()
		Eventually(ended).Should(Receive(Satisfy(func(err error) bool { return errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) })))
	})

	DescribeTable("waits for the writing in progress", func(outcome error, matcher func(error) bool) {
		done := c.BeginWriting()
		read()
		Consistently(ended, "50ms", "5ms").ShouldNot(Receive())
		done(outcome)
		done(nil)
		Eventually(ended).Should(Receive(Satisfy(matcher)))
	},
		Entry("that succeeds", nil, func(err error) bool { return errors.Is(err, io.EOF) }),
		Entry("that fails", syscall.ECONNRESET, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) }),
	)

	It("is none once the connection is closed beside a writing", func() {
		_ = c.BeginWriting()
		read()
		Consistently(ended, "50ms", "5ms").ShouldNot(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
	})

	// The reset reaches the write or the read, whichever the kernel tells first.
	It("under a long write is a failure when the peer resets, every time", func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lis.Close)
		go func() {
			for {
				peer, err := lis.Accept()
				if err != nil {
					return
				}
				go func() {
					tcp := peer.(*net.TCPConn)
					_ = tcp.SetReadBuffer(64 << 10)
					// A reset before that could end the connecting.
					_, _ = peer.Read(make([]byte, 1))
					_, _ = peer.Write([]byte("part"))
					time.Sleep(5 * time.Millisecond)
					_ = tcp.SetLinger(0)
					_ = peer.Close()
				}()
			}
		}()
		for range 200 {
			raw, err := net.Dial("tcp", lis.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			conn := connend.New(raw)
			done := conn.BeginWriting()
			go func() {
				_, err := conn.Write(make([]byte, 16<<20))
				done(err)
			}()
			_, err = io.ReadAll(conn)
			Expect(err).To(HaveOccurred())
			_ = conn.Close()
		}
	})
})
