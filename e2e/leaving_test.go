package e2e

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// drainTime is how long instances may take from an answer in which a server says that it leaves
// until they send nothing more to it.
const drainTime = 2 * time.Second

var _ = Describe("a server that says it leaves", testkit.ServerNotices, func() {
	// Guards against requests to a server that says in its answers that it leaves while the store still lists it as ready.
	It("gets no request from instances that passed this on", func() {
		s := newPartitionedSite()
		DeferCleanup(func() { s.close() })
		c := newCallers(s)
		c.run("before", 15, time.Second, askPath, lookPath, printPath)
		noticed := time.Now()
		s.engines[0].SetLeaving(true)
		s.plain[0].SetLeaving(true)
		c.run("leaving", 15, 5*time.Second, askPath, lookPath, printPath)
		Expect(told(s.engines[0], noticed)).NotTo(BeEmpty())
		Expect(told(s.plain[0], noticed)).NotTo(BeEmpty())
		engine := c.sentDespiteNotice(s.engines[0], noticed, drainTime)
		plain := c.sentDespiteNotice(s.plain[0], noticed, drainTime)
		Expect(append(engine, plain...)).To(BeEmpty())
	})

	// Guards against a word that is read in some answers only, or not without the store.
	DescribeTable("gets none sent 50 ms after", func(id, path string, says workerserver.Fault, frozen bool) {
		s, c := fleetOfThree()
		if frozen {
			s.freezeStore()
		}
		w := s.server(id)
		noticed := time.Now()
		w.Inject(says)
		w.SetLeaving(true)
		sent, served := c.sent, c.served
		c.run("leaving", pace(path), 3*time.Second, path)
		first, ok := firstTold(w, noticed)
		Expect(ok).To(BeTrue())
		Expect(c.sentDespiteNotice(w, noticed, heardTime)).To(BeEmpty())
		Expect(c.sentAfter(w, first, newsTime, anyInstance)).To(BeEmpty())
		Expect(c.served - served).To(Equal(c.sent - sent))
	},
		Entry("a whole answer", "p0", lookPath, workerserver.Fault(""), false),
		Entry("a whole answer, without the store", "p0", lookPath, workerserver.Fault(""), true),
		Entry("an answer that must not be repeated", "p0", printPath, workerserver.Fault(""), false),
		Entry("the head of a stream", "e0", askPath, workerserver.Fault(""), false),
		Entry("the head of a stream, without the store", "e0", askPath, workerserver.Fault(""), true),
		Entry("the head of a stream that breaks off", "e0", askPath, workerserver.Cut, false),
		Entry("a refusal", "p0", lookPath, workerserver.Shed, false),
		Entry("a refusal of an engine, without the store", "e0", askPath, workerserver.Shed, true),
		Entry("a failure", "p0", lookPath, workerserver.Failed, false),
		Entry("an answer without a length", "p0", lookPath, workerserver.Unframed, false),
		Entry("two answers", "p0", lookPath, workerserver.Extra, false),
		Entry("its own refusal as misdirected", "p0", lookPath, workerserver.Misdirected, false),
	)

	It("gets none sent 50 ms after its 404", func() {
		s, c := fleetOfThree()
		noticed := time.Now()
		s.plain[0].Inject(workerserver.NotFound)
		s.plain[0].SetLeaving(true)
		c.run("missing", pace(lookPath), 3*time.Second, lookPath)
		Expect(requests(s.plain[0], noticed)).To(ContainElement(HaveField("Status", 404)))
		Expect(c.sentDespiteNotice(s.plain[0], noticed, heardTime)).To(BeEmpty())
	})

	It("gets neither resumed streams nor parts of prompts nor reservations", func() {
		s, c := fleetOfThree()
		w := s.engines[0]
		w.SetLeaving(true)
		noticed := time.Now()
		c.run("heard", pace(askPath), 3*time.Second, askPath)
		_, ok := firstTold(w, noticed)
		Expect(ok).To(BeTrue())
		settled := time.Now()
		s.engines[1].Inject(workerserver.Cut, workerserver.Cut)
		s.engines[2].Inject(workerserver.Cut, workerserver.Cut)
		c.run("resumed", pace(askPath), time.Second, askPath)
		Expect(s.resumed(settled)).NotTo(BeZero())
		s.sendLarge("large", 3)
		Expect(requests(w, settled)).To(BeEmpty())
		Expect(s.helpedBy(w, settled)).To(BeZero())
		Expect(orders(w, settled)).To(BeZero())
	})

	It("is used within a second of the entry of its next life, or of another server at its address", func() {
		s, c := fleetOfThree()
		noticed := time.Now()
		s.plain[0].SetLeaving(true)
		s.engines[0].SetLeaving(true)
		c.run("leaving", 15, 1500*time.Millisecond, askPath, lookPath)
		Expect(told(s.plain[0], noticed)).NotTo(BeEmpty())
		Expect(told(s.engines[0], noticed)).NotTo(BeEmpty())
		s.plain[0].Close()
		s.engines[0].Close()
		entered := time.Now()
		next := s.replace("p0", "registry", "127.0.0.1:0", secondLife)
		other := s.replace("e9", "model", s.engines[0].Addr(), secondLife)
		c.run("anew", 18, usedAgainTime, askPath, lookPath)
		Expect(requests(next, entered)).NotTo(BeEmpty())
		Expect(requests(other, entered)).NotTo(BeEmpty())
	})

	It("is not missed if half of the engines leave", func() {
		s, c := fleetWith(6)
		noticed := time.Now()
		for _, w := range s.engines[:3] {
			w.SetLeaving(true)
		}
		sent, served := c.sent, c.served
		c.run("burst", 15, 3*time.Second, askPath)
		for _, w := range s.engines[:3] {
			Expect(c.sentDespiteNotice(w, noticed, heardTime)).To(BeEmpty())
		}
		Expect(c.served - served).To(BeNumerically(">=", 0.97*float64(c.sent-sent)))
	})

	// Guards against callers that wait for servers none of which may get their requests.
	It("leaves with all others, and requests are refused at once as not run", func() {
		s, c := fleetOfThree()
		for _, w := range append(s.engines, s.plain...) {
			w.SetLeaving(true)
		}
		c.run("last", 20, 2*time.Second, askPath, lookPath)
		for i := range platformEntries {
			for path, servers := range map[string][]*workerserver.Server{askPath: s.engines, lookPath: s.plain, printPath: s.plain} {
				id := fmt.Sprint("refused-", i, path)
				Expect(c.expectRefusedAtOnce(id, path, i)).To(BeNumerically(">", 0))
				Expect(runs(servers, id)).To(BeZero())
			}
		}
	})
})
