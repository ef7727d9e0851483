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

// A gang is the set of engines that hold the KV cache of a prompt too large for
// the memory of one. Engines are reserved one by one in the order of their
// names, so that two gangs cannot deadlock. Each reservation expires unless its
// entry renews it, so that none outlives an entry that fails midway.

// gangMemoryShare is the share of an engine's memory that one segment may take.
// The rest is left to the small requests on the same engine.
const gangMemoryShare = 0.45

// gangOversampling is the number of engines asked for a quote per engine needed,
// so that a gang can avoid those with little free memory.
const gangOversampling = 2

// requestGangQuotes asks the largest engines when they could hold a segment.
func (n *Node) requestGangQuotes(now time.Duration, r *request, p *pool) {
	sorted := slices.Clone(p.engines)
	n.rand.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	slices.SortStableFunc(sorted, func(a, b *EngineInfo) int { return cmp.Compare(b.KVTotal, a.KVTotal) })
	size := gangSize(r, sorted)
	if size == 0 {
		n.fail(now, r, refusalError(result.TooLongForFleet, 0, "no set of engines can hold %d tokens", r.job.PromptTokens+r.job.MaxTokens))
		return
	}
	sorted = sorted[:min(len(sorted), gangOversampling*size)]
	r.attempt++
	job := r.attemptJob(now)
	job.Prefix = nil
	job.HoldTokens = segmentCapacity(sorted[len(sorted)-1])
	job.PromptTokens, job.MaxTokens = job.HoldTokens, 0
	n.sendQuoteRequests(r, job, sorted)
}

// gangSize returns how many of the engines, taken in order, suffice to hold the
// request, or zero if all of them together do not.
func gangSize(r *request, engines []*EngineInfo) int {
	need := r.job.PromptTokens + r.job.MaxTokens
	for i, e := range engines {
		if need -= segmentCapacity(e); need <= 0 {
			return i + 1
		}
	}
	return 0
}

// formGang selects the engines with the earliest quotes and reserves them in
// the order of their names.
func (n *Node) formGang(now time.Duration, r *request) {
	slices.SortStableFunc(r.quotes, func(a, b quote) int { return cmp.Compare(a.predictedFirstToken, b.predictedFirstToken) })
	var free []*EngineInfo
	for _, q := range r.quotes {
		if e := n.dir.byName[q.engine]; e != nil && q.code == result.OK {
			free = append(free, e)
		}
	}
	size := gangSize(r, free)
	if size == 0 {
		n.scheduleGangRetry(now, r, "too few engines are free")
		return
	}
	members := free[:size]
	slices.SortFunc(members, func(a, b *EngineInfo) int { return cmp.Compare(a.Name, b.Name) })
	n.counts.Gangs++
	r.job.Gang = uint32(size)
	r.state = reserving
	r.parts = n.splitPrompt(now, r, members)
	for _, p := range r.parts {
		n.parts[p.id] = p
	}
	n.acquire(now, r.parts[0])
}

// segmentCapacity returns the number of tokens that a segment may hold on e.
func segmentCapacity(e *EngineInfo) int64 { return int64(gangMemoryShare * float64(e.KVTotal)) }

// splitPrompt splits the prompt among the members in proportion to their memory.
// The last member also holds the answer.
func (n *Node) splitPrompt(now time.Duration, r *request, members []*EngineInfo) []*part {
	total := int64(0)
	for _, e := range members {
		total += segmentCapacity(e)
	}
	need := r.job.PromptTokens + r.job.MaxTokens
	from, parts := int64(0), make([]*part, 0, len(members))
	for i, e := range members {
		size := need * segmentCapacity(e) / total
		to := from + size
		last := i == len(members)-1
		if last {
			to = r.job.PromptTokens
		}
		p := &part{req: r, id: fmt.Sprintf("%s#%d", r.job.Id, i), index: i, engine: e.Name, fromToken: from, toToken: to}
		p.job = r.attemptJob(now)
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
	p.grantDeadline = now + n.cfg.GangGrantTimeout
	p.job.RemainingUs = (p.req.deadline - now).Microseconds()
	n.sendReserve(p)
}

// onGangGrant handles the two grants of a part: the first reserves its memory,
// and the gang's next engine is reserved; the second starts the segment.
func (n *Node) onGangGrant(now time.Duration, p *part) {
	if p.ready {
		n.startSegment(now, p)
		return
	}
	p.grantDeadline = 0
	if p.index+1 < len(p.req.parts) {
		n.acquire(now, p.req.parts[p.index+1])
		return
	}
	n.announceReady(p.req.parts[0])
}

// announceReady asks the owner to schedule a part whose preceding segments are
// complete.
func (n *Node) announceReady(p *part) {
	p.ready, p.state = true, partWaiting
	n.reportProgress(p, peerpb.Stage_STAGE_READY)
}

func (n *Node) startSegment(now time.Duration, p *part) {
	seg := &Segment{FromToken: p.fromToken, ToToken: p.toToken, Last: p.index == len(p.req.parts)-1}
	for _, o := range p.req.parts[:p.index] {
		seg.Import = append(seg.Import, engine.Handle{Engine: o.engine, ID: o.streamID(), Tokens: o.toToken - o.fromToken})
	}
	n.start(now, p, seg)
}

func (n *Node) onStreamHeld(now time.Duration, ev StreamHeld) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt || p.state != partStarted {
		return
	}
	p.state = partFirstToken
	p.grantDeadline = 0
	n.reportProgress(p, peerpb.Stage_STAGE_FIRST_TOKEN)
	if p.index+1 < len(p.req.parts) {
		n.announceReady(p.req.parts[p.index+1])
	}
}

// restartGang releases all parts and schedules another attempt to form a gang.
func (n *Node) restartGang(now time.Duration, r *request, reason string) {
	r.record.setVerdict(reason)
	n.release(r, peerpb.Stage_STAGE_CANCELLED)
	n.counts.Retries++
	n.scheduleGangRetry(now, r, reason)
}

// Backoff between two attempts to form a gang.
const (
	gangRetryBaseDelay = 200 * time.Millisecond
	gangRetryMaxDelay  = 5 * time.Second
)

// scheduleGangRetry backs off and tries again until the request's deadline:
// such requests tolerate a wait, and no single engine could run them instead.
func (n *Node) scheduleGangRetry(now time.Duration, r *request, reason string) {
	r.record.addCandidate("", 0, reason)
	r.round++
	n.backOff(now, r, retry.Backoff(n.rand, gangRetryBaseDelay, gangRetryMaxDelay, r.round))
}
