package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

// A gang is the set of engines that hold the KV cache of a prompt larger than
// the memory of one. Engines are reserved one after the other in the order of
// their names, so two gangs never wait for each other; each reservation
// expires unless its entry renews it, so nothing stays reserved when the entry
// dies half-way.

// gangFill is the part of an engine's memory that one segment may take. It
// leaves room for the small requests that share the engine.
const gangFill = 0.45

// gangChoice is how many engines are asked for each one that is needed, so
// that a gang can avoid those with little memory free.
const gangChoice = 2

// askGang asks the larger engines when they could hold a segment.
func (n *Node) askGang(now time.Duration, r *request, p *pool) {
	drawn := slices.Clone(p.engines)
	n.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	slices.SortStableFunc(drawn, func(a, b *EngineInfo) int { return cmp.Compare(b.KVTotal, a.KVTotal) })
	enough := gangSize(r, drawn)
	if enough == 0 {
		n.fail(now, r, refusal(result.TooLongForFleet, 0, "no set of engines can hold %d tokens", r.job.PromptTokens+r.job.MaxTokens))
		return
	}
	drawn = drawn[:min(len(drawn), gangChoice*enough)]
	r.attempt++
	job := r.budget(now)
	job.Prefix = nil
	job.HoldTokens = capacity(drawn[len(drawn)-1])
	job.PromptTokens, job.MaxTokens = job.HoldTokens, 0
	n.sendQuotes(r, job, drawn)
}

// gangSize returns how many of the engines in this order hold the prompt, or
// zero if all together cannot.
func gangSize(r *request, engines []*EngineInfo) int {
	need := r.job.PromptTokens + r.job.MaxTokens
	for i, e := range engines {
		if need -= capacity(e); need <= 0 {
			return i + 1
		}
	}
	return 0
}

// formGang takes the engines that are free first and reserves them in the
// global order.
func (n *Node) formGang(now time.Duration, r *request) {
	slices.SortStableFunc(r.quotes, func(a, b quote) int { return cmp.Compare(a.first, b.first) })
	var free []*EngineInfo
	for _, q := range r.quotes {
		if e := n.dir.byName[q.engine]; e != nil && q.code == result.OK {
			free = append(free, e)
		}
	}
	size := gangSize(r, free)
	if size == 0 {
		n.gangLater(now, r, "too few engines are free")
		return
	}
	members := free[:size]
	slices.SortFunc(members, func(a, b *EngineInfo) int { return cmp.Compare(a.Name, b.Name) })
	n.counts.Gangs++
	r.job.Gang = uint32(size)
	r.state = reserving
	r.parts = n.segments(now, r, members)
	for _, p := range r.parts {
		n.parts[p.id] = p
	}
	n.acquire(now, r.parts[0])
}

func capacity(e *EngineInfo) int64 { return int64(gangFill * float64(e.KVTotal)) }

// segments cuts the prompt in proportion to the members' memory. The last
// member also holds the answer.
func (n *Node) segments(now time.Duration, r *request, members []*EngineInfo) []*part {
	total := int64(0)
	for _, e := range members {
		total += capacity(e)
	}
	need := r.job.PromptTokens + r.job.MaxTokens
	from, parts := int64(0), make([]*part, 0, len(members))
	for i, e := range members {
		size := need * capacity(e) / total
		to := from + size
		last := i == len(members)-1
		if last {
			to = r.job.PromptTokens
		}
		p := &part{req: r, id: fmt.Sprintf("%s#%d", r.job.Id, i), index: i, engine: e.Name, from: from, to: to}
		p.job = r.budget(now)
		p.job.Id, p.job.Gang, p.job.Prefix = p.id, uint32(len(members)), nil
		p.job.PromptTokens, p.job.HoldTokens = to-from, to-from
		if last {
			p.job.HoldTokens += r.job.MaxTokens
		} else {
			p.job.MaxTokens = 0
		}
		parts = append(parts, p)
		from = to
	}
	return parts
}

func (n *Node) acquire(now time.Duration, p *part) {
	p.state = partWaiting
	p.giveUpAt = now + n.cfg.GangPatience
	p.job.RemainingUs = (p.req.deadline - now).Microseconds()
	n.sendReserve(p)
}

// gangGranted takes the next engine, or starts the first segment when every
// engine is reserved. The second grant of a part lets it run.
func (n *Node) gangGranted(now time.Duration, p *part) {
	if p.ready {
		n.startSegment(now, p)
		return
	}
	p.giveUpAt = 0
	if p.index+1 < len(p.req.parts) {
		n.acquire(now, p.req.parts[p.index+1])
		return
	}
	n.readySegment(p.req.parts[0])
}

// readySegment asks the owner for the turn of a part whose predecessors are
// complete.
func (n *Node) readySegment(p *part) {
	p.ready, p.state = true, partWaiting
	n.progress(p, peerpb.Stage_STAGE_READY)
}

func (n *Node) startSegment(now time.Duration, p *part) {
	seg := &Segment{FromToken: p.from, ToToken: p.to, Last: p.index == len(p.req.parts)-1}
	for _, o := range p.req.parts[:p.index] {
		seg.Import = append(seg.Import, engine.Handle{Engine: o.engine, ID: o.stream(), Tokens: o.to - o.from})
	}
	n.start(now, p, seg)
}

func (n *Node) streamHeld(now time.Duration, ev StreamHeld) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt || p.state != partStarted {
		return
	}
	p.state = partFirst
	p.giveUpAt = 0
	n.progress(p, peerpb.Stage_STAGE_FIRST_TOKEN)
	if p.index+1 < len(p.req.parts) {
		n.readySegment(p.req.parts[p.index+1])
	}
}

// retryGang gives back everything and forms the gang anew after a pause.
func (n *Node) retryGang(now time.Duration, r *request, why string) {
	r.record.verdict(why)
	n.release(r, peerpb.Stage_STAGE_CANCELLED)
	n.counts.Retries++
	n.gangLater(now, r, why)
}

// Delays between two tries to form a gang.
const (
	gangRetryBase  = 200 * time.Millisecond
	gangRetryLimit = 5 * time.Second
)

// gangLater tries again until the request's time is up: such a request may
// wait, and no other engine could take it.
func (n *Node) gangLater(now time.Duration, r *request, why string) {
	r.record.candidate("", 0, why)
	r.round++
	n.pause(now, r, retry.Backoff(n.rand, gangRetryBase, gangRetryLimit, r.round))
}
