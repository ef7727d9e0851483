// Package orders brings engines into line with the manifest. One instance at a
// time holds the lease to give orders.
package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/platformapi"
	"github.com/auburnmoor/auburnmoor/decide/lease"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/decide/rollout"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/port/weights"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.orders"

func init() { auburnmoor.Register(new(Orders)) }

// Orders is the module "control.orders".
type Orders struct {
	// Candidates is the number of instances that try to hold the lease; the
	// others save the store their reads.
	Candidates int `toml:"candidates" validate:"min=0,max=9"`

	self    string
	log     *zap.Logger
	now     func() time.Duration
	store   objectapi.Store
	weights *weights.Client
	engines *engine.Client
	mem     *members.Members
	conf    *config.Config
	planner *rollout.Planner
	results chan lease.Event

	mu      sync.Mutex
	lease   *lease.Lease
	given   uint64
	refused uint64
	last    []string
}

// ModuleInfo implements auburnmoor.Module.
func (*Orders) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{platformapi.ID, members.ID, config.ID},
		New: func() auburnmoor.Module { return new(Orders) },
	}
}

// Bounds and periods of the module.
const (
	defaultCandidates = 3
	leaseKey          = "lease/orders"
	tickEvery         = 200 * time.Millisecond
	planEvery         = 500 * time.Millisecond
	dialTimeout       = time.Second
	storeTimeout      = 3 * time.Second
	maxLast           = 50
)

// Provision implements auburnmoor.Provisioner.
func (o *Orders) Provision(c *auburnmoor.Context) error {
	p, err := auburnmoor.Require[*platformapi.Platform](c, platformapi.ID)
	if err != nil {
		return err
	}
	if o.mem, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if o.conf, err = auburnmoor.Require[*config.Config](c, config.ID); err != nil {
		return err
	}
	if o.Candidates == 0 {
		o.Candidates = defaultCandidates
	}
	o.self, o.log, o.now, o.store = c.Self.Name, c.Log, c.Now, p.Store()
	o.weights = p.Weights()
	o.engines = engine.NewClient(dialTimeout)
	o.planner = rollout.NewPlanner(rollout.DefaultConfig())
	o.lease = lease.New(fmt.Sprintf("%s~%x", c.Self.Name, c.Self.Incarnation), lease.DefaultConfig())
	o.results = make(chan lease.Event, 4)
	return nil
}

// Start implements auburnmoor.Starter.
func (o *Orders) Start(ctx context.Context) error {
	go o.run(ctx)
	return nil
}

func (o *Orders) run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	planAt := time.Duration(0)
	for {
		var ev lease.Event = lease.Tick{}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case ev = <-o.results:
		}
		o.step(ctx, ev)
		if now := o.now(); now >= planAt && o.mayOrder() {
			planAt = now + planEvery
			o.plan(ctx)
		}
	}
}

func (o *Orders) step(ctx context.Context, ev lease.Event) {
	owners := member.Owners(o.mem.View().Alive)
	candidate := place.InTop(o.self, leaseKey, owners, o.Candidates)
	o.mu.Lock()
	o.lease.SetEligible(candidate && !o.mem.Leaving())
	var actions []lease.Action
	if candidate {
		actions = o.lease.Step(o.now(), ev)
	}
	o.mu.Unlock()
	for _, a := range actions {
		go o.call(ctx, a)
	}
}

func (o *Orders) call(ctx context.Context, a lease.Action) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var ev lease.Event
	era := o.store.Era()
	switch a := a.(type) {
	case lease.Get:
		obj, err := o.store.Get(cctx, leaseKey)
		ev = lease.Read{Object: obj, Err: err, Era: era}
	case lease.Put:
		version, err := o.store.Put(cctx, leaseKey, a.Value, a.Expect)
		ev = lease.Wrote{WriteID: a.WriteID, Version: version, Err: err, Era: era}
	}
	select {
	case o.results <- ev:
	case <-ctx.Done():
	}
}

func (o *Orders) mayOrder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.MayOrder(o.now())
}

// plan gives the orders that are due, one after the other. The lease is asked
// again before each, since any of them may take long.
func (o *Orders) plan(ctx context.Context) {
	ix := o.conf.Index()
	if ix == nil {
		return
	}
	var known []rollout.Engine
	addrs := map[string]string{}
	for _, e := range o.mem.View().Engines {
		if e.State == nil {
			continue
		}
		addrs[e.Name] = e.Addr
		known = append(known, rollout.Engine{Name: e.Name, Models: e.State.Models, Role: e.State.Role, Leaving: e.Leaving})
	}
	for _, s := range o.planner.Next(o.now(), ix.Manifest, known) {
		if !o.give(ctx, s, addrs[s.Engine]) {
			return
		}
	}
}

// give gives one order and reports whether more may be given.
func (o *Orders) give(ctx context.Context, s rollout.Step, addr string) bool {
	cctx, cancel := context.WithTimeout(ctx, lease.DefaultConfig().MaxOrderTime)
	defer cancel()
	if s.Order.Kind == engine.OrderLoad {
		if err := o.weights.Reserve(cctx, s.Order.Target); err != nil {
			o.note(s, err)
			return true
		}
	}
	o.mu.Lock()
	may := o.lease.MayOrder(o.now())
	s.Order.Fence = o.lease.Fence()
	o.mu.Unlock()
	if !may {
		return false
	}
	err := o.engines.Order(cctx, addr, s.Order)
	o.note(s, err)
	if errors.Is(err, engine.ErrStaleFence) {
		o.mu.Lock()
		o.lease.StepDown()
		o.mu.Unlock()
		return false
	}
	return true
}

func (o *Orders) note(s rollout.Step, err error) {
	line := fmt.Sprintf("%s %s %s fence %d", s.Engine, s.Order.Kind, s.Order.Target, s.Order.Fence)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.given++
	if err != nil {
		o.refused++
		line += ": " + err.Error()
	}
	o.last = append(o.last, line)
	if len(o.last) > maxLast {
		o.last = o.last[len(o.last)-maxLast:]
	}
	o.log.Info("order", zap.String("order", line))
}

// Dump implements auburnmoor.Dumper.
func (o *Orders) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Dump{Holder: o.lease.Holder(), Fence: o.lease.Fence(), MayOrder: o.lease.MayOrder(o.now()), Given: o.given, Refused: o.refused, Last: append([]string{}, o.last...)}
}

// Dump is the state of the module.
type Dump struct {
	Holder   string   `json:"holder"`
	Fence    uint64   `json:"fence"`
	MayOrder bool     `json:"may_order"`
	Given    uint64   `json:"given"`
	Refused  uint64   `json:"refused"`
	Last     []string `json:"last"`
}
