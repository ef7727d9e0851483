// Package claims drives the ledgers of package claim: it owns some shards,
// answers claims of other instances and claims keys for its own callers.
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/platformapi"
	"github.com/auburnmoor/auburnmoor/decide/claim"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.claims"

func init() { auburnmoor.Register(new(Claims)) }

// Claims is the module "control.claims".
type Claims struct {
	// Spacing is the least time between two commits of a ledger.
	Spacing settings.Duration `toml:"spacing"`
	// KeepKeys is how long an idempotency key is remembered.
	KeepKeys settings.Duration `toml:"keep_keys"`
	// KeepAnswers is how long a finished answer stays available to its key.
	KeepAnswers settings.Duration `toml:"keep_answers"`

	self   string
	log    *zap.Logger
	now    func() time.Duration
	store  *objectapi.Client
	link   *peerlink.Link
	events *ring.Ring[claim.Event]
	calls  *ring.Ring[claim.Action]
	dumps  chan chan claim.Dump

	mu      sync.Mutex
	owners  []string
	granted claim.GrantLog
	waiting map[string]chan *peerpb.ClaimReply
}

// ModuleInfo implements auburnmoor.Module.
func (*Claims) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{platformapi.ID, peerlink.ID, members.ID},
		New: func() auburnmoor.Module { return new(Claims) },
	}
}

// Bounds of the module.
const (
	ringSize     = 4096
	storeWorkers = claim.Shards
	storeTimeout = 4 * time.Second
	tickEvery    = 20 * time.Millisecond
	// resendEvery repeats a claim whose request or reply was lost.
	resendEvery = 300 * time.Millisecond
)

// Provision implements auburnmoor.Provisioner.
func (c *Claims) Provision(ctx *auburnmoor.Context) error {
	p, err := auburnmoor.Require[*platformapi.Platform](ctx, platformapi.ID)
	if err != nil {
		return err
	}
	if c.link, err = auburnmoor.Require[*peerlink.Link](ctx, peerlink.ID); err != nil {
		return err
	}
	mem, err := auburnmoor.Require[*members.Members](ctx, members.ID)
	if err != nil {
		return err
	}
	c.self, c.log, c.now, c.store = ctx.Self.Name, ctx.Log, ctx.Now, p.Store()
	c.events = ring.New[claim.Event]("claims.events", ringSize)
	c.calls = ring.New[claim.Action]("claims.store", ringSize)
	c.dumps = make(chan chan claim.Dump)
	c.waiting = map[string]chan *peerpb.ClaimReply{}
	c.link.Handle(c.receive)
	mem.Carry(func(g *peerpb.Gossip) { g.StoreEra = c.store.Era() })
	mem.OnView(c.replaceView)
	return nil
}

func (c *Claims) config() claim.Config {
	cfg := claim.DefaultConfig()
	if c.Spacing > 0 {
		cfg.MinCommitInterval = c.Spacing.Std()
	}
	if c.KeepKeys > 0 {
		cfg.KeyRetention = c.KeepKeys.Std()
	}
	if c.KeepAnswers > 0 {
		cfg.AnswerRetention = c.KeepAnswers.Std()
	}
	return cfg
}

// Start implements auburnmoor.Starter.
func (c *Claims) Start(ctx context.Context) error {
	go c.run(ctx)
	go c.settled(ctx)
	for range storeWorkers {
		go c.callStore(ctx)
	}
	return nil
}

func (c *Claims) run(ctx context.Context) {
	m := claim.New(c.self, c.config())
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var ev claim.Event = claim.Tick{}
		select {
		case <-ctx.Done():
			return
		case ev = <-c.events.C():
		case <-t.C:
			c.retell()
			ev = claim.EraReported{Era: c.store.Era()}
			c.carryOut(m.Step(c.now(), time.Now().Unix(), ev))
			ev = claim.Tick{}
		case out := <-c.dumps:
			out <- m.Dump()
			continue
		}
		c.carryOut(m.Step(c.now(), time.Now().Unix(), ev))
	}
}

func (c *Claims) carryOut(actions []claim.Action) {
	for _, a := range actions {
		if r, ok := a.(claim.Reply); ok {
			c.deliver(r)
			continue
		}
		// A call that finds no room never answers; the ledger then treats its
		// outcome as unknown.
		c.calls.Offer(a)
	}
}

func (c *Claims) deliver(r claim.Reply) {
	if r.To != c.self {
		c.link.Send(r.To, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: r.Reply}})
		return
	}
	c.answer(r.Reply)
}

func (c *Claims) answer(r *peerpb.ClaimReply) {
	c.mu.Lock()
	ch := c.waiting[r.RequestId]
	c.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- r:
	default:
	}
}

func (c *Claims) callStore(ctx context.Context) {
	for {
		a, ok := c.calls.Take(ctx)
		if !ok {
			return
		}
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		c.carryOutCall(cctx, a)
		cancel()
	}
}

// retell tells the owners of ledgers of the claims that were granted here, when the store
// may have lost them.
func (c *Claims) retell() {
	c.mu.Lock()
	due := c.granted.NextReclaims(c.now(), c.store.Era())
	c.mu.Unlock()
	remote := map[string][]*peerpb.Reclaim{}
	for _, r := range due {
		owner := c.ownerOf(r.Customer, r.Key)
		if owner == c.self {
			c.events.Offer(claim.Reclaimed{Claim: r})
			continue
		}
		remote[owner] = append(remote[owner], r)
	}
	for owner, claims := range remote {
		c.link.Send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_Reclaims{Reclaims: &peerpb.Reclaims{Claims: claims}}})
	}
}

func (c *Claims) carryOutCall(ctx context.Context, a claim.Action) {
	switch a := a.(type) {
	case claim.List:
		era := c.store.Era()
		objects, err := c.store.List(ctx, a.Prefix)
		c.events.Offer(claim.Listed{Shard: a.Shard, Objects: objects, Err: err, Era: era})
	case claim.Write:
		version, err := c.store.Put(ctx, a.Key, a.Value, a.Expect)
		c.events.Offer(claim.Written{Shard: a.Shard, ID: a.ID, Version: version, Err: err})
	case claim.Remove:
		_ = c.store.Delete(ctx, a.Key, a.Expect)
	}
}

func (c *Claims) receive(from string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Gossip:
		c.store.ObserveEra(b.Gossip.StoreEra)
	case *peerpb.Envelope_Reclaims:
		for _, r := range b.Reclaims.Claims {
			c.events.Offer(claim.Reclaimed{Claim: r})
		}
	case *peerpb.Envelope_Claim:
		c.events.Offer(claim.ClaimRequested{From: from, Claim: b.Claim})
	case *peerpb.Envelope_ClaimResult:
		c.events.Offer(claim.ResultReported{Result: b.ClaimResult})
	case *peerpb.Envelope_ClaimReply:
		c.answer(b.ClaimReply)
	}
}

func (c *Claims) replaceView(v members.View) {
	owners := member.Owners(v.Alive)
	c.mu.Lock()
	c.owners = owners
	c.mu.Unlock()
	if c.now() >= settle {
		c.events.Offer(c.owned())
	}
}

// settle is the time after the start in which no ledger is taken over. An
// instance that has heard of no other believes that it owns everything; taking
// over ledgers then would depose their true owners and delay their claims.
const settle = 2 * time.Second

func (c *Claims) settled(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settle):
		c.events.Offer(c.owned())
	}
}

func (c *Claims) owned() claim.OwnershipChanged {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claim.ShardsOwnedBy(c.self, c.owners)
}

func (c *Claims) ownerOf(customer, key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claim.OwnerOf(customer, key, c.owners)
}

// Claim asks the owner of the key's ledger until it answers or ctx ends. An
// error means that nothing was granted to this request, unless a grant comes
// late; the caller must then not run the request.
func (c *Claims) Claim(ctx context.Context, req *peerpb.Claim) (*peerpb.ClaimReply, error) {
	ch := make(chan *peerpb.ClaimReply, 1)
	c.mu.Lock()
	c.waiting[req.RequestId] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, req.RequestId)
		c.mu.Unlock()
	}()
	t := time.NewTicker(resendEvery)
	defer t.Stop()
	for {
		c.toOwner(req.Customer, req.Key, claim.ClaimRequested{From: c.self, Claim: req}, &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: req}})
		select {
		case r := <-ch:
			if r.State == peerpb.ClaimState_CLAIM_GRANTED {
				c.mu.Lock()
				c.granted.Add(c.now(), req)
				c.mu.Unlock()
			}
			return r, nil
		case <-t.C:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "claim")
		}
	}
}

// Record tells the ledger what became of a claimed request.
func (c *Claims) Record(res *peerpb.ClaimResult) {
	c.toOwner(res.Customer, res.Key, claim.ResultReported{Result: res}, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimResult{ClaimResult: res}})
}

func (c *Claims) toOwner(customer, key string, local claim.Event, remote *peerpb.Envelope) {
	owner := c.ownerOf(customer, key)
	if owner == c.self {
		c.events.Offer(local)
		return
	}
	c.link.Send(owner, remote)
}

// Dump implements auburnmoor.Dumper.
func (c *Claims) Dump() any {
	d := Dump{Rings: []ring.Stats{c.events.Stats(), c.calls.Stats()}}
	out := make(chan claim.Dump, 1)
	select {
	case c.dumps <- out:
		d.Ledgers = <-out
	case <-time.After(time.Second):
	}
	return d
}

// Dump is the state of the module.
type Dump struct {
	Ledgers claim.Dump   `json:"ledgers"`
	Rings   []ring.Stats `json:"rings"`
}
