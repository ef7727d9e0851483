package e2e

import (
	"fmt"
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

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// endlessAtOnce is the number of answers without end at once, maxMemoryGrowth what they may add to
	// the memory of the process in kB, maxEndlessTime the time in which the connection is closed.
	endlessAtOnce   = 200
	maxMemoryGrowth = 32 << 10
	maxEndlessTime  = time.Second
	// endlessSlots is the number of requests that a server of these tests takes at once.
	endlessSlots = 400
	// streamsBeside is how long streams are sent before and after the answers without end.
	streamsBeside = 300 * time.Millisecond
	// maxBeforeEjection is the number of requests that may reach a broken server before it is passed over.
	maxBeforeEjection = 6
)

// memory reads a value in kB from the memory status of an instance, VmRSS or its peak VmHWM.
func (s *platformSite) memory(entry int, name string) int {
	return memoryOf(s.procs[fmt.Sprint("entry-", entry)].Process.Pid, name)
}

// memoryOf is memory for a process.
func memoryOf(pid int, name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(raw), name+":")
	Expect(found).To(BeTrue())
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	Expect(err).NotTo(HaveOccurred())
	return n
}

// resetPeak resets the peak memory of an instance.
func (s *platformSite) resetPeak(entry int) {
	path := fmt.Sprintf("/proc/%d/clear_refs", s.procs[fmt.Sprint("entry-", entry)].Process.Pid)
	Expect(os.WriteFile(path, []byte("5"), 0)).To(Succeed())
}

// renew starts the first instance again and returns its memory in kB once it has served as many requests at once.
func (s *platformSite) renew(prefix string) int {
	s.signal("entry-0", syscall.SIGKILL)
	s.wait("entry-0")
	http.DefaultClient.CloseIdleConnections()
	s.startEntry(0)
	s.awaitReady()
	for n := range 3 {
		statuses, _ := sendAll(fmt.Sprint("ordinary-", prefix, "-", n), "/look/1", endlessAtOnce)
		Expect(statuses).To(HaveEach(http.StatusOK))
	}
	s.resetPeak(0)
	return s.memory(0, "VmRSS")
}

// configureEndless stores a configuration with routes of all kinds to the plain service.
func (s *platformSite) configureEndless() {
	s.version++
	route := func(name, kind, service string) storeserver.Route {
		return storeserver.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 8000}
	}
	Expect(s.store.PutSite(storeserver.Site{
		Version: s.version, Models: []string{"model"}, Plain: []string{"registry"}, EngineMemory: engineMemory, Keys: []string{"k1"},
		Routes: []storeserver.Route{
			route("ask", "streaming", "model"), route("look", "safe", "registry"), route("print", "unsafe", "registry"), route("feed", "streaming", "registry"),
		},
	})).To(Succeed())
}

func (s *platformSite) announceWide(id, addr string) {
	Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: "registry", Addr: addr, DataCentre: "dc-0", Slots: endlessSlots})).To(Succeed())
}

// sendAll sends requests at once to the first instance and returns their statuses and bodies.
func sendAll(prefix, path string, n int) (statuses []int, bodies []string) {
	statuses, bodies = make([]int, n), make([]string, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			defer GinkgoRecover()
			resp, err := http.DefaultClient.Do(attempt{path: path, id: fmt.Sprint(prefix, "-", i), key: "k1", body: "x"}.request(0))
			if err == nil {
				statuses[i], bodies[i] = resp.StatusCode, readBody(resp)
			}
		})
	}
	wg.Wait()
	return statuses, bodies
}

// askUntil sends streams to the first instance until it is stopped and then returns how many were sent and
// how many came whole.
func askUntil(prefix string, stop chan struct{}) func() (sent, whole int64) {
	var all sync.WaitGroup
	var sent, whole atomic.Int64
	all.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			all.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprint(prefix, "-ask-", n)
				sent.Add(1)
				resp, err := http.DefaultClient.Do(attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.request(0))
				if err == nil && readBody(resp) == completeStream(id) {
					whole.Add(1)
				}
			})
		}
	})
	return func() (int64, int64) {
		close(stop)
		all.Wait()
		return sent.Load(), whole.Load()
	}
}

// endlessOf counts the answers of servers with a fault and returns the longest time of one.
func endlessOf(f workerserver.Fault, servers ...*workerserver.Server) (n int, longest time.Duration) {
	for _, w := range servers {
		for _, a := range w.EndlessAnswers() {
			if a.Fault == f {
				n, longest = n+1, max(longest, a.Lasted)
			}
		}
	}
	return n, longest
}

// Guards against servers whose answers have no end: they fill the memory of the process and hold their
// requests until the deadline.
var _ = Describe("an answer without end", Ordered, ContinueOnFailure, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSiteUsing(fmt.Sprintf("[serve.relay]\nretry_extra = %d\nfirst_start = true\n", 10*endlessAtOnce), 3,
			workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory})
		s.configureEndless()
		for i, w := range s.plain {
			s.announceWide(fmt.Sprint("p", i), w.Addr())
		}
		time.Sleep(loanSettle)
	})
	AfterAll(func() { s.close() })

	// This table comes first: at most a third of the servers are passed over at once.
	// Guards against a broken server that stays in use because its answers are not counted as failures.
	DescribeTable("has its server counted as broken and another one asked", func(f workerserver.Fault) {
		id := "broken-" + string(f)
		w := s.startServer(id, "registry", workerserver.Config{DefaultFault: f})
		defer w.Close()
		s.announceWide(id, w.Addr())
		defer s.store.RemoveEntry(id)
		time.Sleep(time.Second)
		for range 6 {
			statuses, bodies := sendAll(id, "/look/1", 8)
			for i := range statuses {
				Expect(statuses[i]).To(Equal(http.StatusOK), bodies[i])
				Expect(bodies[i]).To(Equal(workerserver.Body(fmt.Sprint(id, "-", i))))
			}
		}
		Expect(len(w.Seen())).To(And(BeNumerically(">=", 1), BeNumerically("<=", maxBeforeEjection)))
	},
		Entry("if it is in the head", workerserver.EndlessHead),
		Entry("if it is in a line of the head", workerserver.EndlessLine),
		Entry("if the head is slow", workerserver.SlowHead),
		Entry("if it is in interim answers", workerserver.EndlessInterim),
		Entry("if it is in a trailer", workerserver.EndlessTrailer),
		Entry("if it is in an extension of a chunk", workerserver.EndlessExtension),
		Entry("if it is in the body", workerserver.EndlessBody),
		Entry("if it is in the chunks of a body", workerserver.EndlessChunks),
	)

	DescribeTable("ends within its bounds at all servers of a service", func(f workerserver.Fault, path string) {
		name := string(f) + strings.ReplaceAll(path, "/", "-")
		base := s.renew(name)
		if path == "/feed/1" {
			// Until then no retries are allowed.
			time.Sleep(loanSettle)
		}
		ended := func() int { n, _ := endlessOf(f, s.plain...); return n }
		endedBefore := ended()
		for _, w := range s.plain {
			w.Inject(slices.Repeat([]workerserver.Fault{f}, 3*endlessAtOnce)...)
		}
		finish := askUntil(name, make(chan struct{}))
		time.Sleep(streamsBeside)
		begun := time.Now()
		statuses, _ := sendAll("endless-"+name, path, endlessAtOnce)
		took := time.Since(begun)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		growth := s.memory(0, "VmHWM") - base
		time.Sleep(streamsBeside)
		sent, whole := finish()
		Eventually(ended, "10s", "50ms").Should(BeNumerically(">=", endedBefore+endlessAtOnce))
		answers, longest := endlessOf(f, s.plain...)
		GinkgoWriter.Printf("%s %s: %d kB more than %d, %d answers of %v at most, requests %v, %d of %d streams whole\n",
			f, path, growth, base, answers, longest, took, whole, sent)
		Expect(growth).To(BeNumerically("<=", maxMemoryGrowth))
		Expect(longest).To(BeNumerically("<=", maxEndlessTime))
		Expect(statuses).To(HaveEach(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusOK)))
		Expect(whole).To(Equal(sent))
	},
		Entry("in a head", workerserver.EndlessHead, "/print/1"),
		Entry("in a line of a head", workerserver.EndlessLine, "/print/1"),
		Entry("in interim answers", workerserver.EndlessInterim, "/print/1"),
		Entry("in a trailer", workerserver.EndlessTrailer, "/print/1"),
		Entry("in an extension of a chunk", workerserver.EndlessExtension, "/print/1"),
		Entry("in a body", workerserver.EndlessBody, "/print/1"),
		Entry("in the chunks of a body", workerserver.EndlessChunks, "/print/1"),
		Entry("in the head of a stream", workerserver.EndlessHead, "/feed/1"),
		Entry("in an event", workerserver.EndlessEvent, "/feed/1"),
		Entry("in an extension of a chunk of a stream", workerserver.EndlessExtension, "/feed/1"),
	)

	// Guards against bytes that fill buffers on connections that no request uses.
	It("that is whole before is answered and its connection closed", func() {
		base := s.renew("after")
		time.Sleep(loanSettle)
		w := s.startServer("after", "registry", workerserver.Config{DefaultFault: workerserver.EndlessAfter})
		defer w.Close()
		s.announceWide("after", w.Addr())
		defer s.store.RemoveEntry("after")
		time.Sleep(time.Second)
		statuses, bodies := sendAll("after", "/look/1", endlessAtOnce)
		for i := range statuses {
			Expect(statuses[i]).To(Equal(http.StatusOK), bodies[i])
			Expect(bodies[i]).To(Equal(workerserver.Body(fmt.Sprint("after-", i))))
		}
		sent := 0
		for _, v := range w.Seen() {
			if strings.HasPrefix(v.ID, "after-") {
				sent++
			}
		}
		Expect(sent).To(BeNumerically(">=", endlessAtOnce/8))
		Eventually(func() int { n, _ := endlessOf(workerserver.EndlessAfter, w); return n }, "10s", "50ms").Should(Equal(sent))
		_, longest := endlessOf(workerserver.EndlessAfter, w)
		Expect(longest).To(BeNumerically("<=", maxEndlessTime))
		Expect(s.memory(0, "VmHWM") - base).To(BeNumerically("<=", maxMemoryGrowth))
	})

	It("is not one whose server is silent for two seconds in its head", func() {
		for _, w := range s.plain {
			w.ClearFaults()
			w.Inject(workerserver.PausedHead)
		}
		resp, body := attempt{path: "/print/1", id: "paused", key: "k1", body: "x"}.send(0)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(workerserver.Body("paused")))
	})
})
