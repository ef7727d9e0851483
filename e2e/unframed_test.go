package e2e

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Guards against streams without a length that look complete after their connection broke, or
// that are cut off although it ended in order.
var _ = Describe("a stream without a length", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSite()
		// Until then no retries are allowed.
		time.Sleep(loanSettle)
	})
	AfterAll(func() { s.close() })

	DescribeTable("is complete", func(f workerserver.Fault, attempts int) {
		id := "whole-" + string(f)
		for _, w := range s.engines {
			w.ClearFaults()
			w.Inject(f)
		}
		resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(0)
		Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal(completeStream(id)))
		Expect(runs(s.engines, id)).To(Equal(attempts))
		// The caller's connection serves the next request.
		for _, w := range s.engines {
			w.ClearFaults()
		}
		_, next := attempt{path: "/ask/1", id: "next-" + id, key: "k1", tokens: 900, body: "prompt"}.send(0)
		Expect(next).To(Equal(completeStream("next-" + id)))
	},
		Entry("if its connection ends in order between events", workerserver.UnframedStream, 1),
		Entry("once it is resumed if it ends inside an event", workerserver.UnframedCut, 2),
		Entry("once it is resumed if it is reset between events", workerserver.UnframedReset, 2),
	)

	It("whose head is cut is sent by another engine", func() {
		for i, w := range s.engines {
			w.ClearFaults()
			if i == 0 {
				w.Inject(workerserver.UnframedHead)
			}
		}
		for n := range 6 {
			id := "head-" + string(rune('a'+n))
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(n % platformEntries)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	})
})
