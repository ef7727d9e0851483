package health_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/health"
)

var _ = Describe("the detection of slow servers", func() {
	const expected = 45 * time.Millisecond
	var (
		detector *health.SlowDetector
		r        *rand.Rand
	)
	// stream observes the gaps of one stream and reports whether its server was found slow.
	stream := func(events int, factor float64) (slow bool) {
		window := &health.GapWindow{}
		for range events {
			gap := time.Duration(factor * float64(expected) * (1 + 1.5*r.Float64()))
			slow = detector.Observe(window, gap, expected) || slow
		}
		return slow
	}
	BeforeEach(func() {
		detector, r = &health.SlowDetector{}, rand.New(rand.NewPCG(1, 2))
		for range 20 {
			Expect(stream(30, 1)).To(BeFalse())
		}
	})

	// Guards against streams that stutter while an engine is slow: its health check passes
	// and every answer arrives, but each gap exceeds the target.
	It("finds a slow server within 12 events", func() {
		Expect(stream(12, 4.5)).To(BeTrue())
	})

	It("ignores single long gaps", func() {
		window := &health.GapWindow{}
		for i := range 60 {
			gap := expected
			if i%2 != 0 {
				gap = 20 * expected
			}
			Expect(detector.Observe(window, gap, expected)).To(BeFalse())
		}
	})

	It("compares with the baseline of all servers", func() {
		detector = &health.SlowDetector{}
		for range 20 {
			Expect(stream(30, 5)).To(BeFalse())
		}
	})

	It("needs a full window and an expected gap", func() {
		Expect(stream(3, 10)).To(BeFalse())
		Expect(detector.Observe(&health.GapWindow{}, time.Second, 0)).To(BeFalse())
	})
})

var _ = Describe("servers that fail some of their requests", func() {
	var tr *health.Tracker
	BeforeEach(func() {
		tr = health.NewTracker(0.34, rand.New(rand.NewPCG(1, 1)))
		for _, n := range []string{"a", "b", "c"} {
			tr.Add(n)
		}
	})
	// Guards against keeping a server that fails two in five requests while its health
	// check passes: it never has three consecutive failures.
	It("are ejected for their failure rate", func() {
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

	// Some requests fail at every server.
	It("stay in rotation if all servers fail as often", func() {
		for i := range 60 {
			now := time.Duration(i) * 100 * time.Millisecond
			for _, n := range []string{"a", "b", "c"} {
				if i%4 == 0 {
					tr.ReportedFailure(now, n)
				} else {
					tr.Success(now, n)
				}
			}
		}
		for _, n := range []string{"a", "b", "c"} {
			Expect(tr.Usable(6*time.Second, n)).To(BeTrue())
		}
	})

	It("return with a rising concurrency limit", func() {
		for range 3 {
			tr.Failure(0, "a")
		}
		now := 20 * time.Second
		for _, limit := range []int{1, 4} {
			for range limit {
				Expect(tr.Usable(now, "a")).To(BeTrue())
				tr.Begin(now, "a")
			}
			Expect(tr.Usable(now, "a")).To(BeFalse(), "more than %d concurrent requests", limit)
			for range limit - 1 {
				tr.Abandon("a")
			}
			tr.Success(now, "a")
		}
		for range 50 {
			tr.Begin(now, "a")
		}
		Expect(tr.Usable(now, "a")).To(BeTrue())
	})

	It("are ejected again at the first failure while they return", func() {
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
