package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	poisonBody = "query of death"
	// crashesKnown is the number of servers that one request may end before it is known
	// for it, knownWithin the time in which all instances must have heard, and mayFollow
	// the most that reach a server after that.
	crashesKnown = 3
	knownWithin  = 3 * time.Second
	mayFollow    = 3
)

// reached counts the attempts of a body at the engines.
func (s *estate) reached(body string) (n int) {
	for _, w := range s.engines {
		for _, v := range w.Seen() {
			if strings.Contains(v.Body, body) {
				n++
			}
		}
	}
	return n
}

func (s *estate) crashes() (n int) {
	for _, w := range s.engines {
		n += w.Crashes()
	}
	return n
}

// Engines end one after the other, and most short prompts of all customers fail with
// them. One request ends each engine that runs it; its caller sends it again, at any
// instance. Each client attempt was sent to a second engine, and nothing was known of the
// request at the next one, there or at another instance: lines of failed attempts have one
// identity, at all instances and every engine that ended.
var _ = Describe("a request that crashes the servers that run it", Ordered, func() {
	var s *estate
	BeforeAll(func() {
		s = newEstateOf(8, workerserver.Config{
			Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory, CrashOn: poisonBody, RestartAfter: 1500 * time.Millisecond,
		})
	})
	AfterAll(func() { s.close() })

	It("is known to all instances after three servers have ended", func() {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				attempt{path: "/ask/poison", id: fmt.Sprint("poison-", n), key: "k1", tokens: 900, body: poisonBody}.try(n % 3)
			}
		})
		Eventually(s.crashes, "20s", "10ms").Should(BeNumerically(">=", crashesKnown))
		time.Sleep(knownWithin)
		before := s.reached(poisonBody)
		time.Sleep(4 * time.Second)
		after := s.reached(poisonBody)
		close(stop)
		wg.Wait()
		GinkgoWriter.Printf("%d engines ended\n", s.crashes())
		Expect(after-before).To(BeNumerically("<=", mayFollow), "%d engines ended", s.crashes())
	})

	It("is run again once an operator cleared it, and known again after it crashed as many", func() {
		var d struct {
			Quarantine quarantine.Dump `json:"control.quarantine"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+estateAddr(501)+"/admin/dump", "").body), &d)).To(Succeed())
		Expect(d.Quarantine.Requests).To(HaveLen(1))
		Expect(d.Quarantine.Requests[0].Refused).To(BeTrue())
		ended := s.crashes()
		clear := "http://" + estateAddr(501) + "/admin/operate/control.quarantine/clear?subject="
		Expect(call("POST", clear+"nothing", "").status).To(Equal(400))
		Expect(call("POST", clear+d.Quarantine.Requests[0].Identity, "").status).To(Equal(204))
		for n := range 12 {
			attempt{path: "/ask/poison", id: fmt.Sprint("cleared-", n), key: "k1", tokens: 900, body: poisonBody}.try(n % 3)
		}
		Expect(s.crashes() - ended).To(And(BeNumerically(">=", 1), BeNumerically("<=", crashesKnown+mayFollow)))
	})

	It("is the only one refused and learns when to come back", func() {
		began := time.Now()
		resp, _ := attempt{path: "/ask/poison", id: "poison-last", key: "k1", tokens: 900, body: poisonBody}.send(0)
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		for i := range 12 {
			id := fmt.Sprint("other-", i)
			resp, body := attempt{path: "/ask/poison", id: id, key: "k1", tokens: 900, body: "an essay"}.send(i % 3)
			Expect(resp.StatusCode).To(Equal(200))
			Expect(body).To(Equal(wholeStream(id)))
		}
	})
})
