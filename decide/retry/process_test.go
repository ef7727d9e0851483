package retry_test

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

// fleetView is what a process knows of the fleet: all instances that it has seen, and how many
// of them it sees now.
type fleetView struct {
	names []string
	live  int
}

// processBudget is the part of one process.
type processBudget struct {
	window *retry.Window
	extra  float64
}

func newProcessBudget(extra float64) *processBudget {
	return &processBudget{window: retry.NewWindow(fleetWindow, fleetRatio, 0), extra: extra}
}

func (b *processBudget) update(_ time.Duration, v fleetView) {
	b.window.SetExtra(0.8 * b.extra / float64(v.live))
}

func (b *processBudget) request(now time.Duration) { b.window.AddRequest(now) }

func (b *processBudget) take(now time.Duration) bool { return b.window.Take(now) }
