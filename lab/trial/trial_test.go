package trial_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/trial"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestTrial(t *testing.T) { testkit.Suite(t, "trial") }

func options(n int, seed uint64) trial.Options {
	return trial.Options{
		Instances: n, Seed: seed, Duration: 2 * time.Minute, FaultEvery: 4 * time.Second,
		ClaimEvery: 200 * time.Millisecond, ConfigEvery: 5 * time.Second,
	}
}

// TestInvariantsProperty draws fleet sizes, fault rates and seeds. No invariant may
// be violated by kills, pauses, partitions, store outages and rollbacks, lost replies,
// stale reads and clock jumps.
func TestInvariantsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.IntRange(3, 9).Draw(t, "instances"), uint64(rapid.IntRange(1, 1<<20).Draw(t, "seed")))
		o.Duration = time.Minute
		o.FaultEvery = time.Duration(rapid.IntRange(1, 10).Draw(t, "every")) * time.Second
		r := trial.New(o).Run()
		if r.Total() > 0 {
			t.Fatalf("%d violations: %v", r.Total(), r.Examples)
		}
	})
}

var _ = Describe("a trial", func() {
	It("is deterministic for a seed", func() {
		a, b := trial.New(options(5, 3)).Run(), trial.New(options(5, 3)).Run()
		Expect(a.Granted).To(Equal(b.Granted))
		Expect(a.Writes).To(Equal(b.Writes))
	})

	It("propagates every change to all instances within seconds while nothing fails", func() {
		o := options(9, 1)
		o.FaultEvery = 0
		r := trial.New(o).Run()
		Expect(r.Total()).To(BeZero())
		Expect(r.Propagation).NotTo(BeEmpty())
		Expect(trial.Quantile(r.Propagation, 0.99)).To(BeNumerically("<=", 2*time.Second))
	})

	// Mutation test: each guard is disabled in turn, and the trial must report violations
	// of the invariant that depends on it.
	DescribeTable("detects that a guard is missing",
		func(m trial.Mutant, invariant string) {
			violations := 0
			for seed := range uint64(4) {
				o := options(5, seed+1)
				o.Duration = 5 * time.Minute
				o.Mutant = m
				r := trial.New(o).Run()
				violations += r.Violations[invariant]
			}
			Expect(violations).To(BeNumerically(">", 0))
		},
		Entry("the fencing write of a ledger", trial.NoFence, "runs at most once"),
		Entry("checking the clock before an order", trial.NoPauseCheck, "orders from one holder at a time"),
		Entry("adopting only newer versions", trial.AdoptAny, "accepted configuration never reverts"),
		Entry("reclaiming grants that the store lost", trial.NoReclaim, "runs at most once"),
		Entry("ignoring a grant that arrives after giving up", trial.BlindRetry, "runs at most once"),
	)
})
