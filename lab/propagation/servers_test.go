package propagation_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/propagation"
)

var serverScenes = map[string]func(propagation.Site, uint64) propagation.ServerScene{
	"calm-servers": propagation.CalmServers, "servers": propagation.DrawnServers, "wrong-servers": propagation.WrongServers,
}

// playServers plays a scene of servers in virtual time.
func playServers(t *testing.T, s propagation.ServerScene) (r *propagation.ServerReport, err error) {
	synctest.Test(t, func(*testing.T) {
		var log *zap.Logger
		if log, err = sceneLog(); err == nil {
			r, err = propagation.PlayServers(s, log)
		}
	})
	return r, err
}

// playServerSeeds plays the seeds that the flags choose, and prints the figures.
func playServerSeeds(t *testing.T, instances int, makeScene func(propagation.Site, uint64) propagation.ServerScene) {
	var mu sync.Mutex
	var sum propagation.ServerReport
	forEachSeed(func(seed uint64) {
		s := makeScene(propagation.SiteOf(instances), seed)
		r, err := playServers(t, s)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Error(s, err)
			return
		}
		sum.Add(r)
		if r.Broken() {
			t.Errorf("%v; %d servers, lists %q\n%v\n%s", s, s.Servers, s.Staleness, r, strings.Join(r.Examples, "\n"))
		}
	})
	fmt.Printf("%s, %d instances, %d seeds from %d: %v\n", *sceneFlag, instances, *seedsFlag, *firstFlag, &sum)
}

// Required times from the acknowledgement that a server leaves to its last use in a calm fleet.
const leavingP99, leavingMost = 500 * time.Millisecond, time.Second

// playServerSpec plays a scene of servers in which nothing may be broken.
func playServerSpec(s propagation.ServerScene) *propagation.ServerReport {
	r, err := playServers(suite, s)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Broken()).To(BeFalse(), "%v; %d servers, lists %q\n%v\n%s", s, s.Servers, s.Staleness, r, strings.Join(r.Examples, "\n"))
	return r
}

// Guards against requests to servers that have left, by instances whose list is not that of the store.
var _ = Describe("a server that leaves", func() {
	DescribeTable("is out of use within half a second in a calm fleet", func(instances int) {
		r := playServerSpec(propagation.CalmServers(propagation.SiteOf(instances), 1))
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
		r := playServerSpec(propagation.WrongServers(propagation.SiteOf(instances), 1))
		Expect(r.Mended).NotTo(BeEmpty())
	},
		Entry("of 6 instances", 6),
		Entry("of 9 instances", 9),
		Entry("of 75 instances", testkit.LargeFleet, 75),
	)

	DescribeTable("is out of use in time whatever happens", func(instances, seeds int) {
		for seed := range seeds {
			playServerSpec(propagation.DrawnServers(propagation.SiteOf(instances), uint64(seed+1)))
		}
	},
		Entry("to 6 instances", 6, 12),
		Entry("to 9 instances", 9, 6),
		Entry("to 22 instances", testkit.LargeFleet, 22, 3),
	)
})
