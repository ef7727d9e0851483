package cli

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/trial"
)

type faultsCmd struct {
	Instances  []int         `default:"3,5,9" help:"Numbers of instances."`
	Seeds      int           `default:"20" help:"Trials for each number."`
	Duration   time.Duration `default:"5m" help:"Virtual time of a trial."`
	FaultEvery time.Duration `default:"4s" help:"Mean time between faults; 0 for none."`
	ClaimEvery time.Duration `default:"200ms" help:"Mean time between requests that may not be repeated."`
	Mutant     string        `help:"Guard to take out, to see the trial fail." enum:",no-fence,no-pause-check,adopt-any,blind-retry,no-reclaim" default:""`
}

// Run runs trials with injected faults for each number of instances and fails on any
// violated invariant.
func (c *faultsCmd) Run(e *env) error {
	var all *trial.Report
	for _, n := range c.Instances {
		for s := range c.Seeds {
			r := trial.New(trial.Options{
				Instances: n, Seed: uint64(s + 1), Duration: c.Duration, FaultEvery: c.FaultEvery,
				ClaimEvery: c.ClaimEvery, ConfigEvery: 5 * time.Second, Mutant: trial.Mutant(c.Mutant),
			}).Run()
			if all == nil {
				all = &r
				continue
			}
			all.Add(r)
		}
	}
	if err := all.Write(e.out); err != nil {
		return err
	}
	if all.Total() > 0 {
		return errors.Newf("%d violations", all.Total())
	}
	return nil
}
