// Package claims runs the ledgers of package claim: it owns some shards of the idempotency
// keys, answers claims of other instances and claims keys for this instance's callers.
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
	// Spacing is the minimum interval between two commits of a ledger.
	Spacing settings.Duration `toml:"spacing"`
	// KeepKeys is how long an idempotency key is retained.
	KeepKeys settings.Duration `toml:"keep_keys"`
	// KeepAnswers is how long a finished answer is retained for replay.
	KeepAnswers settings.Duration `toml:"keep_answers"`

	self         string
	log          *zap.Logger
	now          func() time.Duration
	store        *objectapi.Client
	link         *peerlink.Link
	events       *ring.Ring[claim.Event]
	storeCalls   *ring.Ring[claim.Action]
	dumpRequests chan chan claim.Dump

	mu         sync.Mutex
	owners     []string
	granted    claim.GrantLog
	replyChans map[string]chan *peerpb.ClaimReply
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
	tickInterval = 20 * time.Millisecond
	// resendInterval is the interval at which a claim without reply is repeated.
	resendInterval = 300 * time.Millisecond
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
	membership, err := auburnmoor.Require[*members.Members](ctx, members.ID)
	if err != nil {
		return err
	}
	c.self, c.log, c.now, c.store = ctx.Self.Name, ctx.Log, ctx.Now, p.Store()
	c.events = ring.New[claim.Event]("claims.events", ringSize)
	c.storeCalls = ring.New[claim.Action]("claims.store", ringSize)
	c.dumpRequests = make(chan chan claim.Dump)
	c.replyChans = map[string]chan *peerpb.ClaimReply{}
	c.link.Handle(c.receive)
	membership.AddToGossip(func(g *peerpb.Gossip) { g.StoreEra = c.store.Era() })
	membership.OnView(c.updateOwners)
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
	go c.startOwnership(ctx)
	for range storeWorkers {
		go c.runStoreCalls(ctx)
	}
	return nil
}

func (c *Claims) run(ctx context.Context) {
	m := claim.New(c.self, c.config())
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		var ev claim.Event = claim.Tick{}
		select {
		case <-ctx.Done():
			return
		case ev = <-c.events.C():
		case <-t.C:
			c.resendGranted()
			ev = claim.EraReported{Era: c.store.Era()}
			c.executeActions(m.Step(c.now(), time.Now().Unix(), ev))
			ev = claim.Tick{}
		case out := <-c.dumpRequests:
			out <- m.Dump()
			continue
		}
		c.executeActions(m.Step(c.now(), time.Now().Unix(), ev))
	}
}

func (c *Claims) executeActions(actions []claim.Action) {
	for _, a := range actions {
		if r, ok := a.(claim.Reply); ok {
			c.sendReply(r)
			continue
		}
		// A call that is dropped by a full ring never completes; the ledger then treats
		// its outcome as unknown.
		c.storeCalls.Offer(a)
	}
}

func (c *Claims) sendReply(r claim.Reply) {
	if r.To != c.self {
		c.link.Send(r.To, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: r.Reply}})
		return
	}
	c.deliverReply(r.Reply)
}

func (c *Claims) deliverReply(r *peerpb.ClaimReply) {
	c.mu.Lock()
	ch := c.replyChans[r.RequestId]
	c.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- r:
	default:
	}
}

func (c *Claims) runStoreCalls(ctx context.Context) {
	for {
		a, ok := c.storeCalls.Take(ctx)
		if !ok {
			return
		}
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		c.executeStoreCall(cctx, a)
		cancel()
	}
}

// resendGranted sends the claims granted to this instance to the ledgers' owners again when the
// store may have lost them.
func (c *Claims) resendGranted() {
	c.mu.Lock()
	reclaims := c.granted.NextReclaims(c.now(), c.store.Era())
	c.mu.Unlock()
	remote := map[string][]*peerpb.Reclaim{}
	for _, r := range reclaims {
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

func (c *Claims) executeStoreCall(ctx context.Context, a claim.Action) {
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
		c.deliverReply(b.ClaimReply)
	}
}

func (c *Claims) updateOwners(v members.View) {
	owners := member.Owners(v.Alive)
	c.mu.Lock()
	c.owners = owners
	c.mu.Unlock()
	if c.now() >= settlePeriod {
		c.events.Offer(c.ownedShards())
	}
}

// settlePeriod is the time after start in which no ledger is taken over. An instance that does
// not know its peers yet computes that it owns all shards; taking over their ledgers would
// depose the right owners and delay their claims.
const settlePeriod = 2 * time.Second

// startOwnership takes over the ledgers that this instance owns after settlePeriod.
func (c *Claims) startOwnership(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settlePeriod):
		c.events.Offer(c.ownedShards())
	}
}

func (c *Claims) ownedShards() claim.OwnershipChanged {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claim.ShardsOwnedBy(c.self, c.owners)
}

func (c *Claims) ownerOf(customer, key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claim.OwnerOf(customer, key, c.owners)
}

// Claim sends the claim to the owner of the key's ledger until it replies or ctx ends. After
// an error the caller must not run the request: no grant was received, though one may still
// be on its way.
func (c *Claims) Claim(ctx context.Context, req *peerpb.Claim) (*peerpb.ClaimReply, error) {
	ch := make(chan *peerpb.ClaimReply, 1)
	c.mu.Lock()
	c.replyChans[req.RequestId] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.replyChans, req.RequestId)
		c.mu.Unlock()
	}()
	t := time.NewTicker(resendInterval)
	defer t.Stop()
	for {
		c.sendToOwner(req.Customer, req.Key, claim.ClaimRequested{From: c.self, Claim: req}, &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: req}})
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

// Record reports the result of a claimed request to the ledger's owner.
func (c *Claims) Record(res *peerpb.ClaimResult) {
	c.sendToOwner(res.Customer, res.Key, claim.ResultReported{Result: res}, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimResult{ClaimResult: res}})
}

// sendToOwner delivers an event to the ledger's owner: local to this instance, remote to a peer.
func (c *Claims) sendToOwner(customer, key string, local claim.Event, remote *peerpb.Envelope) {
	owner := c.ownerOf(customer, key)
	if owner == c.self {
		c.events.Offer(local)
		return
	}
	c.link.Send(owner, remote)
}

// Dump implements auburnmoor.Dumper.
func (c *Claims) Dump() any {
	d := Dump{Rings: []ring.Stats{c.events.Stats(), c.storeCalls.Stats()}}
	out := make(chan claim.Dump, 1)
	select {
	case c.dumpRequests <- out:
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
