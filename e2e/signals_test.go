package e2e

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// signalledEventPause makes streams last through the first two seconds of a drain.
	signalledEventPause = 200 * time.Millisecond
	// signalInterval keeps the kernel from merging equal signals.
	signalInterval = 30 * time.Millisecond
	// maxDrain is the time to drain of these instances, with room for a busy machine.
	maxDrain = 12 * time.Second
)

// Guards against a drain that a further signal ends, with all streams of the instance.
var _ = Describe("an instance that shuts down with streams in progress", Ordered, ContinueOnFailure, func() {
	const entry, name = 2, "entry-2"
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSiteWith(4, workerserver.Config{Events: streamEvents, EventPause: signalledEventPause, Memory: engineMemory})
	})
	AfterAll(func() { s.close() })
	AfterEach(func() {
		if cmd := s.procs[name]; cmd != nil {
			_ = cmd.Process.Kill()
			s.wait(name)
		}
		s.startEntry(entry)
		s.awaitReady()
	})

	startStreams := func(ids []string) (wait func() []string) {
		bodies := make([]string, len(ids))
		requests := make([]*http.Request, len(ids))
		for i, id := range ids {
			requests[i] = attempt{path: "/ask/1", id: id, key: "k1", tokens: 400}.request(entry)
		}
		var streams sync.WaitGroup
		for i := range ids {
			streams.Go(func() {
				if resp, err := http.DefaultClient.Do(requests[i]); err == nil {
					bodies[i] = readBody(resp)
				}
			})
		}
		for _, id := range ids {
			Eventually(func() int { return runs(s.engines, id) }, "3s", "5ms").Should(Equal(1))
		}
		return func() []string {
			streams.Wait()
			return bodies
		}
	}
	DescribeTable("drains to its end whatever signals follow", func(signals ...syscall.Signal) {
		prefix := ""
		for _, sig := range signals {
			prefix += sig.String() + "-"
		}
		var ids, whole []string
		for _, suffix := range []string{"a", "b", "c", "d"} {
			ids = append(ids, prefix+suffix)
			whole = append(whole, completeStream(prefix+suffix))
		}
		wait := startStreams(ids)
		for _, sig := range signals {
			s.signal(name, sig)
			time.Sleep(signalInterval)
		}
		Expect(wait()).To(Equal(whole))
		exited := make(chan error, 1)
		cmd := s.procs[name]
		delete(s.procs, name)
		go func() { exited <- cmd.Wait() }()
		Eventually(exited, maxDrain).Should(Receive(BeNil()))
		log := s.logOf(name)
		Expect(log).To(ContainSubstring(`"stopped"`))
		if slices.Contains(signals[slices.Index(signals, syscall.SIGTERM):], syscall.SIGHUP) {
			Expect(log).To(ContainSubstring(`"SIGHUP ignored while draining"`))
		}
	},
		Entry("SIGTERM, SIGHUP", syscall.SIGTERM, syscall.SIGHUP),
		Entry("SIGHUP, SIGTERM, SIGHUP twice", syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP),
		Entry("SIGTERM twice, SIGINT", syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT),
		Entry("SIGTERM, SIGHUP, SIGTERM, SIGHUP", syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP),
	)
})
