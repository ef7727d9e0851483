package cli

import (
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/bench"
)

type benchCmd struct {
	Scenario []string `arg:"" optional:"" help:"Scenarios; all by default."`
	Policy   []string `help:"Policies; the product's by default, with baselines where a scenario asks for them."`
	Factor   float64  `default:"1" help:"Scale of the assumed engine step times."`
	Seed     uint64   `default:"1" help:"Seed of the arrivals."`
	Scale    float64  `default:"1" help:"Scale of the duration."`
	JSON     bool     `help:"Print JSON lines."`
	List     bool     `help:"List the scenarios and policies."`
}

// Run runs the experiments.
func (c *benchCmd) Run(e *env) error {
	if c.List {
		return c.list(e)
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return usage(err)
	}
	set := bench.Settings{Seed: c.Seed, Factor: c.Factor, Scale: c.Scale}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, bench.Header())
	}
	for _, s := range scenarios {
		names, err := c.policies(s)
		if err != nil {
			return usage(err)
		}
		for _, p := range names {
			sum := bench.Measure(s, p, set)
			if c.JSON {
				if err := json.NewEncoder(e.out).Encode(sum); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintln(w, sum.Row())
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (c *benchCmd) scenarios() ([]bench.Scenario, error) {
	if len(c.Scenario) == 0 {
		return bench.Scenarios(), nil
	}
	var out []bench.Scenario
	for _, name := range c.Scenario {
		s, ok := bench.Find(name)
		if !ok {
			return nil, errors.Newf("no scenario %q; see bench --list", name)
		}
		out = append(out, s)
	}
	return out, nil
}

func (c *benchCmd) policies(s bench.Scenario) ([]bench.Policy, error) {
	names := c.Policy
	if len(names) == 0 {
		names = []string{bench.Product}
		if s.Baselines {
			names = append(names, bench.Baselines...)
		}
	}
	if slices.Equal(names, []string{"all"}) {
		names = bench.PolicyNames()
	}
	var out []bench.Policy
	for _, n := range names {
		p, ok := bench.LookupPolicy(n)
		if !ok {
			return nil, errors.Newf("no policy %q; see bench --list", n)
		}
		out = append(out, p)
	}
	return out, nil
}

func (c *benchCmd) list(e *env) error {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	for _, s := range bench.Scenarios() {
		fmt.Fprintf(w, "scenario\t%s\t%s\n", s.Name, s.About)
	}
	for _, n := range bench.PolicyNames() {
		p, _ := bench.LookupPolicy(n)
		fmt.Fprintf(w, "policy\t%s\t%s\n", n, p.About)
	}
	return w.Flush()
}
