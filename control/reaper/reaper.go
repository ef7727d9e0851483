// Package reaper cancels streams and held KV caches whose instance died.
package reaper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/orphan"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/serve/dispatcher"
	"github.com/auburnmoor/auburnmoor/serve/enginepoll"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.reaper"

func init() { auburnmoor.Register(new(Reaper)) }

// Reaper is the module "control.reaper".
type Reaper struct {
	log     *zap.Logger
	now     func() time.Duration
	mem     *members.Members
	disp    *dispatcher.Dispatcher
	reports *ring.Ring[engine.Report]

	mu      sync.Mutex
	tracker *orphan.Tracker
}

// ModuleInfo implements auburnmoor.Module.
func (*Reaper) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, dispatcher.ID, enginepoll.ID},
		New: func() auburnmoor.Module { return new(Reaper) },
	}
}

// Bounds of the module.
const (
	ringSize      = 256
	cancelTimeout = 2 * time.Second
	// youngView is the time after the start in which members may be missing
	// from the view though they live.
	youngView = 10 * time.Second
)

// Provision implements auburnmoor.Provisioner.
func (r *Reaper) Provision(c *auburnmoor.Context) error {
	var err error
	if r.mem, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if r.disp, err = auburnmoor.Require[*dispatcher.Dispatcher](c, dispatcher.ID); err != nil {
		return err
	}
	poll, err := auburnmoor.Require[*enginepoll.Poller](c, enginepoll.ID)
	if err != nil {
		return err
	}
	r.log, r.now, r.tracker = c.Log, c.Now, orphan.NewTracker()
	r.reports = ring.New[engine.Report]("reaper.reports", ringSize)
	poll.OnReport(func(rep engine.Report) { r.reports.Offer(rep) })
	return nil
}

// Start implements auburnmoor.Starter.
func (r *Reaper) Start(ctx context.Context) error {
	go r.run(ctx)
	return nil
}

func (r *Reaper) run(ctx context.Context) {
	for {
		rep, ok := r.reports.Take(ctx)
		if !ok {
			return
		}
		if r.now() < youngView {
			continue
		}
		for _, stream := range r.observe(rep) {
			r.log.Info("cancelling orphan", zap.String("engine", rep.Engine), zap.String("stream", stream))
			cctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = r.disp.Engine().Cancel(cctx, r.disp.Addr(rep.Engine), stream)
			cancel()
		}
	}
}

func (r *Reaper) observe(rep engine.Report) []string {
	view := r.mem.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Observe(r.now(), rep, view.Lives)
}

// Dump implements auburnmoor.Dumper.
func (r *Reaper) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Orphans: r.tracker.Found(), Ring: r.reports.Stats()}
}

// Dump is the state of the module.
type Dump struct {
	Orphans uint64     `json:"orphans_cancelled"`
	Ring    ring.Stats `json:"ring"`
}
