package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/crowd"
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
)

// crowdRequest is a request of a crowd to a path.
func crowdRequest(path string) crowd.Request {
	return crowd.Request{Path: path, Host: "h.example", Key: "k1", IDPrefix: "crowd", Header: "X-Deadline-Ms: 60000\r\n"}
}

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
	survivesCrowd := func(c *crowd.Crowd, n int, m crowd.Member) {
		pid := s.procs["entry-0"].Process.Pid
		used := watchUsage(pid, portOf(front), portOf(directory))
		c.Gather(n, m)
		time.Sleep(crowdStay)
		u := used()
		c.Leave()
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

	survives := func(addr string, n int, m crowd.Member) {
		survivesCrowd(&crowd.Crowd{Addr: addr, Attempts: crowdAttempts}, n, m)
	}

	DescribeTable("of unfinished bodies leaves memory", func(n int, m crowd.Member) { survives(front, n, m) },
		Entry("announced and sent at once", 80, crowdRequest("/look/1").Announced(crowdBody, 0)),
		Entry("announced and sent piece by piece", 80, crowdRequest("/look/1").Announced(crowdBody, 60*time.Millisecond)),
		Entry("announced for a stream", 80, crowdRequest("/ask/1").Announced(crowdBody, 0)),
		Entry("in large chunks", 80, crowdRequest("/look/1").Chunked(crowdBody-1, 256<<10)),
		Entry("in chunks of one byte", 150, crowdRequest("/look/1").Chunked(1<<20, 1)),
		Entry("announced with 10 GiB", 150, crowdRequest("/look/1").Announced(10<<30, 0)),
		Entry("of 32 MiB in chunks", 150, crowdRequest("/look/1").Chunked(32<<20, 256<<10)),
		Entry("without a key that is known", 80, func(w io.Writer) error {
			return crowdRequest("/look/1").Announced(crowdBody, 0)(replacer{w, "Bearer k1", "Bearer k2"})
		}),
	)

	It("of finished bodies that wait for a server leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Mute}, 1000)...)
		}
		survives(front, 80, crowdRequest("/look/1").Whole(crowdBody))
	})

	It("that reads no answers leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Large}, 1000)...)
		}
		survivesCrowd(&crowd.Crowd{Addr: front, Attempts: crowdAttempts, Deaf: true}, 80, crowd.OneByOne(crowdRequest("/look/1").Whole(100)))
	})

	It("of requests sent ahead leaves memory", func() {
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{workerserver.Mute}, 1000)...)
		}
		survives(front, 550, crowdRequest("/look/1").Ahead(8<<20))
	})

	It("of heads without end leaves memory", func() { survives(front, 200, crowdRequest("/look/1").Headers(1<<20)) })
	It("of heads without end at the directory leaves memory", func() { survives(directory, 200, crowdRequest("/resolve").Headers(1<<20)) })
	It("of silent connections leaves descriptors", func() { survives(front, crowdDescriptors+100, crowd.Silent) })
	It("of silent connections at the directory leaves descriptors", func() { survives(directory, crowdDescriptors+100, crowd.Silent) })
	It("of heads without end at the admin address leaves memory", func() { survives(admin, 200, crowdRequest("/metrics").Headers(1<<20)) })
	It("of silent connections at the admin address leaves descriptors", func() { survives(admin, crowdDescriptors+100, crowd.Silent) })
	It("of silent connections at the readiness address leaves descriptors", func() { survives(readiness, crowdDescriptors+100, crowd.Silent) })
	It("of unfinished bodies on all descriptors leaves memory and descriptors", func() {
		survives(front, crowdDescriptors+100, crowdRequest("/look/1").Announced(256<<10, 0))
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

	DescribeTable("leaves memory and descriptors", func(n int, m crowd.Member) {
		pid := f.procs["entry-1"].Process.Pid
		used := watchUsage(pid, portOf(addr(101)))
		c := (&crowd.Crowd{Addr: addr(101), Attempts: crowdAttempts}).Gather(n, func(w io.Writer) error { return m(replacer{w, "Bearer k1", "Bearer " + dev.DemoKey}) })
		time.Sleep(crowdStay)
		u := used()
		c.Leave()
		expectWithinBounds(pid, u)
		Eventually(func() int { return completion(addr(101), "ordinary", 1).status }, "40s", "200ms").Should(Equal(200))
	},
		Entry("to unfinished bodies with a length", 40, crowdRequest("/v1/completions").Announced(8<<20, 0)),
		Entry("to unfinished bodies in chunks", 40, crowdRequest("/v1/completions").Chunked(8<<20, 256<<10)),
		Entry("to finished bodies", 40, crowdRequest("/v1/completions").JSON(4<<20, `{"model":"tutor-feedback","max_tokens":4,"prompt":"`, "x", `"}`)),
		Entry("to bodies of many tiny messages", 4, crowdRequest("/v1/chat/completions").JSON(8<<20, `{"model":"tutor-feedback","messages":[`, `{},`, `{}]}`)),
		Entry("to bodies of many tiny parts of a message", 4,
			crowdRequest("/v1/chat/completions").JSON(8<<20, `{"model":"tutor-feedback","messages":[{"role":"user","content":[`, `{},`, `{}]}]}`)),
		Entry("to heads without end", 300, crowdRequest("/v1/models").Headers(60<<10)),
		Entry("to silent connections", crowdDescriptors+100, crowd.Silent),
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
