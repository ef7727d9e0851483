package e2e

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// restSlack is the time from a refusal from which requests count against it, restRequests the
	// number of requests that may come all the same.
	restSlack    = 500 * time.Millisecond
	restRequests = 2
)

var _ = Describe("a server that asked for rest", func() {
	// Guards against requests to a server that has turned the instance away and said for how long.
	It("gets none until its end", func() {
		s := newPartitionedSite()
		DeferCleanup(func() { s.close() })
		c := newCallers(s)
		c.run("before", 15, time.Second, askPath, lookPath, printPath)
		begin := time.Now()
		s.engines[0].SetRest("3", workerserver.RestTimes(3))
		s.plain[0].SetRest("3", workerserver.RestTimes(3))
		c.run("resting", 20, 6*time.Second, askPath, lookPath, printPath)
		Expect(requests(s.engines[0], begin)).To(ContainElement(HaveField("Status", 503)))
		Expect(requests(s.plain[0], begin)).To(ContainElement(HaveField("Status", 503)))
		engine := sentDuringRest(s.engines[0], begin, 3*time.Second, restSlack, restRequests)
		plain := sentDuringRest(s.plain[0], begin, 3*time.Second, restSlack, restRequests)
		Expect(append(engine, plain...)).To(BeEmpty())
	})
})
