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
func busiestWindow(at []time.Time) (busiest int) {
	for i, begin := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(begin) < limitWindow {
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
		s.load("reset", 20, time.Second, inTurn)
	})

	// Guards against a server in need that gets as much as before, or as much from each instance.
	It("gets no more from all instances together and others take the rest", func() {
		begin := time.Now()
		s.engines[0].SetLimit("2.5")
		sent, served := s.load("one", 20, 7*time.Second, inTurn)
		Expect(served).To(Equal(int64(sent)))
		Expect(busiestWindow(arrivals(s.engines[0], begin.Add(limitDelay)))).To(BeNumerically("<=", 4*2.5+limitSlack))
	})
})
