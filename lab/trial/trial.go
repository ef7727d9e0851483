// Package trial runs the state machines of a few instances around one fake
// store in virtual time, injects faults and counts violations of the system's
// invariants. It is a small event loop over the real decision code, not a simulator
// of networks or processes.
package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/claim"
	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/decide/lease"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// Options configure a trial.
type Options struct {
	Instances int
	Seed      uint64
	Duration  time.Duration
	// FaultEvery is the mean time between faults; zero disables them.
	FaultEvery time.Duration
	// ClaimEvery and ConfigEvery are the mean times between requests with an
	// idempotency key and between configuration changes.
	ClaimEvery, ConfigEvery time.Duration
	// Mutant disables one guard, to show that the trial detects its absence.
	Mutant Mutant
}

// Mutant names a guard to disable.
type Mutant string

// The mutants.
const (
	// NoFence disables the version check of ledger writes, so that a new owner
	// of a ledger does not fence off the old one.
	NoFence Mutant = "no-fence"
	// NoPauseCheck lets a former lease holder give orders without checking the
	// clock again.
	NoPauseCheck Mutant = "no-pause-check"
	// AdoptAny lets an older configuration replace a newer one.
	AdoptAny Mutant = "adopt-any"
	// BlindRetry makes an instance act on claim replies for requests that it has
	// given up or has already run.
	BlindRetry Mutant = "blind-retry"
	// NoReclaim stops instances from reclaiming their grants after the store lost
	// some of them.
	NoReclaim Mutant = "no-reclaim"
)

// Intervals of the loop, and minimum latencies of the network and the store.
const (
	tickInterval  = 100 * time.Millisecond
	linkDelay     = 2 * time.Millisecond
	storeDelay    = 5 * time.Millisecond
	orderInterval = time.Second
)

// Trial is one simulated run.
type Trial struct {
	o         Options
	rand      *rand.Rand
	clock     vtime.Queue
	store     *Store
	instances []*instance
	cutLinks  map[[2]string]bool
	engines   map[string]*enginecore.Core
	fences    map[string]uint64
	keys      map[string]*keyState
	accepted  uint64
	changes   []*change
	Report    Report
}

// New returns a trial at time zero.
func New(o Options) *Trial {
	r := rand.New(rand.NewPCG(o.Seed, 3))
	t := &Trial{
		o: o, rand: r, store: NewStore(r), cutLinks: map[[2]string]bool{}, engines: map[string]*enginecore.Core{},
		fences: map[string]uint64{}, keys: map[string]*keyState{}, Report: newReport(),
	}
	for _, fencing := range []bool{true, false} {
		name := fmt.Sprintf("engine-fencing-%t", fencing)
		t.engines[name] = enginecore.New(enginecore.Config{Name: name, Fencing: fencing, KVTokens: 1000, Assume: enginecore.Assumed(1)})
	}
	for i := range o.Instances {
		t.instances = append(t.instances, t.newInstance(i, 1))
	}
	return t
}

func (t *Trial) after(d time.Duration, run func()) { t.clock.After(d, run) }

func (t *Trial) now() time.Duration { return t.clock.Now() }

// jitter returns an exponentially distributed time.
func (t *Trial) jitter(mean time.Duration) time.Duration {
	return time.Duration(t.rand.ExpFloat64() * float64(mean))
}

// Run runs the trial to its end and returns its report.
func (t *Trial) Run() Report {
	for _, in := range t.instances {
		t.startTicks(in)
	}
	t.repeat(t.o.ClaimEvery, t.newClaim)
	t.repeat(t.o.ConfigEvery, t.changeConfig)
	t.repeat(t.o.FaultEvery, t.injectFault)
	t.clock.RunUntil(t.o.Duration, vtime.Always)
	t.finish()
	return t.Report
}

func (t *Trial) repeat(mean time.Duration, f func()) {
	if mean <= 0 {
		return
	}
	var again func()
	again = func() {
		f()
		t.after(t.jitter(mean), again)
	}
	t.after(t.jitter(mean), again)
}

// instance is one simulated process: its state machines, and the faults that
// affect it.
type instance struct {
	t           *Trial
	index       int
	name        string
	incarnation uint64
	began       time.Duration
	dead        bool
	paused      bool
	backlog     []func()
	clockJump   time.Duration

	table      *member.Table
	claims     *claim.Machine
	lease      *lease.Lease
	holder     confver.Holder
	nextOrder  time.Duration
	wasAllowed bool
	// era is the highest store era that the instance has seen.
	era     uint64
	granted claim.GrantLog
}

func (t *Trial) newInstance(i int, incarnation uint64) *instance {
	in := &instance{t: t, index: i, name: fmt.Sprintf("entry-%d", i+1), incarnation: incarnation, began: t.now()}
	self := &peerpb.MemberState{Name: in.name, Incarnation: incarnation, PeerAddr: in.name}
	in.table = member.NewTable(self, member.DefaultConfig(), rand.New(rand.NewPCG(t.o.Seed+uint64(i), incarnation)))
	in.claims = claim.New(in.name, claim.DefaultConfig())
	in.lease = lease.New(fmt.Sprintf("%s~%d", in.name, incarnation), lease.DefaultConfig())
	var contacts []member.Contact
	for j := range t.o.Instances {
		contacts = append(contacts, member.Contact{Name: fmt.Sprintf("entry-%d", j+1)})
	}
	in.table.SetContacts(contacts)
	return in
}

// do runs f on the instance: at once, on resumption if it is paused, or never if
// it is dead.
func (in *instance) do(f func()) {
	switch {
	case in.dead:
	case in.paused:
		in.backlog = append(in.backlog, f)
	default:
		f()
	}
}

// now returns the instance's monotonic clock.
func (in *instance) now() time.Duration { return in.t.now() - in.began }

// wallClock returns the instance's wall clock in Unix seconds.
func (in *instance) wallClock() int64 {
	return int64((time.Hour + in.t.now() + in.clockJump) / time.Second)
}

func (t *Trial) startTicks(in *instance) {
	var tick func()
	tick = func() {
		if in.dead {
			return
		}
		if !in.paused {
			in.tick()
		}
		t.after(tickInterval, tick)
	}
	t.after(time.Duration(t.rand.Int64N(int64(tickInterval))), tick)
}

// takeoverDelay mirrors the delay before a new instance takes over ledgers.
const takeoverDelay = 2 * time.Second

func (in *instance) tick() {
	for _, m := range in.table.Tick(in.now()) {
		m.Gossip.ConfigVersion, m.Gossip.StoreEra = in.holder.Version(), in.era
		in.send(m.To, &peerpb.Envelope{Body: &peerpb.Envelope_Gossip{Gossip: m.Gossip}})
	}
	owners := member.Owners(in.table.Alive(in.now()))
	if in.now() > takeoverDelay {
		in.claim(claim.ShardsOwnedBy(in.name, owners))
	}
	in.claim(claim.EraReported{Era: in.era})
	in.sendReclaims()
	in.claim(claim.Tick{})
	in.lease.SetEligible(true)
	in.leaseStep(lease.Tick{})
	in.order()
	in.readConfig(owners)
}

func (in *instance) send(to string, env *peerpb.Envelope) {
	t := in.t
	if t.cutLinks[[2]string{in.name, to}] {
		return
	}
	env.From = in.name
	t.after(linkDelay+t.jitter(linkDelay), func() {
		for _, dst := range t.instances {
			if dst.name == to {
				dst.do(func() { dst.receive(env) })
			}
		}
	})
}

func (in *instance) receive(env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Reclaims:
		for _, r := range b.Reclaims.Claims {
			in.claim(claim.Reclaimed{Claim: r})
		}
	case *peerpb.Envelope_Gossip:
		in.era = max(in.era, b.Gossip.StoreEra)
		in.table.Receive(in.now(), b.Gossip)
		if b.Gossip.ConfigVersion > in.holder.Version() {
			in.send(env.From, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{HaveVersion: in.holder.Version()}}})
		}
	case *peerpb.Envelope_ConfigRequest:
		in.send(env.From, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Version: in.holder.Version(), Content: in.holder.Content()}}})
	case *peerpb.Envelope_ConfigReply:
		in.adopt(b.ConfigReply.Version, b.ConfigReply.Content)
	case *peerpb.Envelope_Claim:
		in.claim(claim.ClaimRequested{From: env.From, Claim: b.Claim})
	case *peerpb.Envelope_ClaimResult:
		in.claim(claim.ResultReported{Result: b.ClaimResult})
	case *peerpb.Envelope_ClaimReply:
		in.claimReply(b.ClaimReply)
	}
}

// call makes an asynchronous call to the store: f takes effect after one delay, and
// its reply arrives after another.
func (in *instance) call(f func() func()) {
	t := in.t
	t.after(storeDelay+t.jitter(storeDelay), func() {
		done, era, down := f(), t.store.Era(), t.store.Down
		t.after(storeDelay, func() {
			in.do(func() {
				if !down {
					in.era = max(in.era, era)
				}
				done()
			})
		})
	})
}

func (in *instance) leaseStep(ev lease.Event) {
	for _, a := range in.lease.Step(in.now(), ev) {
		in.call(func() func() {
			era := in.t.store.Era()
			switch a := a.(type) {
			case lease.Put:
				v, err := in.t.store.Put(context.Background(), leaseKey, a.Value, a.Expect)
				return func() { in.leaseStep(lease.Wrote{WriteID: a.WriteID, Version: v, Err: err, Era: era}) }
			default:
				obj, err := in.t.store.Get(context.Background(), leaseKey)
				return func() { in.leaseStep(lease.Read{Object: obj, Err: err, Era: era}) }
			}
		})
	}
}

const leaseKey = "lease/orders"

// order sends an order to each engine if the lease allows it.
func (in *instance) order() {
	allowed := in.lease.MayOrder(in.now())
	if in.t.o.Mutant == NoPauseCheck {
		allowed = allowed || in.wasAllowed
		in.wasAllowed = in.lease.MayOrder(in.now()) || in.wasAllowed && in.lease.Fence() > 0
	}
	if !allowed || in.now() < in.nextOrder {
		return
	}
	in.nextOrder = in.now() + orderInterval
	fence := in.lease.Fence()
	for _, name := range []string{"engine-fencing-true", "engine-fencing-false"} {
		in.t.after(in.t.jitter(100*time.Millisecond), func() { in.t.deliverOrder(name, fence) })
	}
}

// deliverOrder executes an order at an engine and checks its fencing number.
func (t *Trial) deliverOrder(name string, fence uint64) {
	t.Report.Orders++
	err := t.engines[name].Order(t.now(), engine.Order{Kind: engine.OrderLoad, Target: "m", Fence: fence})
	if err != nil {
		t.Report.StaleRefused++
		return
	}
	if fence < t.fences[name] {
		t.Report.recordViolation("orders from one holder at a time", "%s accepted fence %d after %d", name, fence, t.fences[name])
	}
	t.fences[name] = max(t.fences[name], fence)
}

func (in *instance) claim(ev claim.Event) {
	for _, a := range in.claims.Step(in.now(), in.wallClock(), ev) {
		switch a := a.(type) {
		case claim.Reply:
			if a.To == in.name {
				in.claimReply(a.Reply)
				continue
			}
			in.send(a.To, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: a.Reply}})
		case claim.List:
			in.call(func() func() {
				era := in.t.store.Era()
				objs, err := in.t.store.List(context.Background(), a.Prefix)
				return func() { in.claim(claim.Listed{Shard: a.Shard, Objects: objs, Err: err, Era: era}) }
			})
		case claim.Write:
			in.call(func() func() { return in.write(a) })
		case claim.Remove:
			in.call(func() func() {
				_ = in.t.store.Delete(context.Background(), a.Key, a.Expect)
				return func() {}
			})
		}
	}
}

func (in *instance) write(a claim.Write) func() {
	expect := a.Expect
	if in.t.o.Mutant == NoFence {
		expect = in.t.store.objects[a.Key].Version
	}
	v, err := in.t.store.Put(context.Background(), a.Key, a.Value, expect)
	return func() { in.claim(claim.Written{Shard: a.Shard, ID: a.ID, Version: v, Err: err}) }
}
