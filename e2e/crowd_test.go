package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/dev"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Limits of the instances under a crowd.
const (
	// crowdMemoryMB is the memory of an instance, in MiB.
	crowdMemoryMB = 160
	// maxCrowdMemory is what an instance may use of it, with received bytes that it has not read, in bytes.
	maxCrowdMemory = crowdMemoryMB << 20 / 4 * 3
	// crowdDescriptors is the number of descriptors that an instance can get.
	crowdDescriptors = 600
	// maxCrowdDescriptors is what an instance may use of them.
	maxCrowdDescriptors = crowdDescriptors * 9 / 10
	// crowdBody is the limit of a body in bytes.
	crowdBody = 4 << 20
	// crowdAttempts is how often a client of a crowd connects.
	crowdAttempts = 3
	// crowdStay is how long a crowd stays once all have sent.
	crowdStay = time.Second
	// crowdPatience bounds an attempt of a client of a crowd that is neither taken in nor refused.
	crowdPatience = 20 * time.Second
)

// member is what one client of a crowd sends on a connection.
type member func(w io.Writer) error

// crowd are clients that connect to one address at once.
type crowd struct {
	addr string
	// deaf clients do not read what they are sent.
	deaf bool
	done chan struct{}
	sent sync.WaitGroup
	open sync.WaitGroup
}

// gather starts a crowd and returns once each client has sent all or given up; those that were not refused
// stay connected until leave.
func gather(addr string, n int, m member) *crowd {
	return gatherCrowd(&crowd{addr: addr, done: make(chan struct{})}, n, m)
}

func gatherCrowd(c *crowd, n int, m member) *crowd {
	for range n {
		c.sent.Add(1)
		c.open.Add(1)
		go c.join(m)
	}
	c.sent.Wait()
	return c
}

func (c *crowd) leave() {
	close(c.done)
	c.open.Wait()
}

// join makes the attempts of one client.
func (c *crowd) join(m member) {
	defer c.open.Done()
	said := sync.OnceFunc(c.sent.Done)
	defer said()
	for range crowdAttempts {
		if c.attempt(m, said) {
			return
		}
	}
}

// attempt reports whether the client sent all and stayed until the crowd left.
func (c *crowd) attempt(m member, said func()) bool {
	conn, err := net.DialTimeout("tcp", c.addr, crowdPatience)
	if err != nil {
		return false
	}
	defer conn.Close()
	closed := make(chan struct{})
	if c.deaf {
		_ = conn.(*net.TCPConn).SetReadBuffer(1)
	} else {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdPatience))
	if m(conn) != nil {
		return false
	}
	said()
	select {
	case <-c.done:
		return true
	case <-closed:
		return false
	}
}

var crowdRequests atomic.Int64

// post is the head of a request with a body.
func post(path, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer k1\r\n%s\r\n\r\n",
		path, crowdRequests.Add(1), framing)
}

// announced sends all but the last byte of a body with a length, in pieces with a pause between them.
func announced(path string, length, piece int, pause time.Duration) member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, post(path, fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return pieces(w, length-1, piece, pause, "", "")
	}
}

// chunked sends a body in chunks without the last one.
func chunked(path string, length, chunk int) member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, post(path, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		b := bufio.NewWriterSize(w, 64<<10)
		if err := pieces(b, length, chunk, 0, fmt.Sprintf("%x\r\n", chunk), "\r\n"); err != nil {
			return err
		}
		return b.Flush()
	}
}

// pieces writes a number of bytes in pieces, each of them between two strings.
func pieces(w io.Writer, length, piece int, pause time.Duration, before, after string) error {
	raw := []byte(before + strings.Repeat("x", piece) + after)
	for sent := 0; sent < length; sent += piece {
		if length-sent < piece {
			raw = []byte(strings.Repeat("x", length-sent))
		}
		if _, err := w.Write(raw); err != nil {
			return err
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}

// headers sends headers without an end.
func headers(path string, length int) member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n"); err != nil {
			return err
		}
		const name = "X-Filler-%07d: "
		for n := 0; n < length; n += 1 << 10 {
			line := fmt.Sprintf(name, n)
			if _, err := io.WriteString(w, line+strings.Repeat("y", 1<<10-len(line)-2)+"\r\n"); err != nil {
				return err
			}
		}
		return nil
	}
}

// ahead sends a request and further ones behind it, without reading an answer.
func ahead(path string, length int) member {
	return func(w io.Writer) error {
		request := post(path, "Content-Length: 1000") + strings.Repeat("x", 1000)
		if _, err := io.WriteString(w, request); err != nil {
			return err
		}
		// What does not fit anywhere is not taken: that is no error here.
		go func() { _, _ = io.WriteString(w, strings.Repeat(request, length/len(request))) }()
		time.Sleep(2 * time.Second)
		return nil
	}
}

// whole sends a complete body.
func whole(path string, length int) member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, post(path, fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return pieces(w, length, 64<<10, 0, "", "")
	}
}

// oneByOne has one client after another send.
func oneByOne(m member) member {
	var turn sync.Mutex
	return func(w io.Writer) error {
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(50 * time.Millisecond)
		return m(w)
	}
}

// jsonBody sends a complete body of about the given length that repeats a text.
func jsonBody(path string, length int, before, repeated, after string) member {
	body := before + strings.Repeat(repeated, (length-len(before)-len(after))/len(repeated)) + after
	return func(w io.Writer) error {
		_, err := io.WriteString(w, post(path, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err
	}
}

// silent sends nothing.
func silent(io.Writer) error { return nil }

// usage is the most that an instance has used.
type usage struct{ unread, descriptors int }

// watchUsage samples what a process uses until the returned function is called.
func watchUsage(pid int, ports ...int) func() usage {
	stop, result := make(chan struct{}), make(chan usage)
	go func() {
		var u usage
		for {
			u.unread = max(u.unread, unreadBytes(ports))
			u.descriptors = max(u.descriptors, descriptors(pid))
			select {
			case <-stop:
				result <- u
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() usage {
		close(stop)
		return <-result
	}
}

func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// unreadBytes counts the bytes that connections to the given ports received or sent and nobody has read.
func unreadBytes(ports []int) (sum int) {
	raw, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		const state, queues, established, closeWait = 3, 4, "01", "08"
		if len(f) <= queues || f[state] != established && f[state] != closeWait {
			continue
		}
		_, hexPort, _ := strings.Cut(f[1], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		hexSent, hexReceived, _ := strings.Cut(f[queues], ":")
		for _, p := range ports {
			if int(port) == p {
				sent, _ := strconv.ParseInt(hexSent, 16, 64)
				received, _ := strconv.ParseInt(hexReceived, 16, 64)
				sum += int(sent + received)
			}
		}
	}
	return sum
}

// expectWithinBounds checks that a process lives and what it has used so far.
func expectWithinBounds(pid int, u usage) {
	Expect(syscall.Kill(pid, 0)).To(Succeed())
	peak := memoryOf(pid, "VmHWM")<<10 + u.unread
	GinkgoWriter.Printf("memory %d MiB, of which unread %d MiB, descriptors %d\n", peak>>20, u.unread>>20, u.descriptors)
	Expect(peak).To(BeNumerically("<=", maxCrowdMemory))
	Expect(u.descriptors).To(BeNumerically("<=", maxCrowdDescriptors))
}

func portOf(addr string) int {
	_, port, err := net.SplitHostPort(addr)
	Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// newCrowdSite starts a site whose instances have little memory and few descriptors.
func newCrowdSite() *platformSite {
	s := &platformSite{fleet: buildFleet(), store: storeserver.New(platformAddr(1)), settings: firstStart}
	s.instance = fmt.Sprintf("memory_mb = %d", crowdMemoryMB)
	s.descriptors = crowdDescriptors
	s.bodyBytes = crowdBody
	s.startServers(3, workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory})
	for i := range platformEntries {
		s.startEntry(i)
	}
	s.awaitReady()
	return s
}

// Guards against clients that end an instance, or take all of its memory or descriptors: bodies that are
// large and unfinished, heads without end, requests that nobody can answer, and mere connections.
var _ = Describe("a crowd at an instance", Ordered, ContinueOnFailure, testkit.Crowd, func() {
	var s *platformSite
	BeforeAll(func() { s = newCrowdSite() })
	AfterAll(func() { s.close() })
	BeforeEach(func() {
		for _, w := range append(s.engines, s.plain...) {
			w.ClearFaults()
		}
		s.signal("entry-0", syscall.SIGKILL)
		s.wait("entry-0")
		http.DefaultClient.CloseIdleConnections()
		s.startEntry(0)
		s.awaitReady()
	})

	front := platformAddr(100)
	directory := platformAddr(200)
	readiness := platformAddr(300)
	admin := platformAddr(500)

	// survives plays a crowd against the first instance.
	survivesCrowd := func(c *crowd, n int, m member) {
		pid := s.procs["entry-0"].Process.Pid
		used := watchUsage(pid, portOf(front), portOf(directory))
		gatherCrowd(c, n, m)
		time.Sleep(crowdStay)
		u := used()
		c.leave()
		for _, w := range append(s.engines, s.plain...) {
			w.ClearFaults()
		}
		expectWithinBounds(pid, u)
		Eventually(func() string {
			resp, err := http.DefaultClient.Do(attempt{path: "/look/1", id: "ordinary", key: "k1", body: "b"}.request(0))
			if err != nil {
				return err.Error()
			}
			return readBody(resp)
		}, "30s", "100ms").Should(Equal(workerserver.Body("ordinary")))
	}

	survives := func(addr string, n int, m member) { survivesCrowd(&crowd{addr: addr, done: make(chan struct{})}, n, m) }

	DescribeTable("of unfinished bodies leaves memory", func(n int, m member) { survives(front, n, m) },
		Entry("announced and sent at once", 80, announced("/look/1", crowdBody, 64<<10, 0)),
		Entry("announced and sent piece by piece", 80, announced("/look/1", crowdBody, 64<<10, 60*time.Millisecond)),
		Entry("announced for a stream", 80, announced("/ask/1", crowdBody, 64<<10, 0)),
		Entry("in large chunks", 80, chunked("/look/1", crowdBody-1, 256<<10)),
		Entry("in chunks of one byte", 150, chunked("/look/1", 1<<20, 1)),
		Entry("announced with 10 GiB", 150, announced("/look/1", 10<<30, 64<<10, 0)),
		Entry("of 32 MiB in chunks", 150, chunked("/look/1", 32<<20, 256<<10)),
		Entry("without a key that is known", 80, func(w io.Writer) error {
			return announced("/look/1", crowdBody, 64<<10, 0)(replacer{w, "Bearer k1", "Bearer k2"})
		}),
	)

	It("of finished bodies that wait for a server leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Mute}, 1000)...)
		}
		survives(front, 80, whole("/look/1", crowdBody))
	})

	It("that reads no answers leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Large}, 1000)...)
		}
		survivesCrowd(&crowd{addr: front, done: make(chan struct{}), deaf: true}, 80, oneByOne(whole("/look/1", 100)))
	})

	It("of requests sent ahead leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Mute}, 1000)...)
		}
		survives(front, 550, ahead("/look/1", 8<<20))
	})

	It("of heads without end leaves memory", func() { survives(front, 200, headers("/look/1", 1<<20)) })
	It("of heads without end at the directory leaves memory", func() { survives(directory, 200, headers("/resolve", 1<<20)) })
	It("of silent connections leaves descriptors", func() { survives(front, crowdDescriptors+100, silent) })
	It("of silent connections at the directory leaves descriptors", func() { survives(directory, crowdDescriptors+100, silent) })
	It("of heads without end at the admin address leaves memory", func() { survives(admin, 200, headers("/metrics", 1<<20)) })
	It("of silent connections at the admin address leaves descriptors", func() { survives(admin, crowdDescriptors+100, silent) })
	It("of silent connections at the readiness address leaves descriptors", func() { survives(readiness, crowdDescriptors+100, silent) })
	It("of unfinished bodies on all descriptors leaves memory and descriptors", func() {
		survives(front, crowdDescriptors+100, announced("/look/1", 256<<10, 64<<10, 0))
	})
})

// Guards against the same at the project's own interface, where parsing a body takes further memory.
var _ = Describe("a crowd at the project's own interface", Ordered, ContinueOnFailure, testkit.Crowd, func() {
	var f *fleet
	BeforeAll(func() {
		f = newFleet()
	})
	AfterAll(func() { f.stop() })
	BeforeEach(func() {
		f.signal("entry-1", syscall.SIGKILL)
		f.wait("entry-1")
		http.DefaultClient.CloseIdleConnections()
		f.startEntryWith(1, fmt.Sprintf("memory_mb = %d", crowdMemoryMB), crowdDescriptors)
		Eventually(func() int { return completion(addr(101), "ready?", 1).status }, "40s", "200ms").Should(Equal(200))
	})

	DescribeTable("leaves memory and descriptors", func(n int, m member) {
		pid := f.procs["entry-1"].Process.Pid
		used := watchUsage(pid, portOf(addr(101)))
		c := gather(addr(101), n, func(w io.Writer) error { return m(replacer{w, "Bearer k1", "Bearer " + dev.DemoKey}) })
		time.Sleep(crowdStay)
		u := used()
		c.leave()
		expectWithinBounds(pid, u)
		Eventually(func() int { return completion(addr(101), "ordinary", 1).status }, "40s", "200ms").Should(Equal(200))
	},
		Entry("to unfinished bodies with a length", 40, announced("/v1/completions", 8<<20, 64<<10, 0)),
		Entry("to unfinished bodies in chunks", 40, chunked("/v1/completions", 8<<20, 256<<10)),
		Entry("to finished bodies", 40, jsonBody("/v1/completions", 4<<20, `{"model":"tutor-feedback","max_tokens":4,"prompt":"`, "x", `"}`)),
		Entry("to bodies of many tiny messages", 4, jsonBody("/v1/chat/completions", 8<<20, `{"model":"tutor-feedback","messages":[`, `{},`, `{}]}`)),
		Entry("to bodies of many tiny parts of a message", 4,
			jsonBody("/v1/chat/completions", 8<<20, `{"model":"tutor-feedback","messages":[{"role":"user","content":[`, `{},`, `{}]}]}`)),
		Entry("to heads without end", 300, headers("/v1/models", 60<<10)),
		Entry("to silent connections", crowdDescriptors+100, silent),
	)
})

// replacer replaces a text in what is written.
type replacer struct {
	io.Writer
	old, new string
}

// Write implements io.Writer.
func (r replacer) Write(b []byte) (int, error) {
	if _, err := io.WriteString(r.Writer, strings.ReplaceAll(string(b), r.old, r.new)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// WriteString implements io.StringWriter.
func (r replacer) WriteString(s string) (int, error) { return r.Write([]byte(s)) }
