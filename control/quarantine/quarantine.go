// Package quarantine shares between instances which requests crash the backend servers
// that run them, so that a request that crashed servers for one instance is not run by the
// next one that its client tries.
//
// poison.Disseminator describes the protocol. Nothing is sent while no server crashes.
package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
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

	// recordCount is the number of records. While it is zero, requests are neither hashed nor
	// looked up.
	recordCount atomic.Int64

	mu           sync.Mutex
	table        *poison.Table
	disseminator *poison.Disseminator
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
	q.changed = make(chan struct{}, 1)
	q.members.AddToGossip(q.addDigest)
	q.link.Handle(q.receive)
	return nil
}

// Start implements auburnmoor.Starter.
func (q *Quarantine) Start(ctx context.Context) error {
	go q.run(ctx)
	return nil
}

// Empty reports whether there are no records of any request.
func (q *Quarantine) Empty() bool { return q.recordCount.Load() == 0 }

// Assess assesses a request before it is sent to one of the given number of servers.
func (q *Quarantine) Assess(k poison.Key, servers int) (r poison.Assessment) {
	if q.Off {
		return r
	}
	q.withTable(func(t *poison.Table) { r = t.Assess(q.now(), k, servers) })
	return r
}

// RecordCrash records that one of the given number of servers crashed while it ran a request.
func (q *Quarantine) RecordCrash(k poison.Key, c poison.Crash, server string, servers int) {
	q.withTable(func(t *poison.Table) {
		t.AddCrash(q.now(), k, c)
		r := t.Assess(q.now(), k, servers)
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
	q.recordCount.Store(int64(q.table.Len()))
	if q.table.HasChanges() {
		q.wake()
	}
}

func (q *Quarantine) wake() {
	select {
	case q.changed <- struct{}{}:
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
			q.withTable(func(t *poison.Table) { t.Expire(q.now()) })
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
	changes := q.table.TakeChanged()
	picked := q.disseminator.PickPeers(len(peers))
	q.mu.Unlock()
	for _, i := range picked {
		q.send(peers[i], changes)
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
}

func (q *Quarantine) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetGossip() != nil:
		q.repairPeer(from, env.GetGossip().SuspectsDigest)
	case env.GetSuspectRequests() != nil:
		q.merge(env.GetSuspectRequests())
	}
}

// repairPeer sends all records to a peer whose digest differs, if a repair is due.
func (q *Quarantine) repairPeer(peer string, digest uint64) {
	if q.Empty() {
		return
	}
	var all poison.Changes
	q.withTable(func(t *poison.Table) {
		if now := q.now(); q.disseminator.ShouldRepair(now, t.Digest(now), digest) {
			all.Records = t.All()
		}
	})
	q.send(peer, all)
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

// Operate implements auburnmoor.Operable: "clear" clears a request at all instances, in the
// same way as an answer to it.
func (q *Quarantine) Operate(action, subject string) error {
	if action != "clear" {
		return errors.Newf("unknown action %q, supported: \"clear\"", action)
	}
	k, err := poison.ParseKey(subject)
	if err != nil {
		return err
	}
	q.log.Info("request cleared by an operator", zap.Stringer("identity", k))
	q.RecordAnswer(k)
	return nil
}

// Dump implements auburnmoor.Dumper.
func (q *Quarantine) Dump() any {
	d := Dump{}
	q.withTable(func(t *poison.Table) {
		now := q.now()
		d.ServerEnds = t.ExitCount()
		for _, r := range t.All() {
			assessment := t.Assess(now, r.Key, 0)
			d.Requests = append(d.Requests, DumpRequest{
				Identity: r.Key.String(), Crashes: len(r.Crashes), Successive: assessment.Crashes, Refused: assessment.Verdict == poison.Poisonous,
				RetryAfterMS: assessment.RetryAfter.Milliseconds(), ChangedMS: (now - r.Changed).Milliseconds(),
			})
		}
	})
	return d
}

// Dump is the state of the module.
type Dump struct {
	// ServerEnds is the number of recent server exits.
	ServerEnds int           `json:"server_ends"`
	Requests   []DumpRequest `json:"requests,omitempty"`
}

// DumpRequest is a request that was running when servers crashed.
type DumpRequest struct {
	Identity string `json:"identity"`
	// Crashes is the number of crashes since its last answer, Successive the number of
	// those that count as evidence against it.
	Crashes    int  `json:"crashes"`
	Successive int  `json:"successive"`
	Refused    bool `json:"refused"`
	// RetryAfterMS is the time until it may be tried again, ChangedMS the time since the
	// last crash or answer.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	ChangedMS    int64 `json:"changed_ms"`
}
