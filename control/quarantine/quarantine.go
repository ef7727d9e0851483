// Package quarantine shares between instances which requests crash the backend servers
// that run them, so that a request which ended servers at one instance is not run at the
// next one that its client asks.
//
// poison.Disseminator says how; while no server crashes nothing is sent.
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
	// gatherFor is how long changes are gathered into one message: a server that ends
	// does so with all that it runs.
	gatherFor = 10 * time.Millisecond
	// expireEvery is how often records are looked through.
	expireEvery = time.Second
)

// Quarantine is the module "control.quarantine".
type Quarantine struct {
	// Off refuses no request, whatever servers crash with it.
	Off bool `toml:"off"`

	log     *zap.Logger
	now     func() time.Duration
	link    *peerlink.Link
	members *members.Members
	scope   tally.Scope
	changed chan struct{}

	// known is the number of records, so that requests are not looked up, nor hashed for
	// that, while there are none.
	known atomic.Int64

	mu    sync.Mutex
	table *poison.Table
	share *poison.Disseminator
}

// ModuleInfo implements auburnmoor.Module.
func (*Quarantine) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID}, OnRequest: true,
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
	q.share = poison.NewDisseminator(rand.New(rand.NewPCG(c.Seed, 4)))
	q.changed = make(chan struct{}, 1)
	q.members.Carry(q.tellDigest)
	q.link.Handle(q.receive)
	return nil
}

// Start implements auburnmoor.Starter.
func (q *Quarantine) Start(ctx context.Context) error {
	go q.run(ctx)
	return nil
}

// Empty reports whether nothing is known against any request.
func (q *Quarantine) Empty() bool { return q.known.Load() == 0 }

// Judge rules on a request that is about to be sent to one of so many servers.
func (q *Quarantine) Judge(k poison.Key, servers int) (r poison.Assessment) {
	if q.Off {
		return r
	}
	q.on(func(t *poison.Table) { r = t.Assess(q.now(), k, servers) })
	return r
}

// Crashed notes that one of so many servers ended while it ran a request.
func (q *Quarantine) Crashed(k poison.Key, c poison.Crash, server string, servers int) {
	q.on(func(t *poison.Table) {
		t.AddCrash(q.now(), k, c)
		r := t.Assess(q.now(), k, servers)
		if r.Verdict != poison.Clean {
			q.scope.Counter("suspect_requests_total").Inc(1)
			q.log.Warn("request was part of several crashes of servers", zap.Stringer("identity", k), zap.Int("crashes", r.Crashes), zap.String("server", server))
		}
	})
}

// Failed notes that a client attempt ended without a server's answer.
func (q *Quarantine) Failed(k poison.Key) {
	q.on(func(t *poison.Table) { t.MarkFailed(k) })
}

// Answered notes that a server answered a request: it is not the cause of crashes.
func (q *Quarantine) Answered(k poison.Key) {
	q.on(func(t *poison.Table) { t.MarkAnswered(q.now(), k) })
}

// on changes or reads the table.
func (q *Quarantine) on(f func(*poison.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.table)
	q.known.Store(int64(q.table.Len()))
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
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.on(func(t *poison.Table) { t.Expire(q.now()) })
		case <-q.changed:
			time.Sleep(gatherFor)
			q.spread()
		}
	}
}

// spread passes changes on.
func (q *Quarantine) spread() {
	peers := q.members.Neighbours()
	q.mu.Lock()
	changes := q.table.TakeChanged()
	next := q.share.PickPeers(len(peers))
	q.mu.Unlock()
	for _, i := range next {
		q.send(peers[i], changes)
	}
}

func (q *Quarantine) send(peer string, changes poison.Changes) {
	if changes.Empty() {
		return
	}
	q.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_SuspectRequests{SuspectRequests: encode(q.now(), changes)}})
}

func (q *Quarantine) tellDigest(g *peerpb.Gossip) {
	if q.Empty() {
		return
	}
	q.on(func(t *poison.Table) { g.SuspectsDigest = t.Digest(q.now()) })
}

func (q *Quarantine) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetGossip() != nil:
		q.compare(from, env.GetGossip().SuspectsDigest)
	case env.GetSuspectRequests() != nil:
		q.merge(env.GetSuspectRequests())
	}
}

// compare tells a peer all that is known here if it knows something else.
func (q *Quarantine) compare(peer string, digest uint64) {
	if q.Empty() {
		return
	}
	var all poison.Changes
	q.on(func(t *poison.Table) {
		if now := q.now(); q.share.ShouldRepair(now, t.Digest(now), digest) {
			all.Records = t.All()
		}
	})
	q.send(peer, all)
}

func (q *Quarantine) merge(in *peerpb.SuspectRequests) {
	q.on(func(t *poison.Table) {
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

// Operate implements auburnmoor.Operable: "clear" ends what is known against a request, at
// all instances, as an answer to it does.
func (q *Quarantine) Operate(action, subject string) error {
	if action != "clear" {
		return errors.Newf("unknown action %q, there is \"clear\"", action)
	}
	k, err := poison.ParseKey(subject)
	if err != nil {
		return err
	}
	q.log.Info("an operator cleared a request", zap.Stringer("identity", k))
	q.Answered(k)
	return nil
}

// Dump implements auburnmoor.Dumper.
func (q *Quarantine) Dump() any {
	d := Dump{}
	q.on(func(t *poison.Table) {
		now := q.now()
		d.ServerEnds = t.ExitCount()
		for _, r := range t.All() {
			ruling := t.Assess(now, r.Key, 0)
			d.Requests = append(d.Requests, DumpRequest{
				Identity: r.Key.String(), Crashes: len(r.Crashes), Successive: ruling.Crashes, Refused: ruling.Verdict == poison.Poisonous,
				RetryAfterMS: ruling.RetryAfter.Milliseconds(), ChangedMS: (now - r.Changed).Milliseconds(),
			})
		}
	})
	return d
}

// Dump is what is known against requests.
type Dump struct {
	// ServerEnds is the number of servers that ended in the last seconds.
	ServerEnds int           `json:"server_ends"`
	Requests   []DumpRequest `json:"requests,omitempty"`
}

// DumpRequest is one request that was part of crashes.
type DumpRequest struct {
	Identity string `json:"identity"`
	// Crashes is the number of crashes since its last answer, Successive those that
	// speak against it.
	Crashes    int  `json:"crashes"`
	Successive int  `json:"successive"`
	Refused    bool `json:"refused"`
	// RetryAfterMS is when it may be tried again, ChangedMS how long ago the last crash
	// or answer was.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	ChangedMS    int64 `json:"changed_ms"`
}
