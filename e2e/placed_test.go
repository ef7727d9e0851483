package e2e

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Times of requests that are sent long after their server was chosen.
const (
	placedDelay = 1500 * time.Millisecond
	// placedWord is the time within which instances learn from the store that a server leaves.
	placedWord = time.Second
)

var _ = Describe("a request whose server was chosen before the store said that it leaves", testkit.ServerNotices, func() {
	// Guards against requests that reach a server long after its leaving was acknowledged, because only
	// their choice heeds the list.
	DescribeTable("is sent to another one", func(leave func(s *partitionedSite, id string)) {
		s, c := fleetOfThree()
		for i := range platformEntries {
			delaySends(fmt.Sprint("entry-", i), placedDelay)
		}
		DeferCleanup(sendDelays.Clear)
		var wg sync.WaitGroup
		served := make([]bool, 12)
		for i := range served {
			path := []string{lookPath, askPath, printPath}[i%3]
			wg.Go(func() {
				defer GinkgoRecover()
				served[i] = c.send(fmt.Sprint("placed-", i), path, i%platformEntries)
			})
		}
		time.Sleep(100 * time.Millisecond)
		leave(s, "p0")
		leave(s, "e0")
		left := time.Now()
		wg.Wait()
		Expect(requests(s.plain[0], left.Add(placedWord))).To(BeEmpty())
		Expect(requests(s.engines[0], left.Add(placedWord))).To(BeEmpty())
		Expect(served).NotTo(ContainElement(false))
	},
		Entry("whose entry is removed", func(s *partitionedSite, id string) { s.store.RemoveEntry(id) }),
		Entry("whose entry says so", func(s *partitionedSite, id string) {
			service, w := "registry", s.plain[0]
			if id == "e0" {
				service, w = "model", s.engines[0]
			}
			Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: service, Addr: w.Addr(), DataCentre: "dc-0", Slots: 4, Leaving: true})).To(Succeed())
		}),
	)
})
