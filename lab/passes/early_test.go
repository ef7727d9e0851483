package passes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/passes"
)

func compareEarly(name string, seeds int, length time.Duration, rate float64) *passes.EarlyRefusals {
	return passes.CompareEarlyRefusals(readLoad(name), 1, seeds, length, rate)
}

// Bounds of docs/design/load-admission.md, section 2, on waves of deep prompts that exceed the capacity.
var _ = DescribeTableSubtree("early refusals", func(name string, rate float64) {
	var e *passes.EarlyRefusals
	BeforeEach(OncePerOrdered, func() { e = compareEarly(name, 2, runLength, rate) })

	Context("of a wave", Ordered, ContinueOnFailure, func() {
		// Guards against forecasts that refuse prompts which engines would take in time.
		It("are right at least nine times in ten", func() {
			Expect(e.Early).To(BeNumerically(">=", 10))
			Expect(float64(e.Wrong)).To(BeNumerically("<=", 0.1*float64(e.Early)))
		})

		It("halve the time for which refused requests are held", func() {
			Expect(e.HeldWith).To(BeNumerically("<=", e.HeldWithout/2))
		})

		It("cost at most 0.01 of the value", func() {
			Expect(e.ValueWith).To(BeNumerically(">=", e.ValueWithout-0.01))
		})

		// Guards against times to come back at which callers are refused again, or come together.
		It("let callers come back when there is capacity and not together", func() {
			Expect(float64(e.Placed)).To(BeNumerically(">=", 0.8*float64(e.Returns)))
			Expect(e.PeakReturns()).To(BeNumerically("<=", 2))
		})
	})
},
	Entry("on 98 instances", "eircodex", 1.6),
	Entry("on 68 instances", "peachline", 1.6),
)

var _ = DescribeTable("a third of the rates has no early refusals", func(name string) {
	Expect(compareEarly(name, 1, runLength, 1.0/3).Early).To(BeZero())
},
	Entry("on 98 instances", "eircodex"),
	Entry("on 68 instances", "peachline"),
)
