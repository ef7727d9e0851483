package relay

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/health"
)

// Guards against a restarted server that gets no requests for seconds, because failures
// from before its crash still count under the same ID.
var _ = Describe("the health of a server", func() {
	DescribeTable("is dropped when it restarts", func(before, after backends.Life, forgotten bool) {
		p := &pool{tracker: health.NewTracker(maxEjected, rand.New(rand.NewPCG(1, 1))), lives: map[string]backends.Life{}, suspended: map[string]time.Duration{}}
		p.syncServers([]backends.Server{{ID: "a", Life: before}})
		p.suspended["a"] = time.Minute
		p.syncServers([]backends.Server{{ID: "a", Life: after}})
		Expect(p.suspended).To(HaveLen(map[bool]int{false: 1}[forgotten]))
	},
		Entry("with another life", backends.Life(1000), backends.Life(2000), true),
		Entry("but not at a heartbeat of the same life", backends.Life(1000), backends.Life(1000), false),
		Entry("and not while its life is unknown", backends.Life(1000), backends.Life(0), false),
	)
})
