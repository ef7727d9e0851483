package e2e

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// serverSilence is how long servers fall silent, shorter than any client waits.
const serverSilence = 1800 * time.Millisecond

// engineOf returns the engine that runs a request, and the others.
func (s *platformSite) engineOf(id string) (running *workerserver.Server, others []*workerserver.Server) {
	for _, w := range s.engines {
		if w.Runs(id) > 0 {
			running = w
		} else {
			others = append(others, w)
		}
	}
	return running, others
}

func (s *platformSite) clearFaults() {
	for _, w := range append(s.engines, s.plain...) {
		w.ClearFaults()
		w.ClearSilences()
	}
}

// Guards against accepted requests that end without an answer because their server is silent.
var _ = Describe("a server that falls silent and goes on", Ordered, ContinueOnFailure, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSiteWith(3, workerserver.Config{Events: streamEvents, EventPause: 60 * time.Millisecond, Memory: engineMemory})
		time.Sleep(loanSettle)
	})
	AfterAll(func() { s.close() })
	AfterEach(func() { s.clearFaults() })

	DescribeTable("does not end a stream that no other server continues", func(at workerserver.SilencePoint, fault workerserver.Fault) {
		id := "silent-" + string(at) + "-" + string(fault)
		resp, err := http.DefaultClient.Do(attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.request(0))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		running, others := s.engineOf(id)
		for _, w := range others {
			w.Inject(fault, fault, fault)
		}
		running.SilenceAnswer(at, serverSilence)
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(completeStream(id)))
		Expect(running.PendingSilences()).To(BeZero())
	},
		Entry("because they reject it", workerserver.BetweenEvents, workerserver.Shed),
		Entry("because they break off", workerserver.InEvent, workerserver.Lost),
		Entry("because they fail", workerserver.InChunk, workerserver.Failed),
		Entry("because they are silent as well", workerserver.BetweenEvents, workerserver.Mute),
	)

	It("has its stream continued by another server before clients give up", func() {
		const id = "continued"
		resp, err := http.DefaultClient.Do(attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.request(0))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		running, _ := s.engineOf(id)
		running.SilenceAnswer(workerserver.InEvent, 4*time.Second)
		began := time.Now()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(completeStream(id)))
		Expect(runs(s.engines, id)).To(Equal(2))
		Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
	})

	DescribeTable("does not end a request before its answer", func(path string, at workerserver.SilencePoint, servers func() []*workerserver.Server) {
		for n, w := range servers() {
			w.SilenceAnswer(at, serverSilence)
			w.SilenceAnswer(at, serverSilence/time.Duration(n+2))
		}
		id := fmt.Sprint("before", path[1:4], at)
		resp, body := attempt{path: path, id: id, key: "k1", tokens: 900, body: "prompt"}.send(1)
		Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
	},
		Entry("of an engine", "/ask/1", workerserver.BeforeHead, func() []*workerserver.Server { return s.engines }),
		Entry("of an engine after the head", "/ask/1", workerserver.AfterHead, func() []*workerserver.Server { return s.engines }),
		Entry("of a service", "/look/1", workerserver.BeforeHead, func() []*workerserver.Server { return s.plain }),
		Entry("of a service, in the body", "/look/1", workerserver.InBody, func() []*workerserver.Server { return s.plain }),
		Entry("of a service that runs it once", "/print/1", workerserver.BeforeHead, func() []*workerserver.Server { return s.plain }),
		Entry("of a service that runs it once, in the body", "/print/1", workerserver.InBody, func() []*workerserver.Server { return s.plain }),
	)
})
