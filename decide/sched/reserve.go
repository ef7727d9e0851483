package sched

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

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
