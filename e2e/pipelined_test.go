package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// longStreamEvents makes an answer that fills the buffers of a slow reader.
	longStreamEvents = 6_000
	smallReadBuffer  = 16 << 10
	// drainStarted is the time from SIGTERM until answers announce the end of the connection.
	drainStarted = 300 * time.Millisecond
	// readPause is how long the slow reader waits before it reads.
	readPause = 1500 * time.Millisecond
)

// Guards against an answer whose end is lost because its connection is reset: the next request
// was already sent and remains unread when the instance closes the connection.
var _ = Describe("a draining instance whose client reads slowly", func() {
	const entry, name = 2, "entry-2"

	DescribeTable("sends its answer to the end", func(nextSent bool) {
		s := newPlatformSiteWith(1, workerserver.Config{Events: longStreamEvents, Memory: engineMemory})
		DeferCleanup(s.close)
		c, err := net.Dial("tcp", platformAddr(100+entry))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.(*net.TCPConn).SetReadBuffer(smallReadBuffer)).To(Succeed())
		s.signal(name, syscall.SIGTERM)
		time.Sleep(drainStarted)
		first := attempt{path: "/ask/1", id: "first", key: "k1", tokens: 400}.request(entry)
		Expect(first.Write(c)).To(Succeed())
		if nextSent {
			Expect(attempt{path: "/look/1", id: "next", key: "k1"}.request(entry).Write(c)).To(Succeed())
		}
		time.Sleep(readPause)
		resp, err := http.ReadResponse(bufio.NewReader(c), first)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred(), "after %d bytes", len(body))
		Expect(string(body)).To(HaveSuffix(workerserver.Event("first", longStreamEvents)))
		Expect(runs(s.plain, "next")).To(BeZero())
	},
		Entry("without a further request", false),
		Entry("while the next request was already sent", true),
	)
})
