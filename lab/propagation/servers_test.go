package propagation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/propagation"
)

var serverScenes = map[string]func(propagation.Site, uint64) propagation.ServerScene{
	"calm-servers": propagation.CalmServers, "servers": propagation.DrawnServers, "one-source-servers": propagation.OneSourceServers, "wrong-servers": propagation.WrongServers,
}

// Required times from the acknowledgement that a server leaves to its last use in a calm fleet.
const leavingP99, leavingMost = 500 * time.Millisecond, time.Second

// Guards against requests to servers that have left, by instances whose list is not that of the store.
var _ = Describe("a server that leaves", func() {
	DescribeTable("is out of use within half a second in a calm fleet", func(instances int) {
		r := playSpec(propagation.PlayServers, propagation.CalmServers(propagation.SiteOf(instances), 1))
		Expect(r.Out).NotTo(BeEmpty())
		Expect(r.Out.Quantile(0.99)).To(BeNumerically("<=", leavingP99))
		Expect(r.Out.Max()).To(BeNumerically("<=", leavingMost))
	},
		Entry("of 6 instances", 6),
		Entry("of 9 instances", 9),
		Entry("of 75 instances", testkit.LargeFleet, 75),
	)

	// Guards against a list that once differs from that of the store and does so for good.
	DescribeTable("is out of use though an instance gets a wrong message about it", func(instances int) {
		r := playSpec(propagation.PlayServers, propagation.WrongServers(propagation.SiteOf(instances), 1))
		Expect(r.Mended).NotTo(BeEmpty())
	},
		Entry("of 6 instances", 6),
		Entry("of 9 instances", 9),
		Entry("of 75 instances", testkit.LargeFleet, 75),
	)

	DescribeTable("is out of use in time while the calls for one source fail", func(instances, seeds int) {
		sum := new(propagation.ServerReport)
		for seed := range seeds {
			sum.Add(playSpec(propagation.PlayServers, propagation.OneSourceServers(propagation.SiteOf(instances), uint64(seed+1))))
		}
		Expect(sum.Out.Max()).To(BeNumerically("<=", oneSourceMost))
	},
		Entry("at 6 instances", 6, 6),
		Entry("at 22 instances", testkit.LargeFleet, 22, 2),
	)

	DescribeTable("is out of use in time whatever happens", func(instances, seeds int) {
		for seed := range seeds {
			playSpec(propagation.PlayServers, propagation.DrawnServers(propagation.SiteOf(instances), uint64(seed+1)))
		}
	},
		Entry("to 6 instances", 6, 12),
		Entry("to 9 instances", 9, 6),
		Entry("to 22 instances", testkit.LargeFleet, 22, 3),
	)
})
