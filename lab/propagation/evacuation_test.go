package propagation_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/propagation"
)

// playEvacuation plays an evacuation in virtual time.
func playEvacuation(t *testing.T, site propagation.Site, seed uint64, how propagation.Interruption) (r *propagation.EvacuationReport, err error) {
	synctest.Test(t, func(*testing.T) { r, err = propagation.PlayEvacuation(site, seed, how, zap.NewNop()) })
	return r, err
}

// playEvacuations plays the seeds that the flags choose with each interruption, and prints the figures.
func playEvacuations(t *testing.T, instances int) {
	for _, how := range propagation.Interruptions {
		var out propagation.Distribution
		for i := range *seedsFlag {
			r, err := playEvacuation(t, propagation.SiteOf(instances), *firstFlag+uint64(i), how)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, r.Out...)
			if len(r.Late) > 0 || r.Unreturned > 0 {
				t.Errorf("%d instances, seed %d, %s: unreturned %d; %s",
					instances, *firstFlag+uint64(i), how, r.Unreturned, strings.Join(r.Late, "; "))
			}
		}
		fmt.Printf("%d instances, %d seeds from %d, %s: out of use after %v\n", instances, *seedsFlag, *firstFlag, how, out)
	}
}

// Guards against requests to servers of a data centre whose evacuation is cut halfway by another failure:
// some instances have heard of it and others have not.
var _ = Describe("an evacuation of a data centre", func() {
	play := func(site propagation.Site, how propagation.Interruption) {
		r, err := playEvacuation(suite, site, 1, how)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Late).To(BeEmpty(), "%s", how)
		Expect(r.Unreturned).To(BeZero(), "%s", how)
	}
	DescribeTable("is in force in time whatever fails meanwhile", func(instances int) {
		for _, how := range propagation.Interruptions {
			play(propagation.SiteOf(instances), how)
		}
	},
		Entry("at 6 instances", 6),
		Entry("at 22 instances", testkit.LargeFleet, 22),
	)

	// Guards against instances that take over from watching ones only after a wait that suits a
	// configuration, and too late for an evacuation.
	It("is in force in time where configurations may take longer", func() {
		site := propagation.SiteOf(12)
		site.StableAfter = 6 * time.Second
		play(site, propagation.WatchersLost)
	})
})
