package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// rawClient is a connection on which a test writes requests itself.
type rawClient struct {
	net.Conn
	br *bufio.Reader
}

func dialEntry(entry int) *rawClient {
	c, err := net.Dial("tcp", platformAddr(100+entry))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	return &rawClient{c, bufio.NewReader(c)}
}

// head writes the head of a request whose body follows with a framing.
func (c *rawClient) head(path, id, key, framing string) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", path, id, key, framing)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads an answer; its body is read as well.
func (c *rawClient) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.br, nil)
	Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(raw)
}

var _ = Describe("the body of a request", Ordered, testkit.ServerNotices, func() {
	var s *platformSite
	BeforeAll(func() { s = newCrowdSite() })
	AfterAll(func() { s.close() })
	BeforeEach(func() {
		for _, w := range s.plain {
			w.ClearFaults()
		}
	})

	const length = crowdBody
	// slowly sends all of a body but a last piece, in pieces over a time, then that.
	slowly := func(w io.Writer, pieces int, pause time.Duration, before, after string) {
		piece := before + strings.Repeat("x", length/pieces) + after
		for range pieces {
			_, err := io.WriteString(w, piece)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(pause)
		}
	}

	// Guards against bounds that a client inside the limits meets: the largest body, for most of the time of its route.
	DescribeTable("is taken as large and as slow as its limits allow", func(clients, pieces int, pause time.Duration, chunks bool) {
		var all sync.WaitGroup
		for n := range clients {
			all.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprintf("slow-%d-%d-%t-%d", clients, pieces, chunks, n)
				c := dialEntry(0)
				if chunks {
					c.head("/look/1", id, "k1", "Transfer-Encoding: chunked")
					slowly(c, pieces, pause, fmt.Sprintf("%x\r\n", length/pieces), "\r\n")
					_, err := io.WriteString(c, "0\r\n\r\n")
					Expect(err).NotTo(HaveOccurred())
				} else {
					c.head("/look/1", id, "k1", fmt.Sprintf("Content-Length: %d", length))
					slowly(c, pieces, pause, "", "")
				}
				resp, body := c.answer()
				Expect(resp.StatusCode).To(Equal(200), body)
				Expect(body).To(Equal(workerserver.Body(id)))
				for _, w := range s.plain {
					for _, seen := range w.Seen() {
						if seen.ID == id {
							Expect(seen.Body).To(HaveLen(length))
						}
					}
				}
			})
		}
		all.Wait()
	},
		Entry("one with a length, slowly", 1, 64, 100*time.Millisecond, false),
		Entry("one in chunks, slowly", 1, 64, 100*time.Millisecond, true),
		Entry("one with a length, whole", 1, 1, time.Duration(0), false),
		Entry("one in chunks, whole", 1, 1, time.Duration(0), true),
		Entry("several with a length, slowly", 7, 64, 90*time.Millisecond, false),
		Entry("several in chunks, slowly", 3, 64, 90*time.Millisecond, true),
	)

	// Guards against clients that hold memory although the head of their request says that it cannot be served.
	DescribeTable("is not waited for if the head forbids the request", func(path, key, framing string, status int) {
		c := dialEntry(0)
		c.head(path, "forbidden", key, framing)
		resp, _ := c.answer()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Close).To(BeTrue())
		_, err := c.br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(runs(s.plain, "forbidden")).To(BeZero())
	},
		Entry("for its length", "/look/1", "k1", fmt.Sprintf("Content-Length: %d", length+1), 413),
		Entry("for its key", "/look/1", "k2", "Content-Length: 1000000", 401),
		Entry("for its key, with a short body", "/look/1", "k2", "Content-Length: 10", 401),
		Entry("for its key, in chunks", "/look/1", "k2", "Transfer-Encoding: chunked", 401),
		Entry("for its route", "/nowhere/1", "k1", "Content-Length: 1000000", 404),
	)

	It("leaves the connection to the next request if it was short and whole", func() {
		c := dialEntry(0)
		c.head("/look/1", "short", "k2", "Content-Length: 4")
		_, err := io.WriteString(c, "body")
		Expect(err).NotTo(HaveOccurred())
		resp, _ := c.answer()
		Expect(resp.StatusCode).To(Equal(401))
		c.head("/look/1", "after-short", "k1", "Content-Length: 0")
		_, body := c.answer()
		Expect(body).To(Equal(workerserver.Body("after-short")))
	})

	// Guards against requests that are smuggled in a body that was not read.
	DescribeTable("is never taken for a request", func(key, framing, before string) {
		c := dialEntry(0)
		c.head("/look/1", "outer", key, framing)
		_, err := io.WriteString(c, before+"POST /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: smuggled\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, _ = c.answer()
		_, _ = io.Copy(io.Discard, c.br)
		Expect(runs(s.plain, "smuggled")).To(BeZero())
	},
		Entry("behind an unknown key", "k2", "Content-Length: 5000000", ""),
		Entry("behind an unknown key, in chunks", "k2", "Transfer-Encoding: chunked", "7fffffff\r\n"),
		Entry("behind a limit", "k1", fmt.Sprintf("Content-Length: %d", length+1), ""),
	)

	// Guards against refusals without a time to come back, or of requests that ran.
	It("is refused with a time to come back, and not run, if there is no room", func() {
		for range 8 {
			c := dialEntry(0)
			c.head("/look/1", "holds", "k1", fmt.Sprintf("Content-Length: %d", length))
		}
		c := dialEntry(0)
		Eventually(func() int {
			c = dialEntry(0)
			c.head("/look/1", "no-room", "k1", fmt.Sprintf("Content-Length: %d", length))
			Expect(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
			resp, err := http.ReadResponse(c.br, nil)
			if err != nil {
				return 0
			}
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(readBody(resp)).To(ContainSubstring("2016"))
			return resp.StatusCode
		}, "10s").Should(Equal(503))
		Expect(runs(s.plain, "no-room")).To(BeZero())
	})

	It("that does not come in time is refused as not run", func() {
		c := dialEntry(1)
		_, err := io.WriteString(c, "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 500\r\nAuthorization: Bearer k1\r\nContent-Length: 10\r\n\r\nbody")
		Expect(err).NotTo(HaveOccurred())
		resp, _ := c.answer()
		Expect(resp.StatusCode).To(Equal(408))
		Expect(runs(s.plain, "late")).To(BeZero())
	})

	// Guards against bodies that a leaving instance still waits for.
	It("is not waited for by an instance that takes no more requests", func() {
		for _, w := range s.plain {
			w.Inject(workerserver.Mute, workerserver.Mute, workerserver.Mute)
		}
		active := dialEntry(2)
		active.head("/print/1", "active", "k1", "Content-Length: 0")
		open := make([]*rawClient, 40)
		for n := range open {
			open[n] = dialEntry(2)
		}
		s.signal("entry-2", syscall.SIGTERM)
		// A connection is asked after another, until one tells that the requests are refused.
		refused := false
		for n := 0; n < len(open) && !refused; n++ {
			time.Sleep(100 * time.Millisecond)
			open[n].head("/look/1", fmt.Sprint("leaving-", n), "k1", "Content-Length: 1000000")
			_ = open[n].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			resp, err := http.ReadResponse(open[n].br, nil)
			refused = err == nil && resp.StatusCode == http.StatusServiceUnavailable
			Expect(runs(s.plain, fmt.Sprint("leaving-", n))).To(BeZero())
		}
		Expect(refused).To(BeTrue())
	})
})
