// Package orders reconciles engines with the manifest by sending them orders. One instance
// at a time holds the lease that permits it.
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
	// Candidates is the number of instances that compete for the lease; the others do not
	// read it, which reduces load on the store.
	Candidates int `toml:"candidates" validate:"min=0,max=9"`

	self        string
	log         *zap.Logger
	now         func() time.Duration
	store       objectapi.Store
	weights     *weights.Client
	engines     *engine.Client
	members     *members.Members
	conf        *config.Config
	planner     *rollout.Planner
	leaseEvents chan lease.Event

	mu           sync.Mutex
	lease        *lease.Lease
	orderCount   uint64
	refusedCount uint64
	recentOrders []string
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
	tickInterval      = 200 * time.Millisecond
	planInterval      = 500 * time.Millisecond
	dialTimeout       = time.Second
	storeTimeout      = 3 * time.Second
	maxRecentOrders   = 50
)

// Provision implements auburnmoor.Provisioner.
func (o *Orders) Provision(c *auburnmoor.Context) error {
	p, err := auburnmoor.Require[*platformapi.Platform](c, platformapi.ID)
	if err != nil {
		return err
	}
	if o.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
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
	o.leaseEvents = make(chan lease.Event, 4)
	return nil
}

// Start implements auburnmoor.Starter.
func (o *Orders) Start(ctx context.Context) error {
	go o.run(ctx)
	return nil
}

func (o *Orders) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	nextPlan := time.Duration(0)
	for {
		var ev lease.Event = lease.Tick{}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case ev = <-o.leaseEvents:
		}
		o.stepLease(ctx, ev)
		if now := o.now(); now >= nextPlan && o.mayOrder() {
			nextPlan = now + planInterval
			o.sendDueOrders(ctx)
		}
	}
}

func (o *Orders) stepLease(ctx context.Context, ev lease.Event) {
	owners := member.Owners(o.members.View().Alive)
	candidate := place.InTop(o.self, leaseKey, owners, o.Candidates)
	o.mu.Lock()
	o.lease.SetEligible(candidate && !o.members.Leaving())
	var actions []lease.Action
	if candidate {
		actions = o.lease.Step(o.now(), ev)
	}
	o.mu.Unlock()
	for _, a := range actions {
		go o.callStore(ctx, a)
	}
}

func (o *Orders) callStore(ctx context.Context, a lease.Action) {
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
	case o.leaseEvents <- ev:
	case <-ctx.Done():
	}
}

func (o *Orders) mayOrder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.MayOrder(o.now())
}

// sendDueOrders sends the orders that are due, one after the other. The lease is checked before each
// one, since any of them may take long.
func (o *Orders) sendDueOrders(ctx context.Context) {
	index := o.conf.Index()
	if index == nil {
		return
	}
	var knownEngines []rollout.Engine
	addrs := map[string]string{}
	for _, e := range o.members.View().Engines {
		if e.State == nil {
			continue
		}
		addrs[e.Name] = e.Addr
		knownEngines = append(knownEngines, rollout.Engine{Name: e.Name, Models: e.State.Models, Role: e.State.Role, Leaving: e.Leaving})
	}
	for _, s := range o.planner.Next(o.now(), index.Manifest, knownEngines) {
		if !o.sendOrder(ctx, s, addrs[s.Engine]) {
			return
		}
	}
}

// sendOrder sends one order and reports whether more may be sent.
func (o *Orders) sendOrder(ctx context.Context, s rollout.Step, addr string) bool {
	cctx, cancel := context.WithTimeout(ctx, lease.DefaultConfig().MaxOrderTime)
	defer cancel()
	if s.Order.Kind == engine.OrderLoad {
		if err := o.weights.Reserve(cctx, s.Order.Target); err != nil {
			o.recordOrder(s, err)
			return true
		}
	}
	o.mu.Lock()
	permitted := o.lease.MayOrder(o.now())
	s.Order.Fence = o.lease.Fence()
	o.mu.Unlock()
	if !permitted {
		return false
	}
	err := o.engines.Order(cctx, addr, s.Order)
	o.recordOrder(s, err)
	if errors.Is(err, engine.ErrStaleFence) {
		o.mu.Lock()
		o.lease.StepDown()
		o.mu.Unlock()
		return false
	}
	return true
}

func (o *Orders) recordOrder(s rollout.Step, err error) {
	line := fmt.Sprintf("%s %s %s fence %d", s.Engine, s.Order.Kind, s.Order.Target, s.Order.Fence)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orderCount++
	if err != nil {
		o.refusedCount++
		line += ": " + err.Error()
	}
	o.recentOrders = append(o.recentOrders, line)
	if len(o.recentOrders) > maxRecentOrders {
		o.recentOrders = o.recentOrders[len(o.recentOrders)-maxRecentOrders:]
	}
	o.log.Info("order", zap.String("order", line))
}

// Dump implements auburnmoor.Dumper.
func (o *Orders) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Dump{Holder: o.lease.Holder(), Fence: o.lease.Fence(), MayOrder: o.lease.MayOrder(o.now()), Given: o.orderCount, Refused: o.refusedCount, Last: append([]string{}, o.recentOrders...)}
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
