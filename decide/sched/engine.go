// Package sched schedules the requests of one engine. The engine's owner keeps
// its queue and memory accounting. An entry asks the owner for a prediction and a
// reservation, and starts the request on the engine once it is granted.
//
// The package does no I/O, starts no goroutine and reads no clock.
package sched

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// Config tunes the scheduling of an engine.
type Config struct {
	// Order is the name of a registered order.
	Order string
	// MaxQueue bounds the requests waiting for one engine.
	MaxQueue int
	// Window bounds the granted prefill work ahead of a newly granted request.
	Window time.Duration
	// Expiry is the time after which a reservation expires unless renewed.
	Expiry time.Duration
	// Headroom is the share of the KV memory reserved for requests that need no
	// more than this share, so that long requests cannot block short ones.
	Headroom float64
	// DeferrableShare is the share of its time limit within which a deferrable
	// request must be predicted to finish. The rest is a reserve for later
	// arrivals: without it, overload delays long requests to their latest start,
	// where they precede all short ones.
	DeferrableShare float64
	// Affinity enables predictions that subtract the tokens expected in the
	// engine's prefix cache.
	Affinity bool
}

// DefaultConfig returns the defaults, explained in docs/MEASUREMENTS.md.
func DefaultConfig() Config {
	return Config{
		Order: "stretch", MaxQueue: 512, Window: 100 * time.Millisecond,
		Expiry: 6 * time.Second, Headroom: 0.1, DeferrableShare: 0.25, Affinity: true,
	}
}

// Rates assumed before the first load report.
const (
	initialPrefillRate = 20_000.0
	initialStepTime    = 20 * time.Millisecond
)

type phase int

const (
	queued phase = iota
	granted
	decoding
	holding
)

// reservation is a request, or a gang's part, until its end.
type reservation struct {
	job       *peerpb.Job
	entry     string
	phase     phase
	key       time.Duration
	work      float64 // uncached prompt tokens
	remaining float64 // part of work not done yet
	memory    int64
	// memoryHeld is set while memory is included in Engine.reservedMemory.
	memoryHeld bool
	// awaitingTurn marks a gang's part whose preceding segments are incomplete.
	awaitingTurn bool
	deadline     time.Duration
	expiresAt    time.Duration
	expectedEnd  time.Duration
}

// Grant is a decision to start a request now.
type Grant struct {
	Entry    string
	ID       string
	Attempt  uint32
	Priority int64
}

// Engine is the owner's scheduling state of one engine.
type Engine struct {
	Name        string
	cfg         Config
	order       Order
	kvTotal     int64
	prefillRate float64
	stepTime    time.Duration
	clockOffset time.Duration
	models      []string
	// pending holds the queued and granted reservations, sorted by key.
	pending        []*reservation
	byID           map[string]*reservation
	reservedMemory int64
	cache          cacheIndex
	usage          usageTracker
	demand         demand
	advancedAt     time.Duration
	lastSteps      int64
	lastStepAt     time.Duration
	hung           bool
	counts         Counts
}

// Counts are totals since this instance became the owner.
type Counts struct {
	Quotes              uint64 `json:"quotes"`
	Reserved            uint64 `json:"reserved"`
	Granted             uint64 `json:"granted"`
	Done                uint64 `json:"done"`
	Refused             uint64 `json:"refused"`
	Expired             uint64 `json:"expired"`
	Adopted             uint64 `json:"adopted"`
	Cancelled           uint64 `json:"cancelled"`
	CacheMispredictions uint64 `json:"cache_beliefs_disproved"`
}

// NewEngine returns the state of an engine without a load report yet.
func NewEngine(name string, cfg Config) *Engine {
	o, ok := LookupOrder(cfg.Order)
	if !ok {
		o, _ = LookupOrder("stretch")
	}
	return &Engine{
		Name: name, cfg: cfg, order: o, prefillRate: initialPrefillRate, stepTime: initialStepTime,
		byID: map[string]*reservation{}, cache: newCacheIndex(), usage: newUsageTracker(),
	}
}

// ApplyReport applies a load report.
func (e *Engine) ApplyReport(now time.Duration, r engine.Report) {
	e.advance(now)
	e.kvTotal = r.KVTotal
	e.models = r.Models
	e.clockOffset = time.Duration(r.AtMS)*time.Millisecond - now
	if r.PrefillPerSecond > 0 {
		e.prefillRate = r.PrefillPerSecond
	}
	e.detectHang(now, r)
	if r.StepMS > 0 {
		e.stepTime = time.Duration(r.StepMS * float64(time.Millisecond))
	}
}

// hungAfter is the time without a completed step after which an engine with work
// is considered hung.
const hungAfter = 2 * time.Second

// detectHang detects an engine that answers but makes no progress and would keep
// its requests until their deadlines. It looks at the engine's steps, not at
// single requests, since a request may make no progress while others run.
func (e *Engine) detectHang(now time.Duration, r engine.Report) {
	if r.Steps != e.lastSteps || r.Running+r.Queued == 0 || e.lastStepAt == 0 {
		e.lastSteps, e.lastStepAt = r.Steps, now
	}
	e.hung = now-e.lastStepAt >= hungAfter
}

// Hung reports whether the engine completes no steps.
func (e *Engine) Hung() bool { return e.hung }

// ApplyCacheEvents applies the engine's cache events.
func (e *Engine) ApplyCacheEvents(events []engine.CacheEvent) { e.cache.apply(events) }

// CacheSeq returns the sequence number of the last cache event applied.
func (e *Engine) CacheSeq() uint64 { return e.cache.seq }

// HasReport reports whether the engine's load is known. Without a load report
// nothing is granted.
func (e *Engine) HasReport() bool { return e.kvTotal > 0 }

// advance subtracts the estimated prefill work done since the last call from the
// granted requests, in the order in which the engine runs them.
func (e *Engine) advance(now time.Duration) {
	done := (now - e.advancedAt).Seconds() * e.prefillRate
	e.advancedAt = now
	for _, r := range e.pending {
		if done <= 0 {
			return
		}
		if r.phase != granted || r.awaitingTurn {
			continue
		}
		// At least one token remains until the first token is reported.
		n := min(done, max(r.remaining-1, 0))
		r.remaining -= n
		done -= n
	}
}

func (e *Engine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / e.prefillRate * float64(time.Second))
}

func (e *Engine) cachedTokens(j *peerpb.Job) int64 {
	if !e.cfg.Affinity {
		return 0
	}
	return min(prefix.CachedTokens(j.Prefix, e.cache.contains), j.PromptTokens-1)
}

func memoryNeeded(j *peerpb.Job) int64 {
	if j.HoldTokens > 0 {
		return j.HoldTokens
	}
	return j.PromptTokens + j.MaxTokens
}

// ReservedMemory returns the KV memory held by reservations, in tokens.
func (e *Engine) ReservedMemory() int64 { return e.reservedMemory }

// Len returns the number of reservations.
func (e *Engine) Len() int { return len(e.byID) }

// Dump returns the engine's scheduling state.
func (e *Engine) Dump() EngineDump {
	return EngineDump{
		Engine: e.Name, KVTotal: e.kvTotal, KVReserved: e.reservedMemory, Pending: len(e.pending),
		Reservations: len(e.byID), TokensPerSecond: e.prefillRate, BacklogMS: e.backlog().Milliseconds(),
		CachedBlocks: len(e.cache.blocks), CacheGaps: e.cache.gaps, ActiveCustomers: len(e.usage.customers),
		Counts: e.counts,
	}
}

// EngineDump is the state of an owned engine as reported to operators.
type EngineDump struct {
	Engine          string  `json:"engine"`
	KVTotal         int64   `json:"kv_total"`
	KVReserved      int64   `json:"kv_reserved"`
	Pending         int     `json:"pending"`
	Reservations    int     `json:"reservations"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BacklogMS       int64   `json:"backlog_ms"`
	CachedBlocks    int     `json:"cached_blocks"`
	CacheGaps       int     `json:"cache_gaps"`
	ActiveCustomers int     `json:"active_customers"`
	Counts          Counts  `json:"counts"`
}
