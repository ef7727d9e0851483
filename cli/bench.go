package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/bench"
)

type benchCmd struct {
	Scenario []string `arg:"" optional:"" help:"Scenarios; all by default."`
	Policy   []string `help:"Policies; the product's by default, with baselines where a scenario asks for them."`
	Factor   float64  `default:"1" help:"Scale of the assumed engine step times."`
	Seed     uint64   `default:"1" help:"Seed of the arrivals."`
	Scale    float64  `default:"1" help:"Scale of the duration."`
	JSON     bool     `help:"Print JSON lines."`
	Plot     string   `help:"Write a PNG plot of each scenario into this folder." type:"path"`
	Bounds   string   `help:"Check the runs against the bounds of this file." type:"existingfile"`
	List     bool     `help:"List the scenarios and policies."`
}

// Run runs the benchmark scenarios, lists them or checks their bounds.
func (c *benchCmd) Run(e *env) error {
	if c.List {
		return c.list(e)
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return usageError(err)
	}
	set := bench.Settings{Seed: c.Seed, Factor: c.Factor, Scale: c.Scale}
	if c.Bounds != "" {
		return c.check(e, set)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, bench.Header())
	}
	for _, s := range scenarios {
		sums, err := c.measure(s, set)
		if err != nil {
			return err
		}
		if err := c.show(e, w, sums); err != nil {
			return err
		}
	}
	return nil
}

func (c *benchCmd) measure(s bench.Scenario, set bench.Settings) ([]bench.Summary, error) {
	policies, err := c.policies(s)
	if err != nil {
		return nil, usageError(err)
	}
	var out []bench.Summary
	for _, p := range policies {
		out = append(out, bench.Measure(s, p, set))
	}
	return out, nil
}

func (c *benchCmd) show(e *env, w *tabwriter.Writer, sums []bench.Summary) error {
	if c.Plot != "" {
		if err := bench.Plot(filepath.Join(c.Plot, sums[0].Scenario+".png"), sums); err != nil {
			return err
		}
	}
	for _, sum := range sums {
		if !c.JSON {
			fmt.Fprintln(w, sum.Row())
			continue
		}
		if err := json.NewEncoder(e.out).Encode(sum); err != nil {
			return err
		}
	}
	return w.Flush()
}

// check measures every scenario that has bounds and fails if any bound is violated.
func (c *benchCmd) check(e *env, set bench.Settings) error {
	raw, err := os.ReadFile(c.Bounds)
	if err != nil {
		return err
	}
	bounds, err := bench.ParseBounds(raw)
	if err != nil {
		return usageError(err)
	}
	var broken []string
	for _, b := range bounds.Full {
		s, ok := bench.Find(b.Scenario)
		if !ok {
			return usageError(errors.Newf("unknown scenario %q", b.Scenario))
		}
		p, _ := bench.LookupPolicy(bench.Product)
		problems := b.Check(bench.Measure(s, p, set))
		fmt.Fprintf(e.out, "%s: %d bounds broken\n", b.Scenario, len(problems))
		broken = append(broken, problems...)
	}
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "\n"))
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
			return nil, errors.Newf("unknown scenario %q; see bench --list", name)
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
			return nil, errors.Newf("unknown policy %q; see bench --list", n)
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
