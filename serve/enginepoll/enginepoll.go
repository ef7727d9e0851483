// Package enginepoll polls the load reports and cache events of the engines that
// this instance owns.
package enginepoll

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/serve/dispatcher"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.engines"

func init() { auburnmoor.Register(new(Poller)) }

// Poller is the module "serve.engines".
type Poller struct {
	// Poll is the interval between polls of an engine.
	Poll settings.Duration `toml:"poll"`

	log  *zap.Logger
	disp *dispatcher.Dispatcher
	mem  *members.Members

	mu             sync.Mutex
	engines        map[string]*polledEngine
	reportHandlers []func(engine.Report)
}

type polledEngine struct {
	stop        context.CancelFunc
	last        engine.Report
	known       bool
	failedPolls int
}

// ModuleInfo implements auburnmoor.Module.
func (*Poller) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, dispatcher.ID},
		New: func() auburnmoor.Module { return new(Poller) },
	}
}

// Defaults and limits.
const (
	defaultPoll = 250 * time.Millisecond
	pollTimeout = time.Second
	// lostAfterFailures is the number of consecutive failed polls after which an
	// engine counts as lost.
	lostAfterFailures = 3
)

// Provision implements auburnmoor.Provisioner.
func (p *Poller) Provision(c *auburnmoor.Context) error {
	var err error
	if p.mem, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if p.disp, err = auburnmoor.Require[*dispatcher.Dispatcher](c, dispatcher.ID); err != nil {
		return err
	}
	if p.Poll == 0 {
		p.Poll = settings.Duration(defaultPoll)
	}
	p.log, p.engines = c.Log, map[string]*polledEngine{}
	return nil
}

// OnReport registers f to be called with every load report. It must be called
// before Start.
func (p *Poller) OnReport(f func(engine.Report)) { p.reportHandlers = append(p.reportHandlers, f) }

// Start implements auburnmoor.Starter.
func (p *Poller) Start(ctx context.Context) error {
	go p.run(ctx)
	return nil
}

func (p *Poller) run(ctx context.Context) {
	t := time.NewTicker(p.Poll.Std())
	defer t.Stop()
	for {
		if p.updatePollers(ctx, p.disp.Owned()) {
			p.announce()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// updatePollers starts and stops one polling goroutine per owned engine and reports
// whether ownership of an engine was lost. Its announced state must then be
// withdrawn, or it would contradict the new owner for ever.
func (p *Poller) updatePollers(ctx context.Context, owned []string) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	want := map[string]bool{}
	for _, name := range owned {
		want[name] = true
		if p.engines[name] == nil {
			ectx, stop := context.WithCancel(ctx)
			p.engines[name] = &polledEngine{stop: stop}
			go p.pollEngine(ectx, name)
		}
	}
	for name, e := range p.engines {
		if !want[name] {
			e.stop()
			delete(p.engines, name)
			lost = true
		}
	}
	return lost
}

func (p *Poller) pollEngine(ctx context.Context, name string) {
	seq := uint64(0)
	t := time.NewTicker(p.Poll.Std())
	defer t.Stop()
	for ctx.Err() == nil {
		seq = p.pollOnce(ctx, name, seq)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (p *Poller) pollOnce(ctx context.Context, name string, seq uint64) uint64 {
	cctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	addr := p.disp.Addr(name)
	report, err := p.disp.Engine().Load(cctx, addr)
	if err != nil {
		p.recordPollFailure(name)
		return seq
	}
	events, err := p.disp.Engine().Events(cctx, addr, seq)
	if err == nil && len(events) > 0 {
		seq = events[len(events)-1].Seq
	}
	p.disp.Offer(dispatch.EngineReport{Report: report, Events: events})
	p.recordReport(name, report)
	return seq
}

func (p *Poller) recordPollFailure(name string) {
	p.mu.Lock()
	e := p.engines[name]
	lost := false
	if e != nil {
		e.failedPolls++
		lost = e.failedPolls == lostAfterFailures
		e.known = e.known && e.failedPolls < lostAfterFailures
	}
	p.mu.Unlock()
	if lost {
		p.log.Warn("engine lost", zap.String("engine", name))
		p.disp.Report(dispatch.EngineLost{Engine: name})
		p.announce()
	}
}

func (p *Poller) recordReport(name string, r engine.Report) {
	p.mu.Lock()
	e := p.engines[name]
	changed := e != nil && (!e.known || len(e.last.Models) != len(r.Models) || e.last.Role != r.Role)
	if e != nil {
		e.last, e.known, e.failedPolls = r, true, 0
	}
	p.mu.Unlock()
	for _, f := range p.reportHandlers {
		f(r)
	}
	if changed {
		p.log.Info("engine known", zap.String("engine", name), zap.Strings("models", r.Models))
		p.announce()
	}
}

// announce publishes the state of the owned engines to the other instances.
func (p *Poller) announce() {
	var out []*peerpb.EngineState
	p.mu.Lock()
	for name, e := range p.engines {
		// An engine that does not answer is announced without models, so that entry
		// instances send it no requests.
		if !e.known {
			e.last.Models = nil
		}
		out = append(out, &peerpb.EngineState{
			Name: name, KvTotal: e.last.KVTotal, Models: e.last.Models, Role: e.last.Role,
			Addr: p.disp.Addr(name), Fencing: e.last.Fencing,
		})
	}
	p.mu.Unlock()
	p.mem.SetEngines(out)
	p.mem.GossipNow()
}

// Dump implements auburnmoor.Dumper.
func (p *Poller) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Dump
	for name, e := range p.engines {
		out = append(out, Dump{Engine: name, Known: e.known, FailedPolls: e.failedPolls, KVUsed: e.last.KVUsed, KVTotal: e.last.KVTotal, Running: e.last.Running})
	}
	return out
}

// Dump is the state of one polled engine in the state dump.
type Dump struct {
	Engine      string `json:"engine"`
	Known       bool   `json:"known"`
	FailedPolls int    `json:"failed_polls"`
	KVUsed      int64  `json:"kv_used"`
	KVTotal     int64  `json:"kv_total"`
	Running     int    `json:"running"`
}
