package attempt_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
)

var _ = Describe("an attempt from which nothing comes", func() {
	const first, gap = 3 * time.Second, time.Second

	// Appeals are late for many seconds after a burst has ended: each one whose
	// first event was late was sent to other engines as well, so all of it was
	// read twice while the engines were already behind.
	It("goes on while the servers are overloaded", func() {
		Expect(attempt.WaitOn(5*time.Second, true, first, gap)).To(BeTrue())
	})

	It("ends at once when the servers have little to do", func() {
		Expect(attempt.WaitOn(5*time.Second, false, first, gap)).To(BeFalse())
	})

	It("ends while the client still waits for another attempt", func() {
		Expect(attempt.WaitOn(10*time.Second, true, first, gap)).To(BeTrue())
		Expect(attempt.WaitOn(10500*time.Millisecond, true, first, gap)).To(BeFalse())
	})

	It("takes the longest of the client's bounds", func() {
		Expect(attempt.WaitOn(1600*time.Millisecond, true, 300*time.Millisecond, 250*time.Millisecond)).To(BeTrue())
		Expect(attempt.WaitOn(1800*time.Millisecond, true, 300*time.Millisecond, 250*time.Millisecond)).To(BeFalse())
		Expect(attempt.WaitOn(6*time.Second, true, 300*time.Millisecond, time.Second)).To(BeTrue())
	})
})
