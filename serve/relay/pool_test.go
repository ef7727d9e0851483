package relay

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/health"
)

// A server that crashed and started again under its ID gets no requests for seconds,
// for failures of its former life.
var _ = Describe("what is learned of a server", func() {
	DescribeTable("ends with its life", func(before, after backends.Life, forgotten bool) {
		p := &pool{tracker: health.NewTracker(maxEjected, rand.New(rand.NewPCG(1, 1))), known: map[string]backends.Life{}, suspended: map[string]time.Duration{}}
		p.follow([]backends.Server{{ID: "a", Life: before}})
		p.suspended["a"] = time.Minute
		p.follow([]backends.Server{{ID: "a", Life: after}})
		Expect(p.suspended).To(HaveLen(map[bool]int{false: 1}[forgotten]))
	},
		Entry("another one", backends.Life(1000), backends.Life(2000), true),
		Entry("but not with a heartbeat", backends.Life(1000), backends.Life(1000), false),
		Entry("and not while it is not known", backends.Life(1000), backends.Life(0), false),
	)
})
