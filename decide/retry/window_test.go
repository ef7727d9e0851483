package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

var _ = Describe("a retry window", func() {
	const length = 10 * time.Second
	It("allows a share of the requests plus a fixed number", func() {
		w := retry.NewWindow(length, 0.2, 3)
		for range 50 {
			w.AddRequest(time.Second)
		}
		taken := 0
		for range 100 {
			if w.Take(time.Second) {
				taken++
			}
		}
		Expect(taken).To(Equal(13))
		Expect(w.Denied()).To(Equal(uint64(87)))
	})

	// Guards against retries of two adjacent fixed windows that add up in a sliding window
	// across both.
	It("limits every sliding window", func() {
		w := retry.NewWindow(length, 0, 10)
		var at []time.Duration
		for now := time.Duration(0); now < 60*time.Second; now += 37 * time.Millisecond {
			if w.Take(now) {
				at = append(at, now)
			}
		}
		for i := range at {
			n := 0
			for _, t := range at[i:] {
				if t-at[i] < length-length/20 {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 10))
		}
		Expect(len(at)).To(BeNumerically(">=", 55))
	})

	It("starts afresh after a long pause", func() {
		w := retry.NewWindow(length, 0, 1)
		Expect(w.Take(0)).To(BeTrue())
		Expect(w.Take(time.Second)).To(BeFalse())
		Expect(w.Take(time.Hour)).To(BeTrue())
	})
})
