package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

var _ = Describe("window", func() {
	const length = 10 * time.Second
	It("allows a share of the requests and a number", func() {
		w := retry.NewWindow(length, 0.2, 3)
		for range 50 {
			w.Request(time.Second)
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

	// A failing service is loaded further by retries: those of two windows add up
	// in the one that slides between them.
	It("holds in every window, also a sliding one", func() {
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

	It("forgets everything after a long pause", func() {
		w := retry.NewWindow(length, 0, 1)
		Expect(w.Take(0)).To(BeTrue())
		Expect(w.Take(time.Second)).To(BeFalse())
		Expect(w.Take(time.Hour)).To(BeTrue())
	})
})
