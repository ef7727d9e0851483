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
	// quarantineCrashes is the number of servers that a request may crash before it is
	// quarantined, quarantineDelay the time until all instances must know of it, and
	// maxLateAttempts the maximum number of its attempts that reach a server after that.
	quarantineCrashes = 3
	quarantineDelay   = 3 * time.Second
	maxLateAttempts   = 3
)

// attemptsAtEngines counts the attempts at all engines whose body contains the given text.
func (s *platformSite) attemptsAtEngines(body string) (n int) {
	for _, w := range s.engines {
		for _, v := range w.Seen() {
			if strings.Contains(v.Body, body) {
				n++
			}
		}
	}
	return n
}

func (s *platformSite) crashes() (n int) {
	for _, w := range s.engines {
		n += w.Crashes()
	}
	return n
}

// Guards against a fleet whose engines crash one after the other, so that most short prompts
// of all customers fail. One request crashes each engine that runs it, and its client sends
// it again to any instance. Without a quarantine shared by all instances, every client
// attempt is retried at a second engine, and the next one knows nothing of the crashes. The
// failed attempts share one identity at all instances and engines.
var _ = Describe("a request that crashes the servers that run it", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSiteWith(8, workerserver.Config{
			Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory, CrashOn: poisonBody, RestartAfter: 1500 * time.Millisecond,
		})
	})
	AfterAll(func() { s.close() })

	It("is quarantined at all instances after three servers have crashed", func() {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				attempt{path: "/ask/poison", id: fmt.Sprint("poison-", n), key: "k1", tokens: 900, body: poisonBody}.sendAndDiscard(n % 3)
			}
		})
		Eventually(s.crashes, "20s", "10ms").Should(BeNumerically(">=", quarantineCrashes))
		time.Sleep(quarantineDelay)
		before := s.attemptsAtEngines(poisonBody)
		time.Sleep(4 * time.Second)
		after := s.attemptsAtEngines(poisonBody)
		close(stop)
		wg.Wait()
		GinkgoWriter.Printf("%d engines crashed\n", s.crashes())
		Expect(after-before).To(BeNumerically("<=", maxLateAttempts), "%d engines crashed", s.crashes())
	})

	It("runs again once an operator has cleared it, and is quarantined again after as many crashes", func() {
		var d struct {
			Quarantine quarantine.Dump `json:"control.quarantine"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(501)+"/admin/dump", "").body), &d)).To(Succeed())
		Expect(d.Quarantine.Requests).To(HaveLen(1))
		Expect(d.Quarantine.Requests[0].Refused).To(BeTrue())
		crashesBefore := s.crashes()
		clear := "http://" + platformAddr(501) + "/admin/operate/control.quarantine/clear?subject="
		Expect(call("POST", clear+"nothing", "").status).To(Equal(400))
		Expect(call("POST", clear+d.Quarantine.Requests[0].Identity, "").status).To(Equal(204))
		for n := range 12 {
			attempt{path: "/ask/poison", id: fmt.Sprint("cleared-", n), key: "k1", tokens: 900, body: poisonBody}.sendAndDiscard(n % 3)
		}
		Expect(s.crashes() - crashesBefore).To(And(BeNumerically(">=", 1), BeNumerically("<=", quarantineCrashes+maxLateAttempts)))
	})

	It("is the only request refused, with a Retry-After header", func() {
		start := time.Now()
		resp, _ := attempt{path: "/ask/poison", id: "poison-last", key: "k1", tokens: 900, body: poisonBody}.send(0)
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		for i := range 12 {
			id := fmt.Sprint("other-", i)
			resp, body := attempt{path: "/ask/poison", id: id, key: "k1", tokens: 900, body: "an essay"}.send(i % 3)
			Expect(resp.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	})
})
