package sequence_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/sequence"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestSequence(t *testing.T) { testkit.Suite(t, "sequence") }

var _ = Describe("the order of pieces", func() {
	// A review lacks a page or has one twice: the server that went on began
	// earlier or later than the one before it had ended.
	It("takes each piece once and notices a missing one", func() {
		o := sequence.From(0)
		Expect(o.Take(0)).To(Equal(sequence.Next))
		Expect(o.Take(1)).To(Equal(sequence.Next))
		Expect(o.Take(0)).To(Equal(sequence.Again))
		Expect(o.Take(3)).To(Equal(sequence.Gap))
		Expect(o.Take(2)).To(Equal(sequence.Next))
		Expect(o.Following()).To(Equal(int64(3)))
	})

	It("begins with the first piece that comes where no number is set", func() {
		var o sequence.Order
		Expect(o.Take(7)).To(Equal(sequence.Next))
		Expect(o.Take(7)).To(Equal(sequence.Again))
		Expect(o.Take(8)).To(Equal(sequence.Next))
	})

	It("misses pieces before the first number that is set", func() {
		o := sequence.From(0)
		Expect(o.Take(1)).To(Equal(sequence.Gap))
	})
})
