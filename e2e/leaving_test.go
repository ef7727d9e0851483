package e2e

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// drainTime is how long instances may take from an answer in which a server says that it leaves
// until they send nothing more to it.
const drainTime = 2 * time.Second

var _ = Describe("a server that says it leaves", func() {
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
})
