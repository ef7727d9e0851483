package passes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/passes"
	"github.com/auburnmoor/auburnmoor/settings"
)

// sharesRuns are runs of one load with 24 customers: equal ones without and with fair shares, and a
// greedy one with fair shares.
type sharesRuns struct{ equalOff, equalOn, greedyOn passes.Summary }

func runShares(name string, seeds int, length time.Duration, rate float64) sharesRuns {
	load := func(greedy float64, fair bool) passes.Load {
		l := readLoad(name)
		l.Customers = passes.Customers{
			Count: 24, Greedy: greedy, FairShares: fair, GreedyAfter: settings.Duration(3 * time.Second), Settle: settings.Duration(time.Second),
		}
		return l
	}
	loads := []passes.Load{load(0, false), load(0, true), load(5, true)}
	s := passes.Play(passes.Series{Loads: loads, Seed: 1, Seeds: seeds, Length: length, Rate: rate})
	return sharesRuns{s[0], s[1], s[2]}
}

var _ = Describe("fair shares of 24 customers", func() {
	// Guards against a customer that sends five times its part and takes the others' engines, and against
	// shares that cost equal customers more than they gain. The bounds are those of the design page.
	DescribeTable("hold beside a greedy one", func(name string, seeds int, length time.Duration, rate float64) {
		r := runShares(name, seeds, length, rate)
		equalShare := (r.equalOff.Others() + r.equalOff.Greedy()) / 24
		Expect(r.greedyOn.Others()).To(BeNumerically(">=", 0.95*r.equalOff.Others()), "the others")
		Expect(r.greedyOn.Greedy()).To(BeNumerically(">=", 0.95*equalShare), "the greedy one")
		Expect(r.equalOn.Whole).To(BeNumerically(">=", r.equalOff.Whole-0.01), "equal customers")
	},
		Entry("at 6 instances", "tepuna", 8, runLength, 1.0),
		Entry("at 6 instances, heavy load", "tepuna", 8, runLength, 1.2),
		Entry("at 68 instances", "peachline", 1, runLength, 1.0),
		Entry("at 98 instances", "eircodex", 1, 12*time.Second, 1.0),
	)

	// Guards against fair shares that change anything while no prompt has to wait.
	It("do not depend on the switch while nobody competes", func() {
		r := runShares("tepuna", 1, runLength, 0.03)
		Expect(r.equalOn.Whole).To(Equal(r.equalOff.Whole))
	})
})
