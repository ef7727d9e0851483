// Package reaper cancels the streams and held KV caches of instances that have failed.
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
	log        *zap.Logger
	now        func() time.Duration
	members    *members.Members
	dispatcher *dispatcher.Dispatcher
	reports    *ring.Ring[engine.Report]

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
	// viewWarmUp is the time after start in which live members may still be missing from
	// the view.
	viewWarmUp = 10 * time.Second
)

// Provision implements auburnmoor.Provisioner.
func (r *Reaper) Provision(c *auburnmoor.Context) error {
	var err error
	if r.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if r.dispatcher, err = auburnmoor.Require[*dispatcher.Dispatcher](c, dispatcher.ID); err != nil {
		return err
	}
	poll, err := auburnmoor.Require[*enginepoll.Poller](c, enginepoll.ID)
	if err != nil {
		return err
	}
	r.log, r.now, r.tracker = c.Log, c.Now, orphan.NewTracker()
	r.reports = ring.New[engine.Report]("reaper.reports", ringSize)
	poll.OnReport(func(report engine.Report) { r.reports.Offer(report) })
	return nil
}

// Start implements auburnmoor.Starter.
func (r *Reaper) Start(ctx context.Context) error {
	go r.run(ctx)
	return nil
}

func (r *Reaper) run(ctx context.Context) {
	for {
		report, ok := r.reports.Take(ctx)
		if !ok {
			return
		}
		if r.now() < viewWarmUp {
			continue
		}
		for _, stream := range r.findOrphans(report) {
			r.log.Info("cancelling orphaned stream", zap.String("engine", report.Engine), zap.String("stream", stream))
			cctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			_ = r.dispatcher.Engine().Cancel(cctx, r.dispatcher.Addr(report.Engine), stream)
			cancel()
		}
	}
}

// findOrphans returns the streams of an engine's report that are orphaned.
func (r *Reaper) findOrphans(report engine.Report) []string {
	view := r.members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Observe(r.now(), report, view.Lives)
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
