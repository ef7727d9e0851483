package sched

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// Reserve queues a job or refuses it. It is idempotent per attempt, because an
// entry repeats a request whose reply was lost.
func (e *Engine) Reserve(now time.Duration, entry string, j *peerpb.Job) Prediction {
	e.advance(now)
	if r, ok := e.byID[j.Id]; ok && r.job.Attempt == j.Attempt {
		return Prediction{}
	}
	e.removeReservation(j.Id)
	r := e.newReservation(now, j)
	p := e.predict(now, r)
	if p.Refusal != result.OK {
		e.counts.Refused++
		return p
	}
	r.entry = entry
	e.insert(now, r)
	e.counts.Reserved++
	e.demand.add(now, r.work)
	e.usage.charge(now, j.Customer, j.Weight, int64(r.work)+j.MaxTokens)
	return p
}

func (e *Engine) insert(now time.Duration, r *reservation) {
	r.expiresAt = now + e.cfg.Expiry
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

// Grants returns the requests to start now: those that fit in memory and have
// less than Config.Window of granted work ahead of them. A request that lacks
// memory blocks later ones that need as much, so that it is not starved. A
// gang's part is granted twice: first its memory, later its execution.
func (e *Engine) Grants(now time.Duration) []Grant {
	e.advance(now)
	var out []Grant
	ahead := 0.0
	blockedMemory := int64(0)
	for _, r := range e.pending {
		windowFull := e.prefillTime(ahead) > e.cfg.Window
		if r.phase == granted {
			ahead += r.remaining
			continue
		}
		if (windowFull && !r.awaitingTurn) || (blockedMemory > 0 && !r.memoryHeld && r.memory >= blockedMemory) {
			continue
		}
		if !r.memoryHeld && e.reservedMemory+r.memory > e.memoryLimit(r) {
			blockedMemory = r.memory
			continue
		}
		out = append(out, e.grant(r))
		ahead += r.remaining
	}
	return out
}

func (e *Engine) grant(r *reservation) Grant {
	r.phase = granted
	if !r.memoryHeld {
		r.memoryHeld = true
		e.reservedMemory += r.memory
	}
	e.counts.Granted++
	return Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt, Priority: e.priority(r)}
}

// makeRunnable queues a gang's part to run. Its key is computed anew: with that
// of its reservation it would overtake all requests that arrived since.
func (e *Engine) makeRunnable(now time.Duration, r *reservation) {
	if !r.awaitingTurn {
		return
	}
	e.dequeue(r)
	r.awaitingTurn, r.phase, r.remaining = false, queued, r.work
	r.key = e.orderKey(now, r)
	e.enqueue(r)
}

// priority returns the key in the engine's clock, so that requests granted by a
// previous owner and by this one are comparable.
func (e *Engine) priority(r *reservation) int64 { return (r.key + e.clockOffset).Microseconds() }

// ObserveCachedTokens compares the number of cached tokens that the engine found
// with the prediction. If it found fewer, the index forgets the prefix, which
// would otherwise attract requests to an engine that must compute it.
func (e *Engine) ObserveCachedTokens(id string, attempt uint32, cached int64) {
	r, ok := e.byID[id]
	if !ok || r.job.Attempt != attempt {
		return
	}
	if predicted := r.job.PromptTokens - int64(r.work); predicted > cached {
		e.cache.forget(r.job.Prefix)
		e.counts.CacheMispredictions++
	}
}

// Progress applies an entry's progress report on a reservation.
func (e *Engine) Progress(now time.Duration, id string, attempt uint32, stage peerpb.Stage) {
	e.advance(now)
	r, ok := e.byID[id]
	if !ok || r.job.Attempt != attempt {
		return
	}
	switch stage {
	case peerpb.Stage_STAGE_READY:
		e.makeRunnable(now, r)
	case peerpb.Stage_STAGE_FIRST_TOKEN:
		e.applyFirstToken(now, r)
	case peerpb.Stage_STAGE_DONE:
		e.counts.Done++
		e.removeReservation(id)
	default:
		e.counts.Cancelled++
		e.removeReservation(id)
	}
}

func (e *Engine) applyFirstToken(now time.Duration, r *reservation) {
	if r.phase != granted {
		return
	}
	e.dequeue(r)
	r.phase = decoding
	if r.job.HoldTokens > 0 {
		r.phase = holding
	}
	r.expectedEnd = now + e.decodeTime(r.job)
}

func (e *Engine) dequeue(r *reservation) {
	e.pending = slices.DeleteFunc(e.pending, func(o *reservation) bool { return o == r })
}

func (e *Engine) removeReservation(id string) {
	r, ok := e.byID[id]
	if !ok {
		return
	}
	delete(e.byID, id)
	e.dequeue(r)
	if r.memoryHeld {
		e.reservedMemory -= r.memory
	}
}

// Renew extends a reservation, or adopts it from a previous owner. The entry is
// authoritative for the requests that it runs, so a new owner's state is exact
// within one renewal period. Renew also repairs lost messages: it queues a part
// that is ready, and returns a grant that did not arrive, to be sent again.
func (e *Engine) Renew(now time.Duration, entry string, item *peerpb.RenewItem) (grant Grant, resend bool) {
	e.advance(now)
	r, ok := e.byID[item.Job.Id]
	if !ok || r.job.Attempt != item.Job.Attempt {
		e.adopt(now, entry, item)
		return Grant{}, false
	}
	r.expiresAt = now + e.cfg.Expiry
	if item.Ready {
		e.makeRunnable(now, r)
	}
	if item.FirstToken {
		e.applyFirstToken(now, r)
	}
	if r.phase == granted && !item.Running {
		return Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt, Priority: e.priority(r)}, true
	}
	return Grant{}, false
}

func (e *Engine) adopt(now time.Duration, entry string, item *peerpb.RenewItem) {
	e.removeReservation(item.Job.Id)
	r := e.newReservation(now, item.Job)
	r.entry = entry
	e.insert(now, r)
	e.counts.Adopted++
	if item.Ready {
		e.makeRunnable(now, r)
	}
	if !item.Running && !item.Ready {
		return
	}
	r.memoryHeld = true
	e.reservedMemory += r.memory
	if !item.Running {
		return
	}
	r.phase = granted
	if item.FirstToken {
		e.applyFirstToken(now, r)
	}
}

// Tick frees expired reservations. Their entry has failed or is partitioned, and
// would never release their memory.
func (e *Engine) Tick(now time.Duration) {
	e.advance(now)
	for id, r := range e.byID {
		if r.expiresAt <= now {
			e.counts.Expired++
			e.removeReservation(id)
		}
	}
}

// MarkUnreachable records that the engine does not answer; nothing is granted
// until the next load report.
func (e *Engine) MarkUnreachable() { e.kvTotal = 0 }

// IsQueued reports whether a reservation is queued and not granted yet.
func (e *Engine) IsQueued(id string) bool {
	r, ok := e.byID[id]
	return ok && r.phase == queued
}

// DropPending removes the queued reservations and returns them. If the engine is
// hung or unreachable, it includes granted ones without a first token: a gang's
// part would otherwise wait there forever and hold the memory of the other parts.
func (e *Engine) DropPending(now time.Duration) []Grant {
	e.advance(now)
	var out []Grant
	for _, r := range slices.Clone(e.pending) {
		if r.phase == queued || e.hung || !e.HasReport() {
			out = append(out, Grant{Entry: r.entry, ID: r.job.Id, Attempt: r.job.Attempt})
			e.removeReservation(r.job.Id)
		}
	}
	return out
}
