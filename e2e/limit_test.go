package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// limitDelay is the time from the first answer with a limit until all instances keep to
	// it, limitWindow the length of the windows in which it holds, limitSlack the number of
	// requests that may be over it.
	limitDelay  = time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 2
)

// arrivals are the times from begin on at which requests reached a server.
func arrivals(w *workerserver.Server, begin time.Time) (out []time.Time) {
	for _, v := range w.Seen() {
		if v.At.After(begin) {
			out = append(out, v.At)
		}
	}
	return out
}

// busiestWindow is the greatest number of arrivals in one limitWindow.
func busiestWindow(at []time.Time) int { return busiest(at, limitWindow) }

// busiest is the greatest number of arrivals in any window of a length.
func busiest(at []time.Time, window time.Duration) (busiest int) {
	for i, begin := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(begin) < window {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	return busiest
}

// load sends requests at a constant rate to the instances in turn and counts those served.
func (s *partitionedSite) load(prefix string, perSecond int, d time.Duration, entry func(i int) int) (sent int, served int64) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		i := sent
		wg.Go(func() {
			defer GinkgoRecover()
			id := fmt.Sprint(prefix, "-", i)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(entry(i))
			if resp.StatusCode == 200 && body == completeStream(id) {
				ok.Add(1)
			} else {
				GinkgoWriter.Printf("%s: %d %s\n", id, resp.StatusCode, body)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return sent, ok.Load()
}

func inTurn(i int) int { return i % platformEntries }

var _ = Describe("a server that names a limit", Ordered, func() {
	var s *partitionedSite
	BeforeAll(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
	})
	AfterEach(func() {
		for _, e := range s.engines {
			e.SetLimit()
		}
		s.load("reset", 10, time.Second, func(int) int { return 0 })
	})

	// Guards against a server in need that gets as much as before, or as much from each instance.
	It("gets no more from all instances together and others take the rest", func() {
		begin := time.Now()
		s.engines[0].SetLimit("2.5")
		sent, served := s.load("one", 10, 7*time.Second, inTurn)
		Expect(served).To(Equal(int64(sent)))
		Expect(busiestWindow(arrivals(s.engines[0], begin.Add(limitDelay)))).To(BeNumerically("<=", 4*2.5+limitSlack))
	})

	// Guards against limits that are divided among instances whether or not they have requests.
	DescribeTable("has its limit used if all servers have one and callers wait", func(prefix string, entry func(int) int) {
		for _, e := range s.engines {
			e.SetLimit("2")
		}
		s.load(prefix+"-first", 10, 1500*time.Millisecond, entry)
		begin := time.Now()
		_, served := s.load(prefix, 15, 10*time.Second, entry)
		Expect(served).To(BeNumerically(">=", 0.9*3*2*10))
		for _, e := range s.engines {
			Expect(busiestWindow(arrivals(e, begin))).To(BeNumerically("<=", 4*2+limitSlack))
		}
	},
		Entry("at all instances", "all", inTurn),
		Entry("at one instance", "single", func(int) int { return 1 }),
	)

	It("gets requests as before once it names no limit any more", func() {
		s.engines[0].SetLimit("1")
		s.load("limited", 10, 2*time.Second, inTurn)
		s.engines[0].SetLimit()
		s.load("between", 10, 2*time.Second, inTurn)
		begin := time.Now()
		s.load("after", 10, 2*time.Second, inTurn)
		Expect(len(arrivals(s.engines[0], begin))).To(BeNumerically(">=", 5))
	})

	It("is used as if it named none if the limit cannot be read", func() {
		s.engines[0].SetLimit("-1")
		s.engines[1].SetLimit("few")
		s.engines[2].SetLimit("1", "1")
		sent, served := s.load("unreadable", 10, 2*time.Second, inTurn)
		Expect(served).To(Equal(int64(sent)))
		Expect(call("GET", "http://"+platformAddr(500)+"/admin/dump", "").body).NotTo(ContainSubstring("per_second"))
	})

	// Guards against two instances that give out permits for the same server while one is replaced.
	It("gets no more while an instance ends, and is used again after it", func() {
		for _, e := range s.engines {
			e.SetLimit("2")
		}
		survivors := func(i int) int { return i % 2 }
		s.load("before", 10, 1500*time.Millisecond, survivors)
		begin := time.Now()
		s.load("while", 15, 3*time.Second, survivors)
		s.kill(2)
		s.load("gone", 15, 6*time.Second, survivors)
		settled := time.Now()
		s.load("settled", 15, 6*time.Second, survivors)
		for _, e := range s.engines {
			Expect(busiestWindow(arrivals(e, begin))).To(BeNumerically("<=", 4*2+limitSlack))
			Expect(len(arrivals(e, settled))).To(BeNumerically(">=", 8))
		}
	})
})
