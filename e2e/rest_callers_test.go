package e2e

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// burstRatio bounds the arrivals in the second after a rest by those in the next second.
const burstRatio = 1.5

// maxReturns bounds how often a patient caller comes back.
const maxReturns = 5

// sendUntilServed sends a request as patient callers do: again when they are asked back.
func sendUntilServed(id string, entry int) {
	for n := range maxReturns {
		resp, body := attempt{path: lookPath, id: fmt.Sprint(id, "-", n), key: "k1"}.send(entry)
		if resp.StatusCode == 200 {
			return
		}
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred(), body)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

var _ = Describe("a rest of servers", func() {
	AfterEach(healCuts)

	// Guards against an instance that sends to a resting server for another that has no path to it.
	It("is kept for requests that an instance carries for another", func() {
		s, c := fleetOfThree()
		cutOff("entry-0", cutRefused, allServers)
		begin := time.Now()
		s.plain[0].SetRest("3", workerserver.RestTimes(2))
		for i := 0; time.Since(begin) < 5*time.Second; i++ {
			c.send(fmt.Sprint("carried-", i), lookPath, 0)
			time.Sleep(40 * time.Millisecond)
		}
		Expect(requests(s.plain[0], begin)).To(ContainElement(HaveField("Status", 503)))
		Expect(requests(s.plain[0], begin)).NotTo(ContainElement(HaveField("Sender", "entry-0")))
		Expect(sentDuringRest(s.plain[0], begin, 3*time.Second, restHeard, 0)).To(BeEmpty())
	})

	// Guards against callers that are all asked back at the moment at which the rests end.
	It("is not followed by a burst if callers come back when they are asked to", func() {
		s, c := fleetOfThree()
		for _, w := range s.plain {
			w.SetRest("3")
		}
		c.run("asked", 30, 700*time.Millisecond, lookPath)
		var end time.Time
		rests := map[string]time.Duration{"p0": 3 * time.Second, "p1": 3 * time.Second, "p2": 3 * time.Second}
		for i := range platformEntries {
			if first := s.firstRestEnds(fmt.Sprint("entry-", i), time.Now().Add(-time.Minute), rests); end.IsZero() || first.Before(end) {
				end = first
			}
		}
		for _, w := range s.plain {
			w.EndRest()
		}
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				defer GinkgoRecover()
				sendUntilServed(fmt.Sprint("patient-", i), i%platformEntries)
			})
			time.Sleep(4 * time.Millisecond)
		}
		wg.Wait()
		first, next := 0, 0
		for _, w := range s.plain {
			for _, a := range requests(w, end) {
				switch since := a.At.Sub(end); {
				case since < time.Second:
					first++
				case since < 2*time.Second:
					next++
				}
			}
		}
		Expect(first + next).To(BeNumerically(">", 150))
		Expect(first).To(BeNumerically("<=", burstRatio*float64(next)))
	})
})
