package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

var _ = Describe("a process's part of a shared retry budget", func() {
	const (
		length = 10 * time.Second
		settle = 3 * time.Second
	)
	newShared := func(ratio, extra float64, firstStart bool) *retry.Shared {
		return retry.NewShared(retry.Config{Window: length, Ratio: ratio, Extra: extra}, firstStart, rand.New(rand.NewPCG(1, 1)))
	}
	takeAll := func(s *retry.Shared, now time.Duration) (n int) {
		for s.Take(now) {
			n++
		}
		return n
	}

	It("allows a share of the requests plus a fixed number", func() {
		s := newShared(0.2, 20, true)
		for range 50 {
			s.AddRequest(settle)
		}
		Expect(s.Allows(settle)).To(BeTrue())
		Expect(takeAll(s, settle)).To(BeNumerically("~", 9+16, 1))
		Expect(s.Allows(settle)).To(BeFalse())
		Expect(s.Denied()).To(Equal(uint64(1)))
	})

	// Guards against retries that are saved for a burst, which a restarted process would repeat.
	It("does not save what requests of the past allowed", func() {
		s := newShared(0.2, 0, true)
		for range 1000 {
			s.AddRequest(settle)
		}
		Expect(s.Allows(settle + length/20)).To(BeFalse())
	})

	// Guards against retries of two adjacent fixed windows that add up in a sliding window
	// across both.
	It("limits every sliding window", func() {
		s := newShared(0, 20, true)
		var at []time.Duration
		for now := settle; now < 60*time.Second; now += 37 * time.Millisecond {
			if s.Take(now) {
				at = append(at, now)
			}
		}
		for i := range at {
			n := 0
			for _, t := range at[i:] {
				if t-at[i] <= length {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 16))
		}
		Expect(len(at)).To(BeNumerically(">=", 5*16))
	})

	It("waits until what an earlier process may have used is out of the window", func() {
		s := newShared(0, 20, false)
		Expect(s.Allows(length)).To(BeFalse())
		Expect(s.Allows(length + settle)).To(BeTrue())
	})

	// Guards against an instance that starts behind a partition and takes itself for the only one.
	It("waits for instances that it has not heard from, but not forever", func() {
		s := newShared(0, 20, true)
		s.SetFleet(retry.Fleet{Size: 1, Incomplete: true})
		Expect(s.Allows(length)).To(BeFalse())
		Expect(s.Allows(2 * time.Minute)).To(BeTrue())
	})

	DescribeTable("rounds the parts so that they add up", func(size, whole int) {
		sum := 0
		for rank := range size {
			s := newShared(0, 100, true)
			s.SetFleet(retry.Fleet{Size: size, Rank: rank})
			sum += s.ExtraShare()
		}
		Expect(sum).To(Equal(whole))
	},
		Entry("of 6", 6, 91),
		Entry("of 70", 70, 74),
		Entry("of 985", 985, 5),
	)
})
