package cli

import (
	"bytes"
	"context"
	"testing"

	_ "github.com/auburnmoor/auburnmoor/modules"
)

// A site that is stopped while it starts must not report a failure.
func TestDevStoppedDuringStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	c := devCmd{Entries: 1, Engines: 1, StepFactor: 1, BasePort: 17001}
	if err := c.Run(&env{ctx: ctx, out: &out, err: &out}); err != nil {
		t.Errorf("%v", err)
	}
	if got := out.String(); got != "stopped before the site was ready\n" {
		t.Errorf("printed %q", got)
	}
}
