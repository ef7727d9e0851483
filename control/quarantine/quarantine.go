// Package quarantine shares between instances which requests, and which parts of prompts, crash
// the backend servers that run them, so that what crashed servers for one instance is not run by
// the next one that a client tries.
//
// poison.Disseminator describes the protocol, packages poison and blame the inference. Nothing is sent
// while no server crashes. What was decided, or is about to be, is kept in a record in the store as well,
// which outlives all instances; package durable says who writes it.
package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/evidence"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.quarantine"

func init() { auburnmoor.Register(new(Quarantine)) }

const (
	// batchDelay is how long changes are batched into one message: a crashing server fails
	// all of its running requests at once.
	batchDelay = 10 * time.Millisecond
	// expireInterval is the interval at which expired records are removed.
	expireInterval = time.Second
)

// Quarantine is the module "control.quarantine".
type Quarantine struct {
	// Off disables refusals; crashes are still recorded and shared.
	Off bool `toml:"off"`

	log     *zap.Logger
	now     func() time.Duration
	link    *peerlink.Link
	members *members.Members
	scope   tally.Scope
	changed chan struct{}

	self string
	// record is nil if there is no store to keep it in.
	record *recordKeeper

	// recordCount is the number of records of requests and of crashes. While it is zero, requests
	// are neither hashed nor looked up.
	recordCount atomic.Int64
	// crashed is signalled when the runs in progress have to be assessed again.
	crashed chan struct{}

	mu           sync.Mutex
	table        *poison.Table
	parts        *blame.Table
	disseminator *poison.Disseminator
	names        partNames
	// refused are the parts that are refused, as logged.
	refused map[blame.Key]bool
	// runs are the runs in progress at this instance.
	runs map[*Run]bool
}

// ModuleInfo implements auburnmoor.Module.
func (*Quarantine) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID}, OptIn: true,
		New: func() auburnmoor.Module { return new(Quarantine) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (q *Quarantine) Provision(c *auburnmoor.Context) (err error) {
	if q.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if q.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	q.log, q.now, q.scope, q.table = c.Log, c.Now, c.Scope, poison.NewTable()
	q.disseminator = poison.NewDisseminator(rand.New(rand.NewPCG(c.Seed, 4)))
	q.parts = blame.NewTable(blame.Options{Self: xxhash.Sum64String(c.Self.Name)})
	q.names, q.runs, q.self = partNames{}, map[*Run]bool{}, c.Self.Name
	if src, err := auburnmoor.Find[evidence.Source](c); err == nil {
		q.record = newRecordKeeper(src.Evidence(), q.place)
	}
	q.changed, q.crashed = make(chan struct{}, 1), make(chan struct{}, 1)
	q.members.AddToGossip(q.addDigest)
	q.link.Handle(q.receive)
	return nil
}

// Start implements auburnmoor.Starter.
func (q *Quarantine) Start(ctx context.Context) error {
	go q.run(ctx)
	go q.watchRuns(ctx)
	if q.record != nil {
		go q.keepRecord(ctx)
	}
	return nil
}

// Empty reports whether there are no records of any request.
func (q *Quarantine) Empty() bool { return q.recordCount.Load() == 0 }

// Assess assesses a request before it is sent to one of the given number of servers. Crashes
// that a refused part of other requests explains are no evidence against it.
func (q *Quarantine) Assess(k poison.Key, r *Run, servers int) (a poison.Assessment) {
	if q.Off {
		return a
	}
	q.withTable(func(t *poison.Table) { a = t.Assess(q.now(), k, servers, q.explains(r.features())) })
	return a
}

// explains returns whether other requests explain an exit; q.mu must be held when it is called.
func (q *Quarantine) explains(r blame.Run) func(poison.ServerExit) bool {
	return func(e poison.ServerExit) bool { return q.parts.Explains(blame.Exit{Server: e.Server, At: e.At}, r) }
}

// RecordCrash records that one of the given number of servers crashed while it ran a request.
func (q *Quarantine) RecordCrash(k poison.Key, c poison.Crash, server string, servers int, run *Run) {
	q.withTable(func(t *poison.Table) {
		t.AddCrash(q.now(), k, c)
		q.addCrashOfParts(c, servers, run)
		r := t.Assess(q.now(), k, servers, q.explains(run.features()))
		if r.Verdict != poison.Clean {
			q.scope.Counter("suspect_requests_total").Inc(1)
			q.log.Warn("request involved in several server crashes", zap.Stringer("identity", k), zap.Int("crashes", r.Crashes), zap.String("server", server))
		}
	})
}

// RecordFailure records that a client's request ended without an answer from a server.
func (q *Quarantine) RecordFailure(k poison.Key) {
	q.withTable(func(t *poison.Table) { t.MarkFailed(k) })
}

// RecordAnswer records that a server answered a request, which clears it of earlier crashes.
func (q *Quarantine) RecordAnswer(k poison.Key) {
	q.withTable(func(t *poison.Table) { t.MarkAnswered(q.now(), k) })
}

// withTable calls f with the table locked and schedules the sharing of changes that f made.
func (q *Quarantine) withTable(f func(*poison.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.table)
	q.recordCount.Store(int64(q.table.Len() + q.parts.Len()))
	if q.table.HasChanges() || q.parts.HasChanges() {
		q.want()
	}
	if q.table.HasChanges() {
		wake(q.changed)
	}
	if q.parts.HasChanges() {
		wake(q.changed)
		wake(q.crashed)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (q *Quarantine) run(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.withTable(func(t *poison.Table) {
				t.Expire(q.now())
				q.parts.Expire(q.now())
				q.want()
			})
		case <-q.changed:
			time.Sleep(batchDelay)
			q.disseminate()
		}
	}
}

// disseminate sends changes to randomly picked neighbours.
func (q *Quarantine) disseminate() {
	peers := q.members.Neighbours()
	q.mu.Lock()
	changes, crashes, stored := q.table.TakeChanged(), q.parts.Take(), q.takeStored()
	picked := q.disseminator.PickPeers(len(peers))
	q.mu.Unlock()
	for _, i := range picked {
		q.send(peers[i], changes)
		q.sendCrashes(peers[i], crashes, stored)
	}
}

func (q *Quarantine) send(peer string, changes poison.Changes) {
	if changes.Empty() {
		return
	}
	q.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_SuspectRequests{SuspectRequests: encode(q.now(), changes)}})
}

// addDigest adds the digest of all records to gossip.
func (q *Quarantine) addDigest(g *peerpb.Gossip) {
	if q.Empty() {
		return
	}
	q.withTable(func(t *poison.Table) { g.SuspectsDigest = t.Digest(q.now()) })
	q.withParts(func(t *blame.Table) { g.CrashesDigest = t.Digest(q.now()) })
}

func (q *Quarantine) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetGossip() != nil:
		q.repairPeer(from, env.GetGossip().SuspectsDigest, env.GetGossip().CrashesDigest)
	case env.GetSuspectRequests() != nil:
		q.merge(env.GetSuspectRequests())
	case env.GetCrashReport() != nil:
		q.mergeCrashes(env.GetCrashReport())
	}
}

// repairPeer sends all records to a peer whose digests differ, if a repair is due.
func (q *Quarantine) repairPeer(peer string, requests, crashes uint64) {
	if q.Empty() {
		return
	}
	var all poison.Changes
	var allCrashes blame.Changes
	q.mu.Lock()
	now := q.now()
	ownRequests, ownCrashes := q.table.Digest(now), q.parts.Digest(now)
	if q.disseminator.ShouldRepair(now, ownRequests^ownCrashes, requests^crashes) {
		all.Records, allCrashes = q.table.All(), q.parts.All()
	}
	q.mu.Unlock()
	q.send(peer, all)
	q.sendCrashes(peer, allCrashes, 0)
}

func (q *Quarantine) merge(in *peerpb.SuspectRequests) {
	q.withTable(func(t *poison.Table) {
		now := q.now()
		for _, r := range in.Requests {
			if rec, ok := decode(now, r); ok {
				t.Merge(now, rec)
			}
		}
		for _, e := range in.Ends {
			t.MergeExit(now, poison.ServerExit{Server: e.Server, At: now - peerpb.Micros(e.AgoUs)})
		}
	})
}

// Operate implements auburnmoor.Operable: "clear" clears a request or a part of prompts at all
// instances, in the same way as an answer to it.
func (q *Quarantine) Operate(action, subject string) error {
	if action != "clear" {
		return errors.Newf("unknown action %q, supported: \"clear\"", action)
	}
	if part, err := blame.ParseKey(subject); err == nil {
		q.log.Info("part of prompts cleared by an operator", zap.Stringer("part", part))
		q.withParts(func(t *blame.Table) { t.Free(part) })
		return nil
	}
	k, err := poison.ParseKey(subject)
	if err != nil {
		return err
	}
	q.log.Info("request cleared by an operator", zap.Stringer("identity", k))
	q.RecordAnswer(k)
	return nil
}
