// Package sched decides for one engine what runs when. The owner of an engine
// keeps its queue and its memory account; entries ask it for a prediction and
// a reservation and hand the request to the engine when granted.
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
	// Order names a registered order.
	Order string
	// MaxQueue bounds the requests waiting for one engine.
	MaxQueue int
	// Window is the granted prefill work kept at the engine ahead of a request.
	Window time.Duration
	// Expiry frees a reservation whose entry stopped renewing it.
	Expiry time.Duration
	// Headroom is the part of the KV memory that only requests smaller than it
	// may use, so that long requests cannot lock short ones out.
	Headroom float64
	// PatientShare is the part of its time limit within which a request that may
	// wait must be predicted to finish. The rest is kept for what comes later;
	// without it an overload drives the long requests to their latest start,
	// where they stop every short one.
	PatientShare float64
	// Affinity counts tokens believed cached as already done.
	Affinity bool
}

// DefaultConfig returns the values chosen by measurement, see
// docs/MEASUREMENTS.md.
func DefaultConfig() Config {
	return Config{
		Order: "stretch", MaxQueue: 512, Window: 100 * time.Millisecond,
		Expiry: 6 * time.Second, Headroom: 0.1, PatientShare: 0.25, Affinity: true,
	}
}

// Rates assumed before the first load report.
const (
	initialRate = 20_000.0
	initialStep = 20 * time.Millisecond
)

type phase int

const (
	queued phase = iota
	granted
	decoding
	holding
)

type reservation struct {
	job    *peerpb.Job
	entry  string
	phase  phase
	key    time.Duration
	work   float64
	left   float64
	memory int64
	// inMemory tells that memory is accounted for the reservation.
	inMemory bool
	// early marks a gang's part whose turn to run has not come.
	early    bool
	deadline time.Duration
	expires  time.Duration
	endsAt   time.Duration
}

// Grant is a decision to start a request now.
type Grant struct {
	Entry    string
	ID       string
	Attempt  uint32
	Priority int64
}

// Engine is the owner's account of one engine.
type Engine struct {
	Name    string
	cfg     Config
	order   Order
	kvTotal int64
	rate    float64
	step    time.Duration
	offset  time.Duration
	models  []string
	// pending holds queued and granted reservations in order of key.
	pending []*reservation
	byID    map[string]*reservation
	memory  int64
	cache   cacheIndex
	shares  shareBook
	demand  demand
	at      time.Duration
	steps   int64
	movedAt time.Duration
	hung    bool
	counts  Counts
}

// Counts are totals since the engine was taken over.
type Counts struct {
	Quotes    uint64 `json:"quotes"`
	Reserved  uint64 `json:"reserved"`
	Granted   uint64 `json:"granted"`
	Done      uint64 `json:"done"`
	Refused   uint64 `json:"refused"`
	Expired   uint64 `json:"expired"`
	Adopted   uint64 `json:"adopted"`
	Cancelled uint64 `json:"cancelled"`
	Disproved uint64 `json:"cache_beliefs_disproved"`
}

// NewEngine returns the account of an engine nothing is known of yet.
func NewEngine(name string, cfg Config) *Engine {
	o, ok := LookupOrder(cfg.Order)
	if !ok {
		o, _ = LookupOrder("stretch")
	}
	return &Engine{
		Name: name, cfg: cfg, order: o, rate: initialRate, step: initialStep,
		byID: map[string]*reservation{}, cache: newCacheIndex(), shares: newShareBook(),
	}
}

// Load takes over a load report.
func (e *Engine) Load(now time.Duration, r engine.Report) {
	e.advance(now)
	e.kvTotal = r.KVTotal
	e.models = r.Models
	e.offset = time.Duration(r.AtMS)*time.Millisecond - now
	if r.PrefillPerSecond > 0 {
		e.rate = r.PrefillPerSecond
	}
	e.watchProgress(now, r)
	if r.StepMS > 0 {
		e.step = time.Duration(r.StepMS * float64(time.Millisecond))
	}
}

// hungAfter is how long an engine with work may complete no step.
const hungAfter = 2 * time.Second

// watchProgress notices an engine that answers but does not work. It would
// otherwise keep its requests until their deadlines; a request that only waits
// for its turn must not be mistaken for one, so steps count, not answers.
func (e *Engine) watchProgress(now time.Duration, r engine.Report) {
	if r.Steps != e.steps || r.Running+r.Queued == 0 || e.movedAt == 0 {
		e.steps, e.movedAt = r.Steps, now
	}
	e.hung = now-e.movedAt >= hungAfter
}

// Hung reports whether the engine completes no steps.
func (e *Engine) Hung() bool { return e.hung }

// Events takes over cache events.
func (e *Engine) Events(events []engine.CacheEvent) { e.cache.apply(events) }

// CacheSeq returns the last cache event seen.
func (e *Engine) CacheSeq() uint64 { return e.cache.seq }

// Known reports whether a load report was seen, without which nothing is
// granted.
func (e *Engine) Known() bool { return e.kvTotal > 0 }

// advance credits the granted requests with the prefill done since the last
// call, in the order in which the engine works on them.
func (e *Engine) advance(now time.Duration) {
	done := (now - e.at).Seconds() * e.rate
	e.at = now
	for _, r := range e.pending {
		if done <= 0 {
			return
		}
		if r.phase != granted || r.early {
			continue
		}
		// A request keeps a little until its first token is reported.
		n := min(done, max(r.left-1, 0))
		r.left -= n
		done -= n
	}
}

func (e *Engine) seconds(tokens float64) time.Duration {
	return time.Duration(tokens / e.rate * float64(time.Second))
}

func (e *Engine) cached(j *peerpb.Job) int64 {
	if !e.cfg.Affinity {
		return 0
	}
	return min(prefix.CachedTokens(j.Prefix, e.cache.known), j.PromptTokens-1)
}

func memoryOf(j *peerpb.Job) int64 {
	if j.HoldTokens > 0 {
		return j.HoldTokens
	}
	return j.PromptTokens + j.MaxTokens
}

// Memory returns the KV tokens accounted to reservations.
func (e *Engine) Memory() int64 { return e.memory }

// Len returns the number of reservations.
func (e *Engine) Len() int { return len(e.byID) }

// Dump describes the engine's account.
func (e *Engine) Dump() EngineDump {
	return EngineDump{
		Engine: e.Name, KVTotal: e.kvTotal, KVReserved: e.memory, Pending: len(e.pending),
		Reservations: len(e.byID), TokensPerSecond: e.rate, BacklogMS: e.backlog().Milliseconds(),
		CachedBlocks: len(e.cache.blocks), CacheGaps: e.cache.gaps, ActiveCustomers: len(e.shares.customers),
		Counts: e.counts,
	}
}

// EngineDump is the state of one owned engine.
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
