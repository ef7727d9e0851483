package e2e

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

var _ = Describe("what a server says of itself", testkit.ServerNotices, func() {
	var s *partitionedSite
	var c *callers
	BeforeEach(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
		DeferCleanup(healCuts)
		c = newCallers(s)
		c.run("before", 15, time.Second, askPath, lookPath, printPath)
	})

	// Guards against requests to a server that leaves while the store cannot say so.
	It("that it leaves, is heeded by all instances while the store is away", func() {
		s.store.SetFaults(storeserver.Faults{Down: true})
		noticed := time.Now()
		leaving := []*workerserver.Server{s.engines[0], s.plain[0]}
		for _, w := range leaving {
			w.SetLeaving(true)
		}
		c.run("leaving", 30, 4*time.Second, askPath, lookPath, printPath)
		for _, w := range leaving {
			Expect(c.sentDespiteNotice(w, noticed, heardTime)).To(BeEmpty())
			first, ok := firstTold(w, noticed)
			Expect(ok).To(BeTrue())
			Expect(c.sentAfter(w, first, newsTime, anyInstance)).To(BeEmpty())
		}
		Expect(c.served).To(Equal(c.sent))
	})

	// Guards against requests to a server that leaves which another instance carries.
	It("that it leaves, is heeded in calls that another instance makes", func() {
		cutOff("entry-0", cutRefused, allServers)
		c.run("cut", 15, time.Second, askPath, lookPath, printPath)
		noticed := time.Now()
		s.plain[0].SetLeaving(true)
		for i := range 60 {
			c.send(fmt.Sprint("carried-", i), lookPath, 0)
			time.Sleep(newsTime / 10)
		}
		first, ok := firstTold(s.plain[0], noticed)
		Expect(ok).To(BeTrue())
		Expect(c.sentAfter(s.plain[0], first, newsTime, anyInstance)).To(BeEmpty())
		Expect(c.sentDespiteNotice(s.plain[0], noticed, heardTime)).To(BeEmpty())
	})

	It("that it leaves, has callers refused at once if all servers of the service say so", func() {
		for _, w := range s.plain {
			w.SetLeaving(true)
		}
		c.run("last", 60, 500*time.Millisecond, lookPath)
		time.Sleep(newsTime)
		for i := range platformEntries {
			began := time.Now()
			resp, _ := attempt{path: printPath, id: fmt.Sprint("none-", i), key: "k1"}.send(i)
			Expect(resp.StatusCode).To(Equal(503))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
			Expect(runs(s.plain, fmt.Sprint("none-", i))).To(BeZero())
		}
	})
})
