package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/retry"
)

// A gang is the set of engines that hold the KV cache of a prompt larger than
// the memory of one. Engines are reserved one after the other in the order of
// their names, so two gangs never wait for each other; each reservation
// expires unless its entry renews it, so nothing stays reserved when the entry
// dies half-way.

// gangFill is the part of an engine's memory that one segment may take. It
// leaves room for the small requests that share the engine.
const gangFill = 0.85

// maxGangTries bounds how often a gang is formed anew.
const maxGangTries = 6

func (n *Node) startGang(now time.Duration, r *request) {
	members := n.pickGang(r)
	if members == nil {
		n.fail(now, r, refusal(result.TooLongForFleet, 0, "no set of engines can hold %d tokens", r.job.PromptTokens+r.job.MaxTokens))
		return
	}
	n.counts.Gangs++
	r.attempt++
	r.job.Gang = uint32(len(members))
	r.state = reserving
	r.parts = n.segments(now, r, members)
	for _, p := range r.parts {
		n.parts[p.id] = p
	}
	n.acquire(now, r.parts[0])
}

// pickGang draws engines, the larger ones first, until they can hold the
// prompt, and returns them in the global order of acquisition.
func (n *Node) pickGang(r *request) []*EngineInfo {
	pool := n.dir.pools[r.job.Model]
	if pool == nil {
		return nil
	}
	drawn := slices.Clone(pool.engines)
	n.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	slices.SortStableFunc(drawn, func(a, b *EngineInfo) int {
		if c := cmp.Compare(btoi(r.tried[a.Name]), btoi(r.tried[b.Name])); c != 0 {
			return c
		}
		return cmp.Compare(b.KVTotal, a.KVTotal)
	})
	need := r.job.PromptTokens + r.job.MaxTokens
	for i, e := range drawn {
		need -= capacity(e)
		if need <= 0 {
			members := drawn[:i+1]
			slices.SortFunc(members, func(a, b *EngineInfo) int { return cmp.Compare(a.Name, b.Name) })
			return members
		}
	}
	return nil
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
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
	p.giveUpAt = now + n.cfg.GangPatience
	p.job.RemainingUs = (p.req.deadline - now).Microseconds()
	n.sendReserve(p)
}

// gangGranted takes the next engine, or starts the first segment when every
// engine is reserved.
func (n *Node) gangGranted(now time.Duration, p *part) {
	p.giveUpAt = 0
	if p.index+1 < len(p.req.parts) {
		n.acquire(now, p.req.parts[p.index+1])
		return
	}
	n.startSegment(now, p.req.parts[0])
}

func (n *Node) startSegment(now time.Duration, p *part) {
	seg := &Segment{FromToken: p.from, ToToken: p.to, Last: p.index == len(p.req.parts)-1}
	for _, o := range p.req.parts[:p.index] {
		seg.Import = append(seg.Import, engine.Handle{Engine: o.engine, ID: o.stream(), Tokens: o.to - o.from})
	}
	n.start(now, p, seg)
	// A segment waits behind short requests that arrive later, so only the
	// request's deadline bounds it.
	p.giveUpAt = 0
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
		n.startSegment(now, p.req.parts[p.index+1])
	}
}

// retryGang gives back everything and forms the gang anew after a pause.
func (n *Node) retryGang(now time.Duration, r *request, why string) {
	r.record.verdict(why)
	n.release(r, peerpb.Stage_STAGE_CANCELLED)
	r.round++
	if r.round >= maxGangTries {
		n.giveUp(now, r)
		return
	}
	n.counts.Retries++
	n.pause(now, r, retry.Backoff(n.rand, 10*retryBase, retryLimit, r.round))
}
