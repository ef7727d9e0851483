// Package sched decides for one engine what runs when. The owner of an engine
// keeps its queue and its memory account; entries ask it for a prediction and
// a reservation and hand the request to the engine when granted.
//
// The package does no I/O, starts no goroutine and reads no clock.
package sched

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/prefix"
	"github.com/auburnmoor/auburnmoor/result"
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

// plan computes where a job would stand on this engine.
func (e *Engine) plan(now time.Duration, j *peerpb.Job) *reservation {
	work := float64(j.PromptTokens - e.cached(j))
	r := &reservation{
		job: j, work: work, left: work, memory: memoryOf(j), early: j.Gang > 1,
		deadline: now + us(j.RemainingUs),
	}
	if r.early {
		r.left = 0
	}
	r.key = e.key(now, r)
	return r
}

// key ranks a reservation that could run from now on.
func (e *Engine) key(now time.Duration, r *reservation) time.Duration {
	prefill := e.seconds(r.work)
	key := e.order.Key(Work{
		Arrived: now, Target: us(r.job.TargetUs), Deadline: r.deadline,
		Prefill: prefill, Total: prefill + e.generate(r.job), Gang: r.job.Gang > 1,
	})
	if x := e.shares.excess(now, r.job.Customer, r.job.Weight); x > 0 {
		key += time.Duration(x * float64(sharePenalty))
	}
	return key
}

// sharePenalty is the delay in rank of a customer that takes everything.
const sharePenalty = 8 * time.Second

func (e *Engine) generate(j *peerpb.Job) time.Duration { return time.Duration(j.MaxTokens) * e.step }

func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// Prediction is what an engine can promise a job.
type Prediction struct {
	FirstToken time.Duration
	Finish     time.Duration
	Cached     int64
	Refusal    result.Code
	RetryAfter time.Duration
}

// Quote predicts a job's first token and finish without reserving.
func (e *Engine) Quote(now time.Duration, j *peerpb.Job) Prediction {
	e.counts.Quotes++
	e.advance(now)
	return e.predict(now, e.plan(now, j))
}

func (e *Engine) predict(now time.Duration, r *reservation) Prediction {
	p := Prediction{Cached: r.job.PromptTokens - int64(r.work)}
	switch {
	case !e.Known():
		p.Refusal, p.RetryAfter = result.NoBackend, time.Second
		return p
	case r.memory > e.kvTotal:
		p.Refusal = result.TooLongForFleet
		return p
	case len(e.pending) >= e.cfg.MaxQueue:
		p.Refusal, p.RetryAfter = result.Overloaded, e.backlog()/2
		return p
	}
	ahead := 0.0
	for _, o := range e.pending {
		if o.key > r.key {
			break
		}
		ahead += o.left
	}
	start := max(e.seconds(ahead), e.memoryWait(now, r))
	p.FirstToken = start + e.seconds(r.work) + e.step
	p.Finish = start + e.seconds(r.work/e.demand.left(now, r.work, e.rate)) + e.generate(r.job)
	e.admit(now, r, &p)
	return p
}

// admit refuses what would miss its own deadline or make an admitted request
// miss its. Without the second check a stream of short requests would push an
// admitted long one past its time, since each of them alone looks harmless.
func (e *Engine) admit(now time.Duration, r *reservation, p *Prediction) {
	if late := p.Finish - e.timeFor(now, r); late > 0 {
		p.Refusal = result.CannotFinishInTime
		p.RetryAfter = max(late, minRetryAfter)
		return
	}
	if e.overShare(now, r) {
		p.Refusal, p.RetryAfter = result.ShareExceeded, max(e.backlog()/2, minRetryAfter)
		return
	}
	cum := 0.0
	for _, o := range e.pending {
		cum += o.left
		if o.key <= r.key {
			continue
		}
		finish := now + e.seconds(cum+r.work) + e.generate(o.job)
		if finish > o.deadline && finish-e.seconds(r.work) <= o.deadline {
			p.Refusal, p.RetryAfter = result.Overloaded, max(e.seconds(o.left), minRetryAfter)
			return
		}
	}
}

// aloneMargin is how many times its own work a patient request always gets.
const aloneMargin = 1.5

// timeFor is the time within which a request must be predicted to finish.
func (e *Engine) timeFor(now time.Duration, r *reservation) time.Duration {
	limit := r.deadline - now
	if !patient(us(r.job.TargetUs), limit) {
		return limit
	}
	alone := e.seconds(r.work) + e.generate(r.job)
	part := max(time.Duration(float64(limit)*e.cfg.PatientShare), time.Duration(aloneMargin*float64(alone)))
	return min(limit, part)
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// contended is the backlog from which customer shares are enforced.
const contended = 2 * time.Second

// overShare tells whether the customer has more than its share of a contended
// backlog. An idle engine is free to all, and requests that may wait are only
// ranked lower.
func (e *Engine) overShare(now time.Duration, r *reservation) bool {
	if patient(us(r.job.TargetUs), r.deadline-now) {
		return false
	}
	total, own := 0.0, 0.0
	for _, o := range e.pending {
		total += o.left
		if o.job.Customer == r.job.Customer {
			own += o.left
		}
	}
	if e.seconds(total) < contended || own < total/2 || own == total {
		return false
	}
	return e.shares.excess(now, r.job.Customer, r.job.Weight) > 0
}

func (e *Engine) backlog() time.Duration {
	total := 0.0
	for _, o := range e.pending {
		total += o.left
	}
	return e.seconds(total)
}

// memoryWait estimates when enough KV memory is free for r.
func (e *Engine) memoryWait(now time.Duration, r *reservation) time.Duration {
	missing := e.memory + r.memory - e.limit(r)
	if missing <= 0 {
		return 0
	}
	var ends []*reservation
	for _, o := range e.byID {
		if o.phase == decoding {
			ends = append(ends, o)
		}
	}
	slices.SortFunc(ends, func(a, b *reservation) int { return int(a.endsAt - b.endsAt) })
	for _, o := range ends {
		missing -= o.memory
		if missing <= 0 {
			return max(o.endsAt-now, 0)
		}
	}
	return e.backlog()
}

// limit is the memory that r may fill: the last part is kept for small ones.
func (e *Engine) limit(r *reservation) int64 {
	reserve := int64(float64(e.kvTotal) * e.cfg.Headroom)
	if r.memory <= reserve || e.memory == 0 {
		return e.kvTotal
	}
	return e.kvTotal - reserve
}

// Reserve queues a job unless it must be refused. A repeat of a known attempt
// is answered as queued again, because replies may be lost.
func (e *Engine) Reserve(now time.Duration, entry string, j *peerpb.Job) Prediction {
	e.advance(now)
	if r, ok := e.byID[j.Id]; ok && r.job.Attempt == j.Attempt {
		return Prediction{}
	}
	e.drop(j.Id)
	r := e.plan(now, j)
	p := e.predict(now, r)
	if p.Refusal != result.OK {
		e.counts.Refused++
		return p
	}
	r.entry = entry
	e.insert(now, r)
	e.counts.Reserved++
	e.demand.add(now, r.work)
	e.shares.charge(now, j.Customer, j.Weight, int64(r.work)+j.MaxTokens)
	return p
}

func (e *Engine) insert(now time.Duration, r *reservation) {
	r.expires = now + e.cfg.Expiry
	e.byID[r.job.Id] = r
	e.enqueue(r)
}

func (e *Engine) enqueue(r *reservation) {
	i, _ := slices.BinarySearchFunc(e.pending, r, func(a, b *reservation) int {
		if a.key <= b.key {
			return -1
		}
		return 1
	})
	e.pending = slices.Insert(e.pending, i, r)
}

// Grants returns the requests to start now: those with little granted work
// ahead of them, as far as memory goes. A request that lacks memory blocks
// larger keys that need as much, so it is not overtaken for ever. A gang's
// part is granted twice: its memory first, and later its turn to run.
func (e *Engine) Grants(now time.Duration) []Grant {
	e.advance(now)
	var out []Grant
	ahead := 0.0
	blocked := int64(0)
	for _, r := range e.pending {
		full := e.seconds(ahead) > e.cfg.Window
		if r.phase == granted {
			ahead += r.left
			continue
		}
		if (full && !r.early) || (blocked > 0 && !r.inMemory && r.memory >= blocked) {
			continue
		}
		if !r.inMemory && e.memory+r.memory > e.limit(r) {
			blocked = r.memory
			continue
		}
		out = append(out, e.grant(r))
		ahead += r.left
	}
	return out
}

func (e *Engine) grant(r *reservation) Grant {
	r.phase = granted
	if !r.inMemory {
		r.inMemory = true
		e.memory += r.memory
	}
	e.counts.Granted++
	return Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt, Priority: e.priority(r)}
}

// ready queues a gang's part to run. Its rank counts from now: with that of
// its reservation it would overtake everything that came since.
func (e *Engine) ready(now time.Duration, r *reservation) {
	if !r.early {
		return
	}
	e.unqueue(r)
	r.early, r.phase, r.left = false, queued, r.work
	r.key = e.key(now, r)
	e.enqueue(r)
}

// priority expresses the key in the engine's own clock, so that the requests
// of a former owner and of this one are ranked alike.
func (e *Engine) priority(r *reservation) int64 { return (r.key + e.offset).Microseconds() }

// Found tells how many tokens of a request the engine really had cached. When
// that is less than believed, the belief is dropped: it would attract every
// request with this prefix to an engine that must compute it.
func (e *Engine) Found(id string, attempt uint32, cached int64) {
	r, ok := e.byID[id]
	if !ok || r.job.Attempt != attempt {
		return
	}
	if believed := r.job.PromptTokens - int64(r.work); believed > cached {
		e.cache.disprove(r.job.Prefix)
		e.counts.Disproved++
	}
}

// Progress takes over what an entry reports of a reservation.
func (e *Engine) Progress(now time.Duration, id string, attempt uint32, stage peerpb.Stage) {
	e.advance(now)
	r, ok := e.byID[id]
	if !ok || r.job.Attempt != attempt {
		return
	}
	switch stage {
	case peerpb.Stage_STAGE_READY:
		e.ready(now, r)
	case peerpb.Stage_STAGE_FIRST_TOKEN:
		e.firstToken(now, r)
	case peerpb.Stage_STAGE_DONE:
		e.counts.Done++
		e.drop(id)
	default:
		e.counts.Cancelled++
		e.drop(id)
	}
}

func (e *Engine) firstToken(now time.Duration, r *reservation) {
	if r.phase != granted {
		return
	}
	e.unqueue(r)
	r.phase = decoding
	if r.job.HoldTokens > 0 {
		r.phase = holding
	}
	r.endsAt = now + e.generate(r.job)
}

func (e *Engine) unqueue(r *reservation) {
	e.pending = slices.DeleteFunc(e.pending, func(o *reservation) bool { return o == r })
}

func (e *Engine) drop(id string) {
	r, ok := e.byID[id]
	if !ok {
		return
	}
	delete(e.byID, id)
	e.unqueue(r)
	if r.inMemory {
		e.memory -= r.memory
	}
}

// Renew keeps a reservation alive, or adopts it from a former owner. The entry
// is the authority on what it runs, so a new owner's account becomes exact
// within one renewal period. It also repairs lost messages: a part whose turn
// was not announced is queued, and a grant that did not arrive is returned to
// be sent again.
func (e *Engine) Renew(now time.Duration, entry string, item *peerpb.RenewItem) (lost Grant, again bool) {
	e.advance(now)
	r, ok := e.byID[item.Job.Id]
	if !ok || r.job.Attempt != item.Job.Attempt {
		e.adopt(now, entry, item)
		return Grant{}, false
	}
	r.expires = now + e.cfg.Expiry
	if item.Ready {
		e.ready(now, r)
	}
	if item.FirstToken {
		e.firstToken(now, r)
	}
	if r.phase == granted && !item.Running {
		return Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt, Priority: e.priority(r)}, true
	}
	return Grant{}, false
}

func (e *Engine) adopt(now time.Duration, entry string, item *peerpb.RenewItem) {
	e.drop(item.Job.Id)
	r := e.plan(now, item.Job)
	r.entry = entry
	e.insert(now, r)
	e.counts.Adopted++
	if item.Ready {
		e.ready(now, r)
	}
	if !item.Running && !item.Ready {
		return
	}
	r.inMemory = true
	e.memory += r.memory
	if !item.Running {
		return
	}
	r.phase = granted
	if item.FirstToken {
		e.firstToken(now, r)
	}
}

// Tick frees reservations that nobody renews. The entry that held one died or
// was cut off; without this its memory would stay accounted for ever.
func (e *Engine) Tick(now time.Duration) {
	e.advance(now)
	for id, r := range e.byID {
		if r.expires <= now {
			e.counts.Expired++
			e.drop(id)
		}
	}
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

// Lost notes that the engine does not answer; nothing is granted until the
// next load report.
func (e *Engine) Lost() { e.kvTotal = 0 }

// Waiting reports whether a reservation is queued and not granted yet.
func (e *Engine) Waiting(id string) bool {
	r, ok := e.byID[id]
	return ok && r.phase == queued
}

// DropPending removes the reservations without a first token and returns them.
// Granted ones are included only when the engine is hung or lost: a gang's part
// that waits for its turn there would wait for ever, with the memory of the
// other parts.
func (e *Engine) DropPending(now time.Duration) []Grant {
	e.advance(now)
	var out []Grant
	for _, r := range slices.Clone(e.pending) {
		if r.phase == queued || e.hung || !e.Known() {
			out = append(out, Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt})
			e.drop(r.job.Id)
		}
	}
	return out
}
