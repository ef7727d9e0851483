package cli

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/suspects"
)

type suspectsCmd struct {
	Instances   []int         `default:"6,22,74,295" help:"Numbers of instances; there are seven tenths as many servers, 20 at least."`
	Seeds       int           `default:"20" help:"Runs for each number."`
	Duration    time.Duration `default:"30s" help:"Virtual time of a run."`
	Rate        float64       `default:"3" help:"Ordinary requests a second and server."`
	Poisons     int           `default:"1" help:"Requests that crash servers."`
	PoisonEvery time.Duration `default:"300ms" help:"Time after which such a request is sent again."`
	CrashEvery  time.Duration `help:"Mean time between other ends of servers; 0 for none."`
	CrashShare  float64       `default:"0.15" help:"Share of the servers that end then."`
	Loss        float64       `help:"Share of messages between instances that are lost."`
	Restarts    time.Duration `help:"Mean time between restarts of instances; 0 for none."`
	Together    bool          `help:"Run suspects beside others."`
}

// Validate implements kong.Validatable.
func (c *suspectsCmd) Validate() error {
	switch {
	case c.Seeds < 1:
		return errors.Newf("--seeds: %d is below 1", c.Seeds)
	case c.Duration <= 0:
		return errors.Newf("--duration: %v is not above 0", c.Duration)
	case c.Loss < 0 || c.Loss >= 1:
		return errors.Newf("--loss: %v is not a share below 1", c.Loss)
	case slices.ContainsFunc(c.Instances, func(n int) bool { return n < 2 }):
		return errors.New("--instances: below 2")
	default:
		return nil
	}
}

// A fleet has serversPerInstance servers for each instance, and at least minServers.
const (
	serversPerInstance = 0.7
	minServers         = 20
)

// Run simulates fleets in which some requests crash servers, and prints a row for each fleet
// size.
func (c *suspectsCmd) Run(e *env) error {
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "instances\tservers ended each\tof these late\tknown to all after at most\tordinary requests\trefused\tsuspects\tbroken with them\tmessages an instance and second\tbytes"); err != nil {
		return err
	}
	for _, n := range c.Instances {
		var sum suspects.Result
		for seed := range c.Seeds {
			sum.Add(suspects.Play(suspects.Options{
				Instances: n, Servers: max(minServers, int(serversPerInstance*float64(n))), Seed: uint64(seed + 1), Duration: c.Duration, Rate: c.Rate,
				Poisons: c.Poisons, PoisonEvery: c.PoisonEvery, CrashEvery: c.CrashEvery, CrashShare: c.CrashShare,
				Loss: c.Loss, RestartEvery: c.Restarts, NoIsolation: c.Together,
			}))
		}
		crashesPerPoison := float64(sum.Crashes) / float64(max(1, c.Seeds*c.Poisons))
		instanceSeconds := float64(c.Seeds*n) * c.Duration.Seconds()
		maxDelay := time.Duration(0)
		if len(sum.PropagationTimes) > 0 {
			maxDelay = slices.Max(sum.PropagationTimes)
		}
		if _, err := fmt.Fprintf(t, "%d\t%.2f\t%d\t%v\t%d\t%d\t%d\t%d\t%.2f\t%.0f\n", n, crashesPerPoison, sum.Late, maxDelay, sum.Ordinary, sum.Refused, sum.Suspects, sum.CollateralFailures,
			float64(sum.Messages)/instanceSeconds, float64(sum.Bytes)/instanceSeconds); err != nil {
			return err
		}
	}
	return t.Flush()
}
