package sched

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// newReservation computes a job's work, memory and queue position.
func (e *Engine) newReservation(now time.Duration, j *peerpb.Job) *reservation {
	work := float64(j.PromptTokens - e.cachedTokens(j))
	r := &reservation{
		job: j, work: work, remaining: work, memory: memoryNeeded(j), awaitingTurn: j.Gang > 1,
		deadline: now + usDuration(j.RemainingUs),
	}
	if r.awaitingTurn {
		r.remaining = 0
	}
	r.key = e.orderKey(now, r)
	return r
}

// orderKey returns the key of a reservation that is runnable from now on.
func (e *Engine) orderKey(now time.Duration, r *reservation) time.Duration {
	prefill := e.prefillTime(r.work)
	key := e.order.Key(Work{
		Arrived: now, Target: usDuration(r.job.TargetUs), Deadline: r.deadline,
		Prefill: prefill, Total: prefill + e.decodeTime(r.job), Gang: r.job.Gang > 1,
	})
	if x := e.usage.excess(now, r.job.Customer, r.job.Weight); x > 0 {
		key += time.Duration(x * float64(sharePenalty))
	}
	return key
}

// sharePenalty is added to the key for an excess of 1.
const sharePenalty = 8 * time.Second

func (e *Engine) decodeTime(j *peerpb.Job) time.Duration {
	return time.Duration(j.MaxTokens) * e.stepTime
}

func usDuration(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// Prediction is the predicted execution of a job, or the reason to refuse it.
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
	return e.predict(now, e.newReservation(now, j))
}

func (e *Engine) predict(now time.Duration, r *reservation) Prediction {
	p := Prediction{Cached: r.job.PromptTokens - int64(r.work)}
	switch {
	case !e.HasReport():
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
		ahead += o.remaining
	}
	start := max(e.prefillTime(ahead), e.memoryWait(now, r))
	p.FirstToken = start + e.prefillTime(r.work) + e.stepTime
	p.Finish = start + e.prefillTime(r.work/e.demand.remainingShare(now, r.work, e.prefillRate)) + e.decodeTime(r.job)
	e.admit(now, r, &p)
	return p
}

// admit refuses a request that would miss its own deadline or make an admitted
// one miss its deadline. Without the second check, many short requests, none of
// which delays a long one by much, would together push it past its deadline.
func (e *Engine) admit(now time.Duration, r *reservation, p *Prediction) {
	if overrun := p.Finish - e.finishLimit(now, r); overrun > 0 {
		p.Refusal = result.CannotFinishInTime
		p.RetryAfter = max(overrun, minRetryAfter)
		return
	}
	if e.overShare(now, r) {
		p.Refusal, p.RetryAfter = result.ShareExceeded, max(e.backlog()/2, minRetryAfter)
		return
	}
	ahead := 0.0
	for _, o := range e.pending {
		ahead += o.remaining
		if o.key <= r.key {
			continue
		}
		finish := now + e.prefillTime(ahead+r.work) + e.decodeTime(o.job)
		if finish > o.deadline && finish-e.prefillTime(r.work) <= o.deadline {
			p.Refusal, p.RetryAfter = result.Overloaded, max(e.prefillTime(o.remaining), minRetryAfter)
			return
		}
	}
}

// minDeferrableStretch is the least time allowed for a deferrable request, as a
// multiple of the time that it needs alone on the engine.
const minDeferrableStretch = 1.5

// finishLimit returns the time within which a request must be predicted to
// finish to be admitted.
func (e *Engine) finishLimit(now time.Duration, r *reservation) time.Duration {
	limit := r.deadline - now
	if !isDeferrable(usDuration(r.job.TargetUs), limit) {
		return limit
	}
	ownTime := e.prefillTime(r.work) + e.decodeTime(r.job)
	share := max(time.Duration(float64(limit)*e.cfg.DeferrableShare), time.Duration(minDeferrableStretch*float64(ownTime)))
	return min(limit, share)
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 100 * time.Millisecond

// contendedBacklog is the backlog from which customer shares are enforced.
const contendedBacklog = 2 * time.Second

// overShare reports whether the customer exceeds its share of a contended
// backlog. Shares are not enforced on an idle engine, and deferrable requests are
// only ranked lower.
func (e *Engine) overShare(now time.Duration, r *reservation) bool {
	if isDeferrable(usDuration(r.job.TargetUs), r.deadline-now) {
		return false
	}
	total, customerWork := 0.0, 0.0
	for _, o := range e.pending {
		total += o.remaining
		if o.job.Customer == r.job.Customer {
			customerWork += o.remaining
		}
	}
	if e.prefillTime(total) < contendedBacklog || customerWork < total/2 || customerWork == total {
		return false
	}
	return e.usage.excess(now, r.job.Customer, r.job.Weight) > 0
}

func (e *Engine) backlog() time.Duration {
	total := 0.0
	for _, o := range e.pending {
		total += o.remaining
	}
	return e.prefillTime(total)
}

// memoryWait estimates the time until enough KV memory is free for r.
func (e *Engine) memoryWait(now time.Duration, r *reservation) time.Duration {
	missing := e.reservedMemory + r.memory - e.memoryLimit(r)
	if missing <= 0 {
		return 0
	}
	var finishing []*reservation
	for _, o := range e.byID {
		if o.phase == decoding {
			finishing = append(finishing, o)
		}
	}
	slices.SortFunc(finishing, func(a, b *reservation) int { return int(a.expectedEnd - b.expectedEnd) })
	for _, o := range finishing {
		missing -= o.memory
		if missing <= 0 {
			return max(o.expectedEnd-now, 0)
		}
	}
	return e.backlog()
}

// memoryLimit returns the bound on the reserved memory including r. Only small
// requests may use the headroom.
func (e *Engine) memoryLimit(r *reservation) int64 {
	headroom := int64(float64(e.kvTotal) * e.cfg.Headroom)
	if r.memory <= headroom || e.reservedMemory == 0 {
		return e.kvTotal
	}
	return e.kvTotal - headroom
}
