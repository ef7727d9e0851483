package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/soak"
)

type soakCmd struct {
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of seeds, one run each."`
	Instances int           `default:"5" help:"Processes of the program in a run."`
	Length    time.Duration `default:"30s" help:"Length of a run."`
	Planned   bool          `help:"Draw planned work and silent servers only."`
	Replay    string        `type:"existingfile" help:"Play the plan of this file instead of drawn ones."`
	Shrink    bool          `help:"Drop faults from a plan that breaks a promise, as long as it does, and print what is left."`
	Mutant    string        `help:"Promise to break on purpose, to see the checks fail."`
	Binary    string        `type:"existingfile" help:"Program to run; this one by default."`
	Dir       string        `help:"Folder for settings, logs and plans; a temporary one by default."`
}

// Run executes the plans in sequence and prints the violated promises.
func (c *soakCmd) Run(e *env) error {
	plans, err := c.plans()
	if err != nil {
		return usageError(err)
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "creating the folder of the runs")
		}
	}
	broken := 0
	for _, p := range plans {
		n, err := c.play(e, p)
		if err != nil {
			return err
		}
		if n > 0 {
			broken++
		}
	}
	if broken > 0 {
		return errors.Newf("%d of %d runs broke a promise", broken, len(plans))
	}
	return nil
}

func (c *soakCmd) plans() ([]soak.Plan, error) {
	if c.Mutant != "" && !soak.Mutant(c.Mutant).Valid() {
		return nil, errors.Newf("unknown mutant %q; known mutants: %v", c.Mutant, soak.Mutants)
	}
	if c.Replay != "" {
		raw, err := os.ReadFile(c.Replay)
		if err != nil {
			return nil, err
		}
		p, err := soak.ParsePlan(raw)
		return []soak.Plan{p}, err
	}
	var out []soak.Plan
	draw := soak.Draw
	if c.Planned {
		draw = soak.DrawPlanned
	}
	for i := range c.Seeds {
		p, err := draw(c.Seed+uint64(i), c.Instances, c.Length)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// play executes one plan, shrinks a failing one if requested, saves it and returns the
// number of violations.
func (c *soakCmd) play(e *env, p soak.Plan) (int, error) {
	dir := filepath.Join(c.Dir, fmt.Sprint("seed-", p.Seed))
	r, err := c.runOnce(e, p, dir)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(e.out, "seed %d: %d requests, %d served, %d promises broken\n", p.Seed, r.Requests, r.Served, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(e.out, v)
	}
	if len(r.Violations) == 0 {
		return 0, nil
	}
	if c.Shrink {
		p = c.shrink(e, p, r.Violations[0].Promise)
	}
	raw, err := p.Format()
	if err != nil {
		return 0, errors.Wrap(err, "formatting the plan")
	}
	path := filepath.Join(dir, "plan.toml")
	fmt.Fprintf(e.out, "plan and logs: %s\n", dir)
	return len(r.Violations), errors.Wrap(os.WriteFile(path, raw, 0o600), "writing the plan")
}

// runOnce executes a plan with its logs in dir.
func (c *soakCmd) runOnce(e *env, p soak.Plan, dir string) (soak.Result, error) {
	bin := c.Binary
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return soak.Result{}, errors.Wrap(err, "finding the program to run")
		}
		bin = self
	}
	return soak.Play(e.ctx, p, soak.Options{Binary: bin, Dir: dir, Mutant: soak.Mutant(c.Mutant)})
}

// shrink removes each fault without which the same promise is still violated.
func (c *soakCmd) shrink(e *env, p soak.Plan, promise soak.Promise) soak.Plan {
	for i := 0; i < len(p.Faults) && e.ctx.Err() == nil; {
		reduced := p.Without(i)
		r, err := c.runOnce(e, reduced, filepath.Join(c.Dir, fmt.Sprintf("seed-%d-without-%d-of-%d", p.Seed, i, len(p.Faults))))
		if err != nil || !r.Violated(promise) {
			i++
			continue
		}
		p = reduced
	}
	fmt.Fprintf(e.out, "%d faults are left\n", len(p.Faults))
	return p
}
