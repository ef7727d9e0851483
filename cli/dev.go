package cli

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/examples"
	"github.com/auburnmoor/auburnmoor/lab/dev"
	"github.com/auburnmoor/auburnmoor/process"
)

type devCmd struct {
	Manifest   string  `type:"path" help:"Manifest to accept first; that of the Te Puna example by default."`
	Entries    int     `default:"3" help:"Number of entry instances."`
	Engines    int     `default:"6" help:"Number of engine stand-ins."`
	StepFactor float64 `default:"0.25" help:"Scale of the assumed engine step times."`
	BasePort   int     `default:"7001" help:"Port of the platform stand-in; the others follow from it."`
	Log        bool    `help:"Print the instances' logs."`
}

// readyTimeout bounds the time until a started site is ready.
const readyTimeout = 30 * time.Second

// manifest reads the given file or returns the embedded example, so that the command
// works from any directory.
func (c *devCmd) manifest() ([]byte, error) {
	if c.Manifest == "" {
		return examples.TePuna, nil
	}
	return os.ReadFile(c.Manifest)
}

// Run runs a site until SIGINT or SIGTERM.
func (c *devCmd) Run(e *env) error {
	o := dev.DefaultOptions()
	raw, err := c.manifest()
	if err != nil {
		return usageError(err)
	}
	o.Manifest, o.StepFactor, o.BasePort, o.Entries = raw, c.StepFactor, c.BasePort, c.Entries
	o.Engines = c.Engines
	if c.Log {
		if o.Log, err = process.NewLog("console"); err != nil {
			return err
		}
	}
	if err := dev.CheckPorts(o); err != nil {
		return err
	}
	site, err := dev.Start(context.Background(), o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, readyTimeout)
	defer cancel()
	err = site.Ready(ctx)
	if e.ctx.Err() != nil {
		fmt.Fprintln(e.out, "stopped before the site was ready")
		return site.Stop(context.Background())
	}
	if err != nil {
		site.Close()
		return errors.Wrap(err, "starting the site")
	}
	c.printAddresses(e, site)
	<-e.ctx.Done()
	return site.Stop(context.Background())
}

// printAddresses prints the address of each component and example calls.
func (c *devCmd) printAddresses(e *env, s *dev.Site) {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tADDRESS\tFOR")
	for i := range s.Entries {
		fmt.Fprintf(w, "entry-%d\t%s\tcallers\n", i+1, s.CallerAddr(i))
		fmt.Fprintf(w, "\t%s\toperators (/admin/dump, /metrics)\n", s.AdminAddr(i))
	}
	for _, en := range s.Engines {
		fmt.Fprintf(w, "engine\t%s\tstand-in\n", en.Addr())
	}
	for _, sv := range s.Services {
		fmt.Fprintf(w, "service\t%s\tstand-in\n", sv.Addr())
	}
	fmt.Fprintf(w, "platform\t%s\tstand-in\n", s.Platform.Addr())
	_ = w.Flush()
	fmt.Fprintln(e.out)
	for _, line := range s.Examples() {
		fmt.Fprintln(e.out, line)
	}
	fmt.Fprintln(e.out, "ready")
}
