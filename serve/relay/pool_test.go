package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/health"
)

func newTestPool() *pool {
	return &pool{
		tracker: health.NewTracker(maxEjected, rand.New(rand.NewPCG(1, 1))),
		lives:   map[string]backends.Life{}, suspended: map[string]time.Duration{},
	}
}

// Guards against a restarted server that gets no requests for seconds, because failures
// from before its crash still count under the same ID.
var _ = Describe("the health of a server", func() {
	DescribeTable("is dropped when it restarts", func(before, after backends.Life, forgotten bool) {
		p := newTestPool()
		p.syncServers(new(backends.Snapshot), []backends.Server{{ID: "a", Life: before}})
		p.suspended["a"] = time.Minute
		p.syncServers(new(backends.Snapshot), []backends.Server{{ID: "a", Life: after}})
		Expect(p.suspended).To(HaveLen(map[bool]int{false: 1}[forgotten]))
	},
		Entry("with another life", backends.Life(1000), backends.Life(2000), true),
		Entry("but not at a heartbeat of the same life", backends.Life(1000), backends.Life(1000), false),
		Entry("and not while its life is unknown", backends.Life(1000), backends.Life(0), false),
	)
})

// Guards against placements whose cost grows with the servers: a held prompt is placed again
// dozens of times a second, and each time all servers were compared with those known before.
var _ = Describe("a list of servers", func() {
	It("is compared with the one before only once", func() {
		p := newTestPool()
		var ready []backends.Server
		for i := range 1000 {
			ready = append(ready, backends.Server{ID: fmt.Sprint("s", i)})
		}
		snap := new(backends.Snapshot)
		p.syncServers(snap, ready)
		Expect(testing.AllocsPerRun(10, func() { p.syncServers(snap, ready) })).To(BeZero())
	})
})
