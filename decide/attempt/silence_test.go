package attempt_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
)

var _ = Describe("an attempt without data", func() {
	const first, gap = 3 * time.Second, time.Second

	// Guards against an overload that outlasts its burst: each request whose first event
	// was late was sent to another engine, which repeated its prefill while the engines
	// were overloaded.
	It("continues while the servers are overloaded", func() {
		Expect(attempt.ShouldWait(5*time.Second, true, first, gap)).To(BeTrue())
	})

	It("ends at once if the servers are not overloaded", func() {
		Expect(attempt.ShouldWait(5*time.Second, false, first, gap)).To(BeFalse())
	})

	It("ends while the client would still wait for a retry", func() {
		Expect(attempt.ShouldWait(10*time.Second, true, first, gap)).To(BeTrue())
		Expect(attempt.ShouldWait(10500*time.Millisecond, true, first, gap)).To(BeFalse())
	})

	It("uses the longest of the client's timeouts", func() {
		Expect(attempt.ShouldWait(1600*time.Millisecond, true, 300*time.Millisecond, 250*time.Millisecond)).To(BeTrue())
		Expect(attempt.ShouldWait(1800*time.Millisecond, true, 300*time.Millisecond, 250*time.Millisecond)).To(BeFalse())
		Expect(attempt.ShouldWait(6*time.Second, true, 300*time.Millisecond, time.Second)).To(BeTrue())
	})
})
