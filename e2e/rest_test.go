package e2e

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// restSlack is the time from a refusal from which requests count against it, restRequests the
	// number of requests that may come all the same.
	restSlack    = 500 * time.Millisecond
	restRequests = 2
	// restHeard is the time from a refusal until the instance acts on it.
	restHeard = 100 * time.Millisecond
	// returnSpread is the time over which callers may be asked back, so that they do not all come as a rest ends.
	returnSpread = 2 * time.Second
)

var _ = Describe("a server that asked for rest", testkit.ServerNotices, func() {
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

	// Guards against a rest that is kept for some requests only, and against one that outlasts its end.
	DescribeTable("gets none from 0.1 s on, and some again after its end", func(id, path, value string, rest time.Duration) {
		s, c := fleetOfThree()
		w := s.server(id)
		begin := time.Now()
		w.SetRest(value, workerserver.RestTimes(1))
		sent, served := c.sent, c.served
		c.run("resting", pace(path), rest+2500*time.Millisecond, path)
		Expect(requests(w, begin)).To(ContainElement(HaveField("Status", 503)))
		Expect(sentDuringRest(w, begin, rest, restHeard, 0)).To(BeEmpty())
		Expect(requests(w, lastRefusal(w, begin).Add(rest))).NotTo(BeEmpty())
		Expect(c.served - served).To(BeNumerically(">=", 0.97*float64(c.sent-sent)))
	},
		Entry("an engine, 1 s", "e0", askPath, "1", time.Second),
		Entry("an engine, 3 s", "e0", askPath, "3", 3*time.Second),
		Entry("a plain server, 1 s", "p0", lookPath, "1", time.Second),
		Entry("a plain server, 3 s", "p0", lookPath, "3", 3*time.Second),
		Entry("requests that must not be repeated, 3 s", "p0", printPath, "3", 3*time.Second),
		Entry("a fraction of a second", "p0", lookPath, "1.5", 1500*time.Millisecond),
	)

	// Guards against values that take a server out for longer than anybody asked for.
	DescribeTable("without a time that can be read is used again", func(value string) {
		s, c := fleetOfThree()
		begin := time.Now()
		s.plain[0].SetRest(value, workerserver.RestTimes(2))
		s.engines[0].SetRest(value, workerserver.RestTimes(2))
		sent, served := c.sent, c.served
		c.run("unreadable", 18, 4*time.Second, askPath, lookPath)
		for _, w := range []*workerserver.Server{s.plain[0], s.engines[0]} {
			Expect(requests(w, begin)).To(ContainElement(HaveField("Status", 503)))
			Expect(requests(w, lastRefusal(w, begin))).NotTo(BeEmpty())
		}
		Expect(c.served - served).To(BeNumerically(">=", 0.97*float64(c.sent-sent)))
	},
		Entry("zero", "0"),
		Entry("negative", "-1"),
		Entry("text", "soon"),
		Entry("infinite", "Inf"),
		Entry("a date that has passed", "Mon, 02 Jan 2006 15:04:05 GMT"),
	)

	It("until a date gets none before and some after it", func() {
		s, c := fleetOfThree()
		// Dates have whole seconds.
		end := time.Now().Add(4 * time.Second).Truncate(time.Second)
		begin := time.Now()
		s.plain[0].SetRest(end.UTC().Format(http.TimeFormat), workerserver.RestTimes(1))
		c.run("date", 25, time.Until(end)+3*time.Second, lookPath)
		refused := lastRefusal(s.plain[0], begin)
		Expect(refused).To(BeTemporally(">", begin))
		var asked string
		for _, a := range requests(s.plain[0], begin) {
			if a.Status == 503 {
				asked = a.Sender
			}
		}
		for _, a := range requests(s.plain[0], refused.Add(restHeard)) {
			if a.Sender == asked {
				Expect(a.At).To(BeTemporally(">", end.Add(-time.Second)))
			}
		}
		Expect(requests(s.plain[0], end)).NotTo(BeEmpty())
	})

	It("of ten digits is used within a second of the entry of its next life", func() {
		s, c := fleetOfThree()
		begin := time.Now()
		s.plain[0].SetRest("9999999999")
		c.run("long", 25, time.Second, lookPath)
		Expect(requests(s.plain[0], begin)).To(ContainElement(HaveField("Status", 503)))
		s.plain[0].Close()
		entered := time.Now()
		next := s.replace("p0", "registry", "127.0.0.1:0", secondLife)
		c.run("anew", 25, usedAgainTime, lookPath)
		Expect(requests(next, entered)).NotTo(BeEmpty())
	})

	// Guards against a server that asks for rest for ever and costs callers more than its own share.
	It("again and again gets few requests, and all callers are served", func() {
		s, c := fleetOfThree()
		begin := time.Now()
		s.plain[0].SetRest("1")
		s.engines[0].SetRest("1")
		sent, served := c.sent, c.served
		c.run("always", 18, 6*time.Second, askPath, lookPath)
		Expect(sentDuringRest(s.plain[0], begin, time.Second, restHeard, 0)).To(BeEmpty())
		Expect(sentDuringRest(s.engines[0], begin, time.Second, restHeard, 0)).To(BeEmpty())
		Expect(c.served - served).To(BeNumerically(">=", 0.97*float64(c.sent-sent)))
	})

	It("of one instance gets those of the others", func() {
		s, c := fleetOfThree()
		begin := time.Now()
		s.plain[0].SetRest("3", workerserver.RestSender("entry-1"))
		c.run("one", 25, 4*time.Second, lookPath)
		Expect(requests(s.plain[0], begin)).To(ContainElement(HaveField("Status", 503)))
		Expect(sentDuringRest(s.plain[0], begin, 3*time.Second, restHeard, 0)).To(BeEmpty())
		Expect(requests(s.plain[0], lastRefusal(s.plain[0], begin))).To(ContainElement(HaveField("Sender", Not(Equal("entry-1")))))
	})

	It("gets neither resumed streams nor parts of prompts nor reservations of that instance", func() {
		s, c := fleetOfThree()
		w := s.engines[0]
		begin := time.Now()
		c.run("more", 15, 2*time.Second, askPath, lookPath)
		w.SetRest("60", workerserver.RestTimes(1), workerserver.RestSender("entry-0"))
		for i := 0; i < 60 && lastRefusal(w, begin).IsZero(); i++ {
			c.send(fmt.Sprint("refused-", i), askPath, 0)
		}
		Expect(lastRefusal(w, begin)).NotTo(BeZero())
		settled := time.Now().Add(restHeard)
		time.Sleep(restHeard)
		for i := range 4 {
			s.engines[1].Inject(workerserver.Cut)
			s.engines[2].Inject(workerserver.Cut)
			c.send(fmt.Sprint("resumed-", i), askPath, 0)
		}
		s.engines[1].ClearFaults()
		s.engines[2].ClearFaults()
		Expect(s.resumed(settled)).NotTo(BeZero())
		s.sendLarge("large", 3)
		Expect(requests(w, settled)).NotTo(ContainElement(HaveField("Sender", "entry-0")))
		Expect(s.helpedBy(w, settled)).To(BeZero())
		Expect(orders(w, settled)).To(BeZero())
	})

	// Guards against callers that wait, or are sent away for longer, while all servers rest.
	It("rests with all others, and requests are refused at once until the first rest ends", func() {
		s, c := fleetOfThree()
		begin := time.Now()
		s.plain[0].SetRest("20")
		s.plain[1].SetRest("3")
		s.plain[2].SetRest("10")
		c.run("all", 40, 700*time.Millisecond, lookPath)
		var last time.Time
		for i := range platformEntries {
			end := s.firstRestEnds(fmt.Sprint("entry-", i), begin, map[string]time.Duration{
				"p0": 20 * time.Second, "p1": 3 * time.Second, "p2": 10 * time.Second,
			})
			left := time.Until(end)
			wait := c.expectRefusedAtOnce(fmt.Sprint("resting-", i), lookPath, i)
			Expect(wait).To(And(BeNumerically(">", left-restHeard), BeNumerically("<", left+returnSpread)))
			if end.After(last) {
				last = end
			}
		}
		for _, w := range s.plain {
			w.EndRest()
		}
		time.Sleep(time.Until(last))
		for i := range platformEntries {
			Expect(c.send(fmt.Sprint("rested-", i), lookPath, i)).To(BeTrue())
		}
	})
})

// lastRefusal is when a server last turned a request away after a time.
func lastRefusal(w *workerserver.Server, after time.Time) (at time.Time) {
	for _, a := range requests(w, after) {
		if a.Status == 503 {
			at = a.AnsweredAt
		}
	}
	return at
}

// firstRestEnds is when the first rest ends that servers asked of an instance, which all of them did.
func (s *partitionedSite) firstRestEnds(instance string, begin time.Time, rests map[string]time.Duration) (first time.Time) {
	GinkgoHelper()
	for id, rest := range rests {
		var end time.Time
		for _, a := range requests(s.server(id), begin) {
			if a.Sender == instance && a.Status == 503 {
				end = a.AnsweredAt.Add(rest)
			}
		}
		Expect(end).NotTo(BeZero(), "%s asked %s for no rest", id, instance)
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}
