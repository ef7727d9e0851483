package sequence_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/sequence"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestSequence(t *testing.T) { testkit.Suite(t, "sequence") }

var _ = Describe("the order of chunks", func() {
	// Guards against answers with missing or repeated text, when the server that resumes a
	// stream starts earlier or later than the point where the previous one stopped.
	It("takes each chunk once and detects a missing one", func() {
		o := sequence.StartingAt(0)
		Expect(o.Take(0)).To(Equal(sequence.Next))
		Expect(o.Take(1)).To(Equal(sequence.Next))
		Expect(o.Take(0)).To(Equal(sequence.Duplicate))
		Expect(o.Take(3)).To(Equal(sequence.Gap))
		Expect(o.Take(2)).To(Equal(sequence.Next))
		Expect(o.Expected()).To(Equal(int64(3)))
	})

	It("starts with the first chunk received if no number is set", func() {
		var o sequence.Order
		Expect(o.Take(7)).To(Equal(sequence.Next))
		Expect(o.Take(7)).To(Equal(sequence.Duplicate))
		Expect(o.Take(8)).To(Equal(sequence.Next))
	})

	It("reports a gap before the first chunk if a number is set", func() {
		o := sequence.StartingAt(0)
		Expect(o.Take(1)).To(Equal(sequence.Gap))
	})
})
