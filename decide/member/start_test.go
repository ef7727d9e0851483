package member_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// startFromSeeds returns a network whose members start with three contacts and no others.
func startFromSeeds(n int, seed uint64) *network {
	f := newNetwork(n, seed, 2200*time.Millisecond, 0)
	cfg := member.DefaultConfig()
	cfg.Period, cfg.FailBase, cfg.MaxFailAfter, cfg.FailDistant = 400*time.Millisecond, 700*time.Millisecond, 2200*time.Millisecond, failDistant
	var seeds []member.Contact
	for _, name := range f.names[:min(3, n)] {
		seeds = append(seeds, member.Contact{Name: name})
	}
	for i, name := range f.names {
		f.tables[i] = member.NewTable(&peerpb.MemberState{Name: name, Incarnation: 10}, cfg, rand.New(rand.NewPCG(seed, uint64(i+2))))
		f.tables[i].SetContacts(seeds)
	}
	return f
}

// missing counts the pairs of members of which one does not know the other.
func (f *network) missing() (pairs int) {
	for _, t := range f.tables {
		pairs += len(f.tables) - len(t.Alive(f.now))
	}
	return pairs
}

// Guards against a start that takes the links and the memory of a large fleet: each change was
// sent by every instance in two dozen messages, so that each received all others that often.
var _ = Describe("the start of a large fleet", func() {
	DescribeTable("tells each instance of each other in bounded copies within five seconds", func(n int) {
		f := startFromSeeds(n, 1)
		const limit = 5 * time.Second
		for f.missing() > 0 && f.now < limit {
			f.runFor(500*time.Millisecond, func() {})
		}
		perMember := float64(f.entriesSent) / float64(n)
		GinkgoWriter.Printf("%d instances: %v, %.1f entries for each other instance, %d pairs missing\n", n, f.now, perMember/float64(n-1), f.missing())
		Expect(f.missing()).To(BeZero())
		Expect(perMember).To(BeNumerically("<=", 14*float64(n-1)))
	},
		Entry("150", testkit.LargeFleet, 150),
		Entry("300", testkit.LargeFleet, 300),
		Entry("600", testkit.LargeFleet, 600),
	)
})

// Guards against messages that grow with the fleet: each instance sent a sign of life to every
// instance of other cells.
var _ = Describe("a large fleet at rest", func() {
	DescribeTable("reports each cell to an instance twice in a second", func(n, cells int) {
		f := startFromSeeds(n, 1)
		f.runFor(3*time.Second, func() {})
		before := f.digestsSent
		f.runFor(2*time.Second, func() {})
		perSecond := float64(f.digestsSent-before) / float64(n) / 2
		GinkgoWriter.Printf("%d instances: %.1f digests a second\n", n, perSecond)
		Expect(perSecond).To(BeNumerically("<=", 2*float64(cells)))
		Expect(f.missing()).To(BeZero())
	},
		Entry("200", testkit.LargeFleet, 200, 4),
		Entry("400", testkit.LargeFleet, 400, 8),
	)
})
