package cli

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/passes"
	"github.com/auburnmoor/auburnmoor/settings"
)

type passesCmd struct {
	Load        []string      `help:"Loads: names of those that come with the program, or files. All that come with it by default, unless some are drawn."`
	Draw        int           `help:"Number of deployments to draw beside them."`
	Seed        uint64        `default:"1" help:"Seed of the drawn deployments and first seed of the runs."`
	Seeds       int           `default:"1" help:"Number of runs of each load, each with a seed of its own."`
	Rate        float64       `default:"1" help:"Factor of the loads' rates."`
	Duration    time.Duration `default:"34s" help:"Virtual time of a run; bursts fill equal spans of it."`
	Customers   int           `help:"Number of customers who send equal parts of each load; none by default."`
	Greedy      float64       `help:"How many times its part the first customer sends, if more than 1."`
	GreedyAfter time.Duration `default:"3s" help:"When the first customer begins to send more; values of customers count from a second after it."`
	FairShares  bool          `help:"Apply fair shares of customers, as the setting fair_shares does."`
	Lines       bool          `help:"Print a line for each load only."`
}

// Validate implements kong.Validatable.
func (c *passesCmd) Validate() error {
	switch {
	case c.Draw < 0:
		return errors.Newf("--draw: %d is negative", c.Draw)
	case c.Seeds < 1:
		return errors.Newf("--seeds: %d is below 1", c.Seeds)
	case !(c.Rate > 0):
		return errors.Newf("--rate: %v is not above 0", c.Rate)
	case c.Customers < 0:
		return errors.Newf("--customers: %d is negative", c.Customers)
	case c.Customers == 0 && (c.Greedy > 1 || c.FairShares):
		return errors.New("--greedy and --fair-shares need --customers")
	case c.Duration <= 0:
		return errors.Newf("--duration: %v is not above 0", c.Duration)
	default:
		return nil
	}
}

// Run simulates the loads against request placement and prints the results.
func (c *passesCmd) Run(e *env) error {
	loads, err := c.loads()
	if err != nil {
		return usageError(err)
	}
	all := passes.Play(passes.Series{Loads: loads, Seed: c.Seed, Seeds: c.Seeds, Length: c.Duration, Rate: c.Rate})
	for _, s := range all {
		if c.Lines {
			break
		}
		if err := passes.Write(e.out, s); err != nil {
			return err
		}
	}
	return passes.WriteLines(e.out, all)
}

// loads returns the named loads, or all built-in ones, and the randomly drawn ones.
func (c *passesCmd) loads() ([]passes.Load, error) {
	names := c.Load
	if len(names) == 0 && c.Draw == 0 {
		names = passes.Shipped()
	}
	var out []passes.Load
	for _, name := range names {
		l, err := passes.ReadLoad(name)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	out = append(out, passes.Draw(c.Draw, c.Seed)...)
	for i := range out {
		c.setCustomers(&out[i])
	}
	return out, nil
}

// setCustomers replaces the customers of a load, if the command names any.
func (c *passesCmd) setCustomers(l *passes.Load) {
	if c.Customers == 0 {
		return
	}
	l.Customers = passes.Customers{
		Count: c.Customers, Greedy: c.Greedy, GreedyAfter: settings.Duration(c.GreedyAfter), FairShares: c.FairShares,
		Settle: settings.Duration(time.Second),
	}
}
