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
	// Candidates is the number of engines asked for a prediction.
	Candidates int
	// QuoteTimeout bounds the wait for predictions.
	QuoteTimeout time.Duration
	// MaxRounds bounds the rounds of candidates asked when all refuse.
	MaxRounds int
	// RetryShare is the maximum number of retries per success, EjectShare the maximum
	// share of engines ejected.
	RetryShare float64
	EjectShare float64
	// RenewEvery is the period of reservation renewals; it must be well below
	// Sched.Expiry.
	RenewEvery time.Duration
	// GangGrantTimeout bounds the wait for each reservation of a gang.
	GangGrantTimeout time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Sched: sched.DefaultConfig(), Candidates: 3, QuoteTimeout: 50 * time.Millisecond, MaxRounds: 2,
		RetryShare: 0.1, EjectShare: 0.3, RenewEvery: 2 * time.Second,
		GangGrantTimeout: 10 * time.Second,
	}
}

// Node implements Machine for one instance.
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
	// active and engines are iterated instead of the maps requests and owned, so
	// that runs with the same seed make the same decisions.
	active       []*request
	engines      []*sched.Engine
	retryBudget  *retry.Budget
	records      records
	renewAt      time.Duration
	counts       Counts
	actions      []Action
	selfMessages []*peerpb.Envelope
}

// Counts are totals since the instance started.
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

// NewNode returns the Node of the instance named self.
func NewNode(self string, cfg Config, seed uint64) *Node {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	return &Node{
		self: self, cfg: cfg, rand: r, dir: newDirectory(nil), owned: map[string]*sched.Engine{},
		leaving: map[string]bool{}, health: health.NewTracker(cfg.EjectShare, r),
		requests: map[string]*request{}, parts: map[string]*part{}, retryBudget: retry.NewBudget(cfg.RetryShare),
	}
}

// Step implements Machine. Messages of the node to itself are handled in the
// same step.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.actions = n.actions[:0]
	n.handle(now, ev)
	for len(n.selfMessages) > 0 {
		env := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.receive(now, n.self, env)
	}
	return n.actions
}

func (n *Node) handle(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case Arrive:
		n.onArrive(now, ev)
	case Received:
		n.receive(now, ev.From, ev.Env)
	case StreamFirstToken:
		n.onFirstToken(now, ev)
	case StreamHeld:
		n.onStreamHeld(now, ev)
	case StreamEnd:
		n.onStreamEnd(now, ev)
	case CallerGone:
		n.onCallerGone(now, ev.ID)
	case EngineReport:
		n.onEngineReport(now, ev)
	case EngineLost:
		n.onEngineLost(now, ev.Engine)
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
		n.selfMessages = append(n.selfMessages, env)
		return
	}
	if to == "" {
		return
	}
	n.counts.Sent++
	n.actions = append(n.actions, Send{To: to, Env: env})
}

func (n *Node) addAction(a Action) { n.actions = append(n.actions, a) }

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

// SetLimits applies the limits of a new configuration.
func (n *Node) SetLimits(retryShare, ejectShare float64) {
	n.cfg.RetryShare, n.cfg.EjectShare = retryShare, ejectShare
	n.retryBudget.SetShare(retryShare)
	n.health.SetMaxShare(ejectShare)
}

// Dump is the state of a node as reported to operators.
type Dump struct {
	Self     string             `json:"self"`
	Counts   Counts             `json:"counts"`
	Engines  int                `json:"engines_known"`
	Requests int                `json:"requests"`
	Parts    int                `json:"parts"`
	Owned    []sched.EngineDump `json:"owned"`
	Records  []Record           `json:"records"`
}

// Dump returns a copy of the node's state, of bounded size.
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

// HeldResources returns the number of unfinished requests and the KV tokens
// reserved on the owned engines, for invariant checks.
func (n *Node) HeldResources() (requests int, memory int64) {
	for _, e := range n.engines {
		memory += e.ReservedMemory()
	}
	return len(n.requests), memory
}

func refusalError(c result.Code, retryAfter time.Duration, format string, args ...any) *result.Error {
	return result.New(c, format, args...).WithRetryAfter(retryAfter)
}
