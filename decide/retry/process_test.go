package retry_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

// fleetView is what a process knows of the fleet: itself and all instances that it has seen,
// and whether there are listed ones that it has not.
type fleetView struct {
	names      []string
	incomplete bool
}

// processBudget is the part of one process.
type processBudget struct{ shared *retry.Shared }

func newProcessBudget(extra float64, r *rand.Rand) *processBudget {
	cfg := retry.Config{Window: fleetWindow, Ratio: fleetRatio, Extra: extra}
	return &processBudget{shared: retry.NewShared(cfg, false, r)}
}

func (b *processBudget) update(v fleetView) {
	self := v.names[0]
	slices.Sort(v.names)
	b.shared.SetFleet(retry.Fleet{Size: len(v.names), Rank: slices.Index(v.names, self), Incomplete: v.incomplete})
}

func (b *processBudget) request(now time.Duration) { b.shared.AddRequest(now) }

func (b *processBudget) take(now time.Duration) bool { return b.shared.Take(now) }
