// Package dispatcher drives the state machine of package dispatch: one goroutine
// feeds it events from a bounded ring and executes its actions.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/decide/sched"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.dispatch"

func init() { auburnmoor.Register(new(Dispatcher)) }

// Dispatcher is the module "serve.dispatch".
type Dispatcher struct {
	// Order names the scheduling order of requests on an engine.
	Order string `toml:"order"`
	// Candidates is the number of engines asked for a latency prediction.
	Candidates int `toml:"candidates" validate:"min=0,max=4"`
	// QuoteTimeout limits the wait for predictions.
	QuoteTimeout settings.Duration `toml:"quote_timeout"`
	// RingSize is the maximum number of events queued for the state machine.
	RingSize int `toml:"ring_size" validate:"min=0,max=1048576"`

	self    string
	log     *zap.Logger
	now     func() time.Duration
	link    *peerlink.Link
	mem     *members.Members
	events  *ring.Ring[dispatch.Event]
	cancels *ring.Ring[dispatch.Cancel]
	calls   chan func(*dispatch.Node)
	engine  *engine.Client
	node    *dispatch.Node

	mu      sync.Mutex
	tickets map[string]*Ticket
	addrs   map[string]string
	owned   []string
}

// Ticket receives the decisions on one request.
type Ticket struct {
	ID string
	// C carries dispatch.Start and dispatch.Finish.
	C chan dispatch.Action
}

// ModuleInfo implements auburnmoor.Module.
func (*Dispatcher) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{peerlink.ID, members.ID, config.ID},
		New: func() auburnmoor.Module { return new(Dispatcher) },
	}
}

// Defaults and limits.
const (
	defaultRingSize = 16384
	cancelRingSize  = 16384
	cancelWorkers   = 4
	ticketBuffer    = 16
	dialTimeout     = time.Second
	cancelTimeout   = 5 * time.Second
)

// Validate implements auburnmoor.Validator.
func (d *Dispatcher) Validate() error {
	if _, ok := sched.LookupOrder(d.Order); d.Order != "" && !ok {
		return errors.Newf("order %q is not one of %v", d.Order, sched.OrderNames())
	}
	return nil
}

// Provision implements auburnmoor.Provisioner.
func (d *Dispatcher) Provision(c *auburnmoor.Context) error {
	var err error
	if d.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if d.mem, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	conf, err := auburnmoor.Require[*config.Config](c, config.ID)
	if err != nil {
		return err
	}
	if d.RingSize == 0 {
		d.RingSize = defaultRingSize
	}
	d.self, d.log, d.now = c.Self.Name, c.Log, c.Now
	d.tickets, d.addrs = map[string]*Ticket{}, map[string]string{}
	d.events = ring.New[dispatch.Event]("dispatch.events", d.RingSize)
	d.cancels = ring.New[dispatch.Cancel]("dispatch.cancel", cancelRingSize)
	d.calls = make(chan func(*dispatch.Node))
	d.engine = engine.NewClient(dialTimeout)
	d.node = dispatch.NewNode(d.self, d.nodeConfig(), c.Seed)
	d.link.Handle(d.receive)
	d.mem.OnView(d.replaceView)
	conf.OnChange(d.applyLimits)
	return nil
}

func (d *Dispatcher) nodeConfig() dispatch.Config {
	cfg := dispatch.DefaultConfig()
	if d.Order != "" {
		cfg.Sched.Order = d.Order
	}
	if d.Candidates > 0 {
		cfg.Candidates = d.Candidates
	}
	if d.QuoteTimeout > 0 {
		cfg.QuoteTimeout = d.QuoteTimeout.Std()
	}
	return cfg
}

// Start implements auburnmoor.Starter.
func (d *Dispatcher) Start(ctx context.Context) error {
	go d.run(ctx)
	for range cancelWorkers {
		go d.cancelStreams(ctx)
	}
	return nil
}

// Submit passes a request to the state machine. The ticket must be released with
// Close.
func (d *Dispatcher) Submit(job *peerpb.Job, once bool) (*Ticket, error) {
	t := &Ticket{ID: job.Id, C: make(chan dispatch.Action, ticketBuffer)}
	d.mu.Lock()
	d.tickets[t.ID] = t
	d.mu.Unlock()
	if !d.events.Offer(dispatch.Arrive{Job: job, Once: once}) {
		d.Close(t)
		return nil, result.New(result.RingFull, "the dispatch ring is full").WithRetryAfter(time.Second)
	}
	return t, nil
}

// Close removes a ticket.
func (d *Dispatcher) Close(t *Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tickets, t.ID)
}

// Report queues an event that must not be lost, such as the end of a stream, which
// frees its reserved memory. It blocks while the ring is full.
func (d *Dispatcher) Report(ev dispatch.Event) {
	for !d.events.Offer(ev) {
		time.Sleep(time.Millisecond)
	}
}

// Offer queues an event, or drops it and returns false if the ring is full.
func (d *Dispatcher) Offer(ev dispatch.Event) bool { return d.events.Offer(ev) }

// Engine returns the client for engines.
func (d *Dispatcher) Engine() *engine.Client { return d.engine }

// Addr returns the address of an engine.
func (d *Dispatcher) Addr(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[name]
}

// Owned returns the names of the engines that this instance owns.
func (d *Dispatcher) Owned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.owned)
}

func (d *Dispatcher) receive(from string, env *peerpb.Envelope) {
	switch env.Body.(type) {
	case *peerpb.Envelope_QuoteRequest, *peerpb.Envelope_QuoteReply, *peerpb.Envelope_Reserve,
		*peerpb.Envelope_ReserveReply, *peerpb.Envelope_Grant, *peerpb.Envelope_Progress, *peerpb.Envelope_Renew:
		d.events.Offer(dispatch.Received{From: from, Env: env})
	}
}

func (d *Dispatcher) applyLimits(ix *manifest.Index) {
	l := ix.Manifest.Limits
	go d.runOnNode(func(n *dispatch.Node) { n.SetLimits(l.RetryShare, l.EjectShare) })
}

// replaceView derives the engine directory, with the owner of each engine, from a
// membership view.
func (d *Dispatcher) replaceView(v members.View) {
	names := make([]string, 0, len(v.Engines))
	for _, e := range v.Engines {
		names = append(names, e.Name)
	}
	owners := place.Assign(names, member.Owners(v.Alive))
	dir := dispatch.Directory{}
	addrs := map[string]string{}
	var owned []string
	for _, e := range v.Engines {
		info := dispatch.EngineInfo{Name: e.Name, Owner: owners[e.Name], Leaving: e.Leaving}
		if e.State != nil {
			info.Models, info.KVTotal = e.State.Models, e.State.KvTotal
		}
		dir.Engines = append(dir.Engines, info)
		addrs[e.Name] = e.Addr
		if info.Owner == d.self {
			owned = append(owned, e.Name)
		}
	}
	d.mu.Lock()
	d.addrs, d.owned = addrs, owned
	d.mu.Unlock()
	d.Report(dir)
}

func (d *Dispatcher) run(ctx context.Context) {
	t := time.NewTicker(dispatch.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-d.events.C():
			d.executeActions(d.node.Step(d.now(), ev))
		case <-t.C:
			d.executeActions(d.node.Step(d.now(), dispatch.Tick{}))
		case f := <-d.calls:
			f(d.node)
		}
	}
}

func (d *Dispatcher) executeActions(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			d.link.Send(a.To, a.Env)
		case dispatch.Start:
			d.deliver(a.Request, a)
		case dispatch.Finish:
			d.deliver(a.ID, a)
		case dispatch.Cancel:
			d.cancels.Offer(a)
		}
	}
}

// deliver sends an action to the goroutine that serves the request.
func (d *Dispatcher) deliver(id string, a dispatch.Action) {
	d.mu.Lock()
	t := d.tickets[id]
	d.mu.Unlock()
	if t == nil {
		// The caller has its answer or is gone: end the request in the state machine.
		d.events.Offer(dispatch.CallerGone{ID: id})
		return
	}
	select {
	case t.C <- a:
	default:
		d.log.Error("ticket is full", zap.String("request", id))
	}
}

func (d *Dispatcher) cancelStreams(ctx context.Context) {
	for {
		c, ok := d.cancels.Take(ctx)
		if !ok {
			return
		}
		cctx, done := context.WithTimeout(ctx, cancelTimeout)
		// A stream whose cancel fails is ended by the orphan sweep of the engine's owner.
		_ = d.engine.Cancel(cctx, d.Addr(c.Engine), c.Stream)
		done()
	}
}

// runOnNode runs f on the goroutine of the state machine. It returns false if that
// goroutine does not take f within a second.
func (d *Dispatcher) runOnNode(f func(*dispatch.Node)) bool {
	done := make(chan struct{})
	select {
	case d.calls <- func(n *dispatch.Node) { f(n); close(done) }:
		<-done
		return true
	case <-time.After(time.Second):
		return false
	}
}

// Dump implements auburnmoor.Dumper.
func (d *Dispatcher) Dump() any {
	out := Dump{Rings: []ring.Stats{d.events.Stats(), d.cancels.Stats()}}
	d.runOnNode(func(n *dispatch.Node) { out.Node = n.Dump() })
	return out
}

// Dump is the module state in the state dump.
type Dump struct {
	Node  dispatch.Dump `json:"node"`
	Rings []ring.Stats  `json:"rings"`
}

// Pending returns the number of unfinished requests.
func (d *Dispatcher) Pending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tickets)
}
