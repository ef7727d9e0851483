package e2e

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

var _ = Describe("the rest that servers ask for", testkit.ServerNotices, func() {
	var s *partitionedSite
	var c *callers
	BeforeEach(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
		c = newCallers(s)
		c.run("before", 15, time.Second, askPath, lookPath, printPath)
	})

	// Guards against repeats at a service whose servers all rest, and against callers who come back
	// before the rests end.
	It("has callers refused at once with the time left if all servers of the service want it", func() {
		const rest = 3 * time.Second
		begin := time.Now()
		for _, w := range s.plain {
			w.SetRest("3")
		}
		c.run("asking", 60, time.Second, lookPath)
		for i := range platformEntries {
			asked := time.Now()
			resp, _ := attempt{path: printPath, id: fmt.Sprint("resting-", i), key: "k1"}.send(i)
			Expect(resp.StatusCode).To(Equal(503))
			Expect(time.Since(asked)).To(BeNumerically("<", 200*time.Millisecond))
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			back := asked.Add(time.Duration(seconds * float64(time.Second)))
			Expect(back).To(BeTemporally(">", begin.Add(rest)), "before the end of any rest")
			Expect(back).To(BeTemporally("<", begin.Add(rest+time.Second+2*time.Second)))
		}
		for _, w := range s.plain {
			Expect(sentDuringRest(w, begin, rest, 100*time.Millisecond, 0)).To(BeEmpty())
		}
		for _, w := range s.plain {
			w.EndRest()
		}
		Eventually(func() bool { return c.send(fmt.Sprint("rested-", time.Now().UnixNano()), lookPath, 0) }, "4s", "100ms").Should(BeTrue())
	})

	It("of one instance costs only the share of that one", func() {
		begin := time.Now()
		s.plain[0].SetRest("3", workerserver.RestSender("entry-1"))
		c.run("one", 60, 2*time.Second, lookPath)
		Expect(sentDuringRest(s.plain[0], begin, 3*time.Second, 100*time.Millisecond, 0)).To(BeEmpty())
		others := slices.DeleteFunc(requests(s.plain[0], begin.Add(time.Second)), func(a workerserver.Arrival) bool { return a.Sender == "entry-1" })
		Expect(others).NotTo(BeEmpty())
		Expect(c.served).To(Equal(c.sent))
	})
})
