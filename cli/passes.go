package cli

import (
	"time"

	"github.com/auburnmoor/auburnmoor/lab/passes"
)

type passesCmd struct {
	Seeds    int           `default:"1" help:"Number of seeds, from 1 on; their results are added up."`
	Load     float64       `default:"1" help:"Factor of the sheets' rates."`
	Duration time.Duration `default:"34s" help:"Virtual time of a run; bursts fill its thirds."`
}

// Run plays the loads of the sites against the placing.
func (c *passesCmd) Run(e *env) error {
	for i := range passes.Sites() {
		var runs [][]passes.Result
		for seed := range c.Seeds {
			runs = append(runs, passes.Run(passes.Sites()[i], uint64(seed+1), c.Duration, c.Load))
		}
		if err := passes.Write(e.out, passes.Sites()[i].Name, passes.Merge(runs)); err != nil {
			return err
		}
	}
	return nil
}
