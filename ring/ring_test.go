package ring_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/ring"
)

func TestRing(t *testing.T) { testkit.Suite(t, "ring") }

var _ = Describe("a ring", func() {
	It("is first in, first out, rejects items when full and counts them", func() {
		r := ring.New[int]("r", 2)
		Expect(r.Offer(1)).To(BeTrue())
		Expect(r.Offer(2)).To(BeTrue())
		Expect(r.Offer(3)).To(BeFalse())
		v, ok := r.Take(context.Background())
		Expect(ok).To(BeTrue())
		Expect(v).To(Equal(1))
		Expect(r.Stats()).To(Equal(ring.Stats{Name: "r", Size: 2, Depth: 1, Peak: 2, Offered: 3, Refusals: 1}))
	})

	It("stops waiting when the context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := ring.New[int]("r", 1).Take(ctx)
		Expect(ok).To(BeFalse())
	})
})
