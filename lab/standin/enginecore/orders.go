package enginecore

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/port/engine"
)

// orderState is the state that orders change: loaded models and the role.
type orderState struct {
	fencing  bool
	fence    uint64
	role     string
	loadTime time.Duration
	readyAt  map[string]time.Duration
	applied  int
	stale    int
}

func newOrderState(cfg Config) orderState {
	o := orderState{fencing: cfg.Fencing, role: "any", loadTime: cfg.Assume.LoadModel, readyAt: map[string]time.Duration{}}
	for _, m := range cfg.Models {
		o.readyAt[m] = 0
	}
	return o
}

func (o *orderState) apply(now time.Duration, ord engine.Order) error {
	if o.fencing && ord.Fence < o.fence {
		o.stale++
		return engine.ErrStaleFence
	}
	o.fence = max(o.fence, ord.Fence)
	o.applied++
	switch ord.Kind {
	case engine.OrderLoad:
		if _, ok := o.readyAt[ord.Target]; !ok {
			o.readyAt[ord.Target] = now + o.loadTime
		}
	case engine.OrderUnload:
		delete(o.readyAt, ord.Target)
	case engine.OrderRole:
		o.role = ord.Target
	}
	return nil
}

func (o *orderState) models(now time.Duration) []string {
	var out []string
	for m, at := range o.readyAt {
		if at <= now {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}
