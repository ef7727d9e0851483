package relay

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

var _ = Describe("servers that rest", func() {
	servers := []backends.Server{{ID: "a"}, {ID: "b"}}
	rests := func(lefts map[string]time.Duration) func(backends.Server) time.Duration {
		return func(s backends.Server) time.Duration { return lefts[s.ID] }
	}

	It("are excluded until the end of their rest", func() {
		chain := filterChain{restFilter{rests(map[string]time.Duration{"a": time.Second})}}
		Expect(chain.check(servers[0])).To(Equal(resting))
		Expect(chain.apply(servers)).To(Equal(servers[1:]))
	})

	DescribeTable("make the caller wait for the first of them only if all rest", func(want time.Duration, lefts map[string]time.Duration) {
		Expect(shortestRest(servers, rests(lefts))).To(Equal(want))
	},
		Entry("none", time.Duration(0), nil),
		Entry("one of two", time.Duration(0), map[string]time.Duration{"a": time.Second}),
		Entry("both", time.Second, map[string]time.Duration{"a": 3 * time.Second, "b": time.Second}),
	)

	It("are no reason to refuse if there are none", func() { Expect(shortestRest(nil, rests(nil))).To(BeZero()) })

	DescribeTable("are no word for other instances if they rest for long", func(status backend.RestStatus, d time.Duration, want bool) {
		h := backend.Head{Notice: backend.Notice{Rest: backend.Rest{Status: status, For: d}}}
		Expect(asksForLongRest(h)).To(Equal(want))
	},
		Entry("3 s", backend.RestAsked, 3*time.Second, true),
		Entry("0.2 s", backend.RestAsked, 200*time.Millisecond, false),
		Entry("unreadable", backend.RestUnreadable, time.Duration(0), false),
		Entry("none", backend.NoRest, time.Duration(0), false),
	)

	// Guards against a burst of refused callers as the rests end.
	DescribeTable("get no burst as their rests end", func(rest time.Duration) {
		random := rand.New(rand.NewPCG(1, 1))
		const perSecond = 1000
		first, second := float64(perSecond), float64(perSecond)
		for i := range int(rest.Seconds() * perSecond) {
			left := rest - time.Duration(i)*time.Second/perSecond
			after := retryAfterRest(left, random.Float64())
			Expect(after).To(BeNumerically(">=", left))
			switch late := after - left; {
			case late < time.Second:
				first++
			case late < 2*time.Second:
				second++
			}
		}
		Expect(first / second).To(BeNumerically("<=", 1.5))
	},
		Entry("0.3 s", 300*time.Millisecond),
		Entry("1 s", time.Second),
		Entry("3 s", 3*time.Second),
		Entry("10 s", 10*time.Second),
		Entry("60 s", time.Minute),
	)
})
