package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/sched"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// Config tunes a Node.
type Config struct {
	Sched sched.Config
	// Candidates is how many engines are asked for a prediction.
	Candidates int
	// QuoteTimeout bounds the wait for predictions.
	QuoteTimeout time.Duration
	// Rounds is how often other candidates are asked after refusals.
	Rounds int
	// RetryShare and EjectShare are the limits of the manifest.
	RetryShare float64
	EjectShare float64
	// RenewEvery is the period of reservation renewals; it must be well below
	// Sched.Expiry.
	RenewEvery time.Duration
	// GangPatience bounds how long the engines reserved first wait for the rest.
	GangPatience time.Duration
}

// DefaultConfig returns the values chosen by measurement.
func DefaultConfig() Config {
	return Config{
		Sched: sched.DefaultConfig(), Candidates: 3, QuoteTimeout: 50 * time.Millisecond, Rounds: 2,
		RetryShare: 0.1, EjectShare: 0.3, RenewEvery: 2 * time.Second,
		GangPatience: 10 * time.Second,
	}
}

// Node is the decision machine of one instance.
type Node struct {
	self     string
	cfg      Config
	rand     *rand.Rand
	dir      *directory
	owned    map[string]*sched.Engine
	leaving  map[string]bool
	health   *health.Tracker
	requests map[string]*request
	parts    map[string]*part
	// active and engines fix the order of iteration, so that a run with the
	// same seed decides the same.
	active  []*request
	engines []*sched.Engine
	budget  *retry.Budget
	records records
	renewAt time.Duration
	counts  Counts
	out     []Action
	inbox   []*peerpb.Envelope
}

// Counts are totals since the start.
type Counts struct {
	Arrived   uint64 `json:"arrived"`
	Answered  uint64 `json:"answered"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Retries   uint64 `json:"retries"`
	Resumes   uint64 `json:"resumes"`
	Gangs     uint64 `json:"gangs"`
	Sent      uint64 `json:"messages_sent"`
	Stale     uint64 `json:"stale_messages"`
	Deadlines uint64 `json:"deadlines_passed"`
}

// NewNode returns the machine of the instance named self.
func NewNode(self string, cfg Config, seed uint64) *Node {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	return &Node{
		self: self, cfg: cfg, rand: r, dir: newDirectory(nil), owned: map[string]*sched.Engine{},
		leaving: map[string]bool{}, health: health.NewTracker(cfg.EjectShare, r),
		requests: map[string]*request{}, parts: map[string]*part{}, budget: retry.NewBudget(cfg.RetryShare),
	}
}

// Step implements Machine. Messages to the node itself are handled in the same
// step.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.out = n.out[:0]
	n.handle(now, ev)
	for len(n.inbox) > 0 {
		env := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.receive(now, n.self, env)
	}
	return n.out
}

func (n *Node) handle(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case Arrive:
		n.arrive(now, ev)
	case Received:
		n.receive(now, ev.From, ev.Env)
	case StreamFirst:
		n.streamFirst(now, ev)
	case StreamHeld:
		n.streamHeld(now, ev)
	case StreamEnd:
		n.streamEnd(now, ev)
	case CallerGone:
		n.callerGone(now, ev.ID)
	case EngineReport:
		n.engineReport(now, ev)
	case EngineLost:
		n.engineLost(now, ev.Engine)
	case Directory:
		n.replaceDirectory(now, ev)
	case Tick:
		n.tick(now)
	}
}

func (n *Node) receive(now time.Duration, from string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_QuoteRequest:
		n.onQuoteRequest(now, from, b.QuoteRequest)
	case *peerpb.Envelope_QuoteReply:
		n.onQuoteReply(now, b.QuoteReply)
	case *peerpb.Envelope_Reserve:
		n.onReserve(now, from, b.Reserve)
	case *peerpb.Envelope_ReserveReply:
		n.onReserveReply(now, b.ReserveReply)
	case *peerpb.Envelope_Grant:
		n.onGrant(now, from, b.Grant)
	case *peerpb.Envelope_Progress:
		n.onProgress(now, b.Progress)
	case *peerpb.Envelope_Renew:
		n.onRenew(now, from, b.Renew)
	}
}

func (n *Node) send(to string, env *peerpb.Envelope) {
	if to == n.self {
		n.inbox = append(n.inbox, env)
		return
	}
	if to == "" {
		return
	}
	n.counts.Sent++
	n.out = append(n.out, Send{To: to, Env: env})
}

func (n *Node) act(a Action) { n.out = append(n.out, a) }

func (n *Node) tick(now time.Duration) {
	n.checkRequests(now)
	if now >= n.renewAt {
		n.renewAt = now + n.cfg.RenewEvery
		n.renewAll(func(*part) bool { return true })
	}
	for _, e := range n.engines {
		e.Tick(now)
		n.flushGrants(now, e)
	}
}

func (n *Node) checkRequests(now time.Duration) {
	kept := n.active[:0]
	for _, r := range n.active {
		if n.requests[r.job.Id] == r {
			n.checkRequest(now, r)
		}
		if n.requests[r.job.Id] == r {
			kept = append(kept, r)
		}
	}
	clear(n.active[len(kept):])
	n.active = kept
}

// SetLimits takes over the limits of a new configuration.
func (n *Node) SetLimits(retryShare, ejectShare float64) {
	n.cfg.RetryShare, n.cfg.EjectShare = retryShare, ejectShare
	n.budget.SetShare(retryShare)
	n.health.SetMaxShare(ejectShare)
}

// Dump describes the node.
type Dump struct {
	Self     string             `json:"self"`
	Counts   Counts             `json:"counts"`
	Engines  int                `json:"engines_known"`
	Requests int                `json:"requests"`
	Parts    int                `json:"parts"`
	Owned    []sched.EngineDump `json:"owned"`
	Records  []Record           `json:"records"`
}

// Dump returns a copy of the node's state that is bounded in size.
func (n *Node) Dump() Dump {
	d := Dump{Self: n.self, Counts: n.counts, Engines: len(n.dir.byName), Requests: len(n.requests), Parts: len(n.parts)}
	for _, e := range n.engines {
		d.Owned = append(d.Owned, e.Dump())
	}
	for _, r := range n.records.list() {
		d.Records = append(d.Records, *r)
	}
	return d
}

// Load returns the number of unfinished requests and the KV tokens that this
// node accounts for, for invariant checks.
func (n *Node) Load() (requests int, memory int64) {
	for _, e := range n.engines {
		memory += e.Memory()
	}
	return len(n.requests), memory
}

func refusal(c result.Code, after time.Duration, format string, args ...any) *result.Error {
	return result.New(c, format, args...).WithRetryAfter(after)
}
