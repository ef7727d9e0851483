package sched

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

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
