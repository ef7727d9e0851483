package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
	"github.com/auburnmoor/auburnmoor/result"
)

// sharedTime is how long the customers compete.
const sharedTime = 6 * time.Second

// customerCalls counts what a customer got.
type customerCalls struct{ served, overShare, otherRefusals atomic.Int64 }

var _ = Describe("a customer that sends ten times as much as each of eleven others", func() {
	var s *platformSite
	var calls []*customerCalls
	name := func(i int) string { return fmt.Sprint("customer-", i) }

	// send sends requests one after another to all instances in turn until a time.
	send := func(i, stream int, end time.Time) {
		code := fmt.Sprint(`"code":`, uint32(result.ShareExceeded))
		for n := 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("%s-%d-%d", name(i), stream, n)
			resp, body := attempt{path: "/ask/1", id: id, key: name(i), tokens: 20_000, body: "prompt"}.send((stream + n) % platformEntries)
			switch {
			case resp.StatusCode == 200:
				calls[i].served.Add(1)
			case strings.Contains(body, code):
				Expect(runs(s.engines, id)).To(BeZero())
				Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
				calls[i].overShare.Add(1)
			default:
				calls[i].otherRefusals.Add(1)
			}
			if resp.StatusCode != 200 {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}

	BeforeEach(func() {
		engine := workerserver.Config{Events: streamEvents, EventPause: 60 * time.Millisecond, Memory: engineMemory}
		s = newPlatformSiteUsing(firstStart+"fair_shares = true\n", 2, engine)
		DeferCleanup(func() { s.close() })
		var names []string
		calls = nil
		for i := range 12 {
			names, calls = append(names, name(i)), append(calls, new(customerCalls))
		}
		s.configureWith(storeserver.Site{Keys: []string{"k1"}, Customers: names})
		Eventually(func() int {
			resp, _ := attempt{path: "/ask/1", id: "known", key: name(11), tokens: 100, body: "prompt"}.send(2)
			return resp.StatusCode
		}, "5s", "100ms").Should(Equal(200))
	})

	// Guards against the refusal of customers within their share, and against refusals of requests that ran.
	It("is refused over its share, alone", func() {
		var wg sync.WaitGroup
		end := time.Now().Add(sharedTime)
		start := func(i, streams int) {
			for stream := range streams {
				wg.Go(func() {
					defer GinkgoRecover()
					send(i, stream, end)
				})
			}
		}
		start(0, 20)
		for i := 1; i < 12; i++ {
			start(i, 2)
		}
		wg.Wait()
		for i, c := range calls {
			GinkgoWriter.Printf("%s: %d served, %d over share, %d refused otherwise\n",
				name(i), c.served.Load(), c.overShare.Load(), c.otherRefusals.Load())
		}
		Expect(calls[0].overShare.Load()).To(BeNumerically(">", 0))
		Expect(calls[0].served.Load()).To(BeNumerically(">", 0))
		for i := 1; i < 12; i++ {
			Expect(calls[i].overShare.Load()).To(BeZero(), name(i))
		}
		for i := range platformEntries {
			var d struct {
				Loads loads.Dump `json:"control.loads"`
			}
			Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body), &d)).To(Succeed())
			Expect(d.Loads.Customers[0].Customer).To(Equal(name(0)))
			Expect(len(d.Loads.Customers)).To(BeNumerically(">=", 6), "usage of others")
		}
	})
})
