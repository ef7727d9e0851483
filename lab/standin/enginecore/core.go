package enginecore

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// Config describes one engine.
type Config struct {
	Name     string
	KVTokens int64
	Assume   Assumptions
	// Fencing makes the engine refuse orders with an outdated fencing token.
	Fencing bool
	// ReportLag delays load reports, EventLag delays cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGap loses every n-th cache event; zero loses none.
	EventGap int
	Models   []string
}

// Request is a stream to run. The server keeps the prompt text; the core gets
// only lengths and block hashes.
type Request struct {
	ID           string
	Attempt      uint32
	PromptTokens int64
	MaxTokens    int64
	Chain        []uint64
	Priority     int64
	// ImportTokens is the context imported from exported KV caches.
	ImportTokens int64
	// Hold keeps the KV cache for export after prefill instead of generating.
	Hold bool
}

// OutputKind is the kind of an Output.
type OutputKind int

// The kinds of output.
const (
	Token OutputKind = iota
	End
	Held
	Dropped
)

// Output is one result of a step for one stream.
type Output struct {
	Kind    OutputKind
	At      time.Duration
	ID      string
	Attempt uint32
	Seq     int64
	Cached  int64
}

type stream struct {
	req         Request
	started     time.Duration
	prefillLeft int64
	importLeft  int64
	cached      int64
	pinned      []uint64
	emitted     int64
	memory      int64
	held        bool
}

// Core is the state of one engine. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	waiting    []*stream
	running    []*stream
	byID       map[string]*stream
	cache      *blockCache
	memUsed    int64
	stepEnd    time.Duration
	inStep     bool
	plan       stepPlan
	slowFactor float64
	hung       bool
	orders     orderState
	reports    []engine.Report
	prefilled  int64
	steps      int64
	busy       time.Duration
	recent     recentRates
}

type stepPlan struct {
	prefill map[*stream]int64
	decode  []*stream
}

// ErrExists is returned when a stream with the same ID exists.
var ErrExists = errors.New("stream exists")

// ErrTooLarge is returned when a stream needs more memory than the engine has.
var ErrTooLarge = errors.New("stream exceeds engine memory")

// New returns an idle engine.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, byID: map[string]*stream{}, slowFactor: 1}
	c.cache = newBlockCache(cfg.EventGap)
	c.orders = newOrderState(cfg)
	return c
}

// Submit queues a stream, which is admitted by priority once its memory is free.
func (c *Core) Submit(now time.Duration, r Request) error {
	if _, ok := c.byID[r.ID]; ok {
		return ErrExists
	}
	s := &stream{req: r, started: now, prefillLeft: r.PromptTokens, importLeft: r.ImportTokens}
	if memoryNeed(s) > c.cfg.KVTokens {
		return ErrTooLarge
	}
	c.byID[r.ID] = s
	c.waiting = append(c.waiting, s)
	c.startStep(now)
	return nil
}

func memoryNeed(s *stream) int64 { return s.req.PromptTokens + s.req.MaxTokens }

// Cancel ends a stream or releases a held KV cache, and frees its memory.
func (c *Core) Cancel(now time.Duration, id string) bool {
	s, ok := c.byID[id]
	if !ok {
		return false
	}
	c.remove(now, s, false)
	return true
}

func (c *Core) remove(now time.Duration, s *stream, keepCache bool) {
	delete(c.byID, s.req.ID)
	isStream := func(o *stream) bool { return o == s }
	c.waiting = slices.DeleteFunc(c.waiting, isStream)
	c.running = slices.DeleteFunc(c.running, isStream)
	if s.memory == 0 {
		return
	}
	c.memUsed -= s.memory
	c.cache.unpin(s.pinned)
	if keepCache {
		limit := c.cfg.KVTokens - c.memUsed
		c.cache.add(now, s.req.Chain, limit)
	}
}

// Next returns the end of the current step, if a step is in progress.
func (c *Core) Next() (time.Duration, bool) {
	if c.hung || !c.inStep {
		return 0, false
	}
	return c.stepEnd, true
}

// Advance completes the steps that end by now and returns their outputs.
func (c *Core) Advance(now time.Duration) []Output {
	var out []Output
	for !c.hung && c.inStep && c.stepEnd <= now {
		at := c.stepEnd
		out = c.finishStep(at, out)
		c.inStep = false
		c.startStep(at)
	}
	return out
}

// startStep starts a step if there is work.
func (c *Core) startStep(now time.Duration) {
	if c.inStep || c.hung {
		return
	}
	c.admit(now)
	plan, cost := c.planStep()
	if len(plan.prefill) == 0 && len(plan.decode) == 0 {
		return
	}
	c.plan = plan
	c.inStep = true
	d := time.Duration(float64(cost) * c.slowFactor)
	c.stepEnd = now + d
	c.steps++
	c.busy += d
	c.recent.recordStep(plan, d)
}

// admit admits waiting streams to the batch in order of priority. A stream that
// does not fit blocks those behind it, so that a large one is not starved.
func (c *Core) admit(now time.Duration) {
	slices.SortStableFunc(c.waiting, byPriority)
	for len(c.waiting) > 0 && len(c.running) < c.cfg.Assume.MaxBatch {
		s := c.waiting[0]
		blocks := c.cache.match(s.req.Chain)
		cached := int64(len(blocks)) * prefix.TokensPerBlock
		memory := memoryNeed(s) - cached
		c.cache.pin(blocks)
		if !c.cache.evict(now, c.memUsed+memory, c.cfg.KVTokens) {
			c.cache.unpin(blocks)
			return
		}
		s.pinned, s.cached, s.memory = blocks, cached, memory
		s.prefillLeft = max(s.req.PromptTokens-cached, 1)
		c.memUsed += memory
		c.waiting = c.waiting[1:]
		c.running = append(c.running, s)
	}
}

func byPriority(a, b *stream) int { return cmp.Compare(a.req.Priority, b.req.Priority) }

func (c *Core) planStep() (stepPlan, time.Duration) {
	a := c.cfg.Assume
	slices.SortStableFunc(c.running, byPriority)
	plan := stepPlan{prefill: map[*stream]int64{}}
	cost := a.StepBase
	budget := int64(a.ChunkTokens)
	for _, s := range c.running {
		switch {
		case s.held:
		case s.prefillLeft == 0:
			plan.decode = append(plan.decode, s)
			cost += a.PerDecode
		case budget > 0:
			cost += time.Duration(s.importLeft) * a.PerImportToken
			s.importLeft = 0
			n := min(budget, s.prefillLeft)
			plan.prefill[s] = n
			budget -= n
			cost += time.Duration(n) * a.PerPrefillToken
		}
	}
	return plan, cost
}

func (c *Core) finishStep(at time.Duration, out []Output) []Output {
	for _, s := range slices.Clone(c.running) {
		n, ok := c.plan.prefill[s]
		if !ok || c.byID[s.req.ID] != s {
			continue
		}
		s.prefillLeft -= n
		c.prefilled += n
		if s.prefillLeft > 0 {
			continue
		}
		if s.req.Hold {
			s.held = true
			out = append(out, Output{Kind: Held, At: at, ID: s.req.ID, Attempt: s.req.Attempt, Cached: s.cached})
			continue
		}
		out = c.emit(at, s, out)
	}
	for _, s := range c.plan.decode {
		if c.byID[s.req.ID] == s {
			out = c.emit(at, s, out)
		}
	}
	return out
}

func (c *Core) emit(at time.Duration, s *stream, out []Output) []Output {
	out = append(out, Output{Kind: Token, At: at, ID: s.req.ID, Attempt: s.req.Attempt, Seq: s.emitted, Cached: s.cached})
	s.emitted++
	if s.emitted < s.req.MaxTokens {
		return out
	}
	out = append(out, Output{Kind: End, At: at, ID: s.req.ID, Attempt: s.req.Attempt, Seq: s.emitted, Cached: s.cached})
	c.remove(at, s, true)
	return out
}

// Hang freezes the engine or lets it run again.
func (c *Core) Hang(now time.Duration, on bool) {
	c.hung = on
	if on {
		return
	}
	if c.inStep && c.stepEnd < now {
		c.stepEnd = now
	}
	c.startStep(now)
}

// Slow multiplies step times by factor.
func (c *Core) Slow(factor float64) { c.slowFactor = factor }

// Held returns the KV memory in tokens that streams use.
func (c *Core) Held() int64 { return c.memUsed }

// Prefilled returns the prompt tokens computed since the start.
func (c *Core) Prefilled() int64 { return c.prefilled }

// Busy returns the time spent in steps.
func (c *Core) Busy() time.Duration { return c.busy }

// Streams returns the number of streams known to the engine.
func (c *Core) Streams() int { return len(c.byID) }

// Report returns a load report as of now, without ReportLag.
func (c *Core) Report(now time.Duration) engine.Report {
	r := engine.Report{
		Engine: c.cfg.Name, AtMS: now.Milliseconds(), KVTotal: c.cfg.KVTokens, KVUsed: c.memUsed,
		Steps: c.steps, Queued: len(c.waiting), Running: c.active(), Models: c.orders.models(now), Role: c.orders.role,
		Fence: c.orders.fence, Fencing: c.cfg.Fencing,
	}
	r.PrefillPerSecond, r.StepMS = c.recent.tokensPerSecond(), c.recent.stepMS()
	for _, s := range c.byID {
		r.Streams = append(r.Streams, engine.StreamState{
			ID: s.req.ID, AgeMS: (now - s.started).Milliseconds(), Memory: s.memory,
			PrefillLeft: s.prefillLeft, Emitted: s.emitted, Held: s.held,
		})
	}
	slices.SortFunc(r.Streams, func(a, b engine.StreamState) int { return strings.Compare(a.ID, b.ID) })
	return r
}

// active counts the running streams, without those whose KV cache is only held.
func (c *Core) active() int {
	n := 0
	for _, s := range c.running {
		if !s.held {
			n++
		}
	}
	return n
}

// LaggedReport records a report as of now and returns the newest recorded one
// that is at least ReportLag old, or else the oldest.
func (c *Core) LaggedReport(now time.Duration) engine.Report {
	c.reports = append(c.reports, c.Report(now))
	i := 0
	for i+1 < len(c.reports) && c.reports[i+1].AtMS <= (now-c.cfg.ReportLag).Milliseconds() {
		i++
	}
	c.reports = c.reports[i:]
	return c.reports[0]
}

// Events returns the cache events after seq that are at least EventLag old.
func (c *Core) Events(now time.Duration, seq uint64) []engine.CacheEvent {
	return c.cache.eventsSince(seq, now-c.cfg.EventLag)
}

// Order executes an order; it is idempotent.
func (c *Core) Order(now time.Duration, o engine.Order) error { return c.orders.apply(now, o) }

// String implements fmt.Stringer.
func (c *Core) String() string {
	return fmt.Sprintf("%s: %d waiting, %d running, %d/%d tokens", c.cfg.Name, len(c.waiting), len(c.running), c.memUsed, c.cfg.KVTokens)
}
