package health_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/health"
)

var _ = Describe("the pace of a server", func() {
	const pass = 45 * time.Millisecond
	var (
		pace *health.Pace
		r    *rand.Rand
	)
	// stream plays the pauses of one stream and reports whether it was judged slow.
	stream := func(events int, factor float64) (slow bool) {
		run := &health.Run{}
		for range events {
			pause := time.Duration(factor * float64(pass) * (1 + 1.5*r.Float64()))
			slow = pace.Observe(run, pause, pass) || slow
		}
		return slow
	}
	BeforeEach(func() {
		pace, r = &health.Pace{}, rand.New(rand.NewPCG(1, 2))
		for range 20 {
			Expect(stream(30, 1)).To(BeFalse())
		}
	})

	// Drafts stutter at one engine for as long as it is slow: its health check is
	// good and every answer arrives, only each pause is over the useful one.
	It("is found within a second of events", func() {
		Expect(stream(12, 4.5)).To(BeTrue())
	})

	It("is not doubted for single long pauses", func() {
		run := &health.Run{}
		for i := range 60 {
			pause := pass
			if i%2 != 0 {
				pause = 20 * pass
			}
			Expect(pace.Observe(run, pause, pass)).To(BeFalse())
		}
	})

	It("is measured against that of the others", func() {
		pace = &health.Pace{}
		for range 20 {
			Expect(stream(30, 5)).To(BeFalse())
		}
	})

	It("is not judged by a few events, or without an expectation", func() {
		Expect(stream(3, 10)).To(BeFalse())
		Expect(pace.Observe(&health.Run{}, time.Second, 0)).To(BeFalse())
	})
})

var _ = Describe("servers that fail a part of their requests", func() {
	var tr *health.Tracker
	BeforeEach(func() {
		tr = health.NewTracker(0.34, rand.New(rand.NewPCG(1, 1)))
		for _, n := range []string{"a", "b", "c"} {
			tr.Add(n)
		}
	})
	// Two in five lookups fail at one server and its health check is good. There
	// are never three failures in a row, so it stayed in rotation.
	It("are taken out for their share", func() {
		for i := range 10 {
			now := time.Duration(i) * 200 * time.Millisecond
			tr.Success(now, "b")
			tr.Success(now, "c")
			if i%5 < 2 {
				tr.Failure(now, "a")
			} else {
				tr.Success(now, "a")
			}
		}
		Expect(tr.Usable(2*time.Second, "a")).To(BeFalse())
		Expect(tr.Usable(2*time.Second, "b")).To(BeTrue())
	})

	// Some requests fail wherever they are sent.
	It("stay where all fail as often", func() {
		for i := range 60 {
			now := time.Duration(i) * 100 * time.Millisecond
			for _, n := range []string{"a", "b", "c"} {
				if i%4 == 0 {
					tr.Fault(now, n)
				} else {
					tr.Success(now, n)
				}
			}
		}
		for _, n := range []string{"a", "b", "c"} {
			Expect(tr.Usable(6*time.Second, n)).To(BeTrue())
		}
	})

	It("come back in steps", func() {
		for range 3 {
			tr.Failure(0, "a")
		}
		now := 20 * time.Second
		for _, atOnce := range []int{1, 4} {
			for range atOnce {
				Expect(tr.Usable(now, "a")).To(BeTrue())
				tr.Begin(now, "a")
			}
			Expect(tr.Usable(now, "a")).To(BeFalse(), "more than %d at once", atOnce)
			for range atOnce - 1 {
				tr.Abandon("a")
			}
			tr.Success(now, "a")
		}
		for range 50 {
			tr.Begin(now, "a")
		}
		Expect(tr.Usable(now, "a")).To(BeTrue())
	})

	It("go out again at the first failure on their return", func() {
		for range 3 {
			tr.Failure(0, "a")
		}
		tr.Begin(20*time.Second, "a")
		tr.Success(20*time.Second, "a")
		tr.Begin(20*time.Second, "a")
		tr.Failure(20*time.Second, "a")
		Expect(tr.Usable(20*time.Second, "a")).To(BeFalse())
	})
})
