package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// Delays of the router.
const (
	retryBase    = 10 * time.Millisecond
	retryLimit   = 2 * time.Second
	silentRounds = 4
	maxResumes   = 3
)

func (n *Node) arrive(now time.Duration, ev Arrive) {
	n.counts.Arrived++
	r := &request{job: ev.Job, once: ev.Once, deadline: now + usDuration(ev.Job.RemainingUs), tried: map[string]bool{}}
	r.record = n.records.open(now, r)
	n.requests[r.job.Id] = r
	n.active = append(n.active, r)
	p := n.dir.pools[r.job.Model]
	if p == nil {
		n.fail(now, r, refusal(result.NoBackend, time.Second, "no engine serves %s", r.job.Model))
		return
	}
	if largest := p.largest(); largest > 0 && r.job.PromptTokens+r.job.MaxTokens > largest {
		r.wide = true
	}
	n.ask(now, r)
}

func usDuration(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// ask requests predictions from a few candidate engines.
func (n *Node) ask(now time.Duration, r *request) {
	r.state, r.quotes, r.asked = asking, r.quotes[:0], 0
	r.wakeAt = now + n.cfg.QuoteTimeout
	p := n.dir.pools[r.job.Model]
	if p == nil {
		n.giveUp(now, r)
		return
	}
	if r.wide {
		n.askGang(now, r, p)
		return
	}
	need := r.job.PromptTokens + r.job.MaxTokens
	var buf [4]*EngineInfo
	picked := p.candidates(buf[:0], r.job, n.cfg.Candidates, n.rand, func(e *EngineInfo) bool {
		return r.tried[e.Name] || (e.KVTotal > 0 && e.KVTotal < need)
	})
	if len(picked) == 0 {
		n.giveUp(now, r)
		return
	}
	r.attempt++
	n.sendQuotes(r, r.budget(now), picked)
}

func (n *Node) sendQuotes(r *request, job *peerpb.Job, engines []*EngineInfo) {
	r.asked = len(engines)
	for _, e := range engines {
		n.send(e.Owner, &peerpb.Envelope{Body: &peerpb.Envelope_QuoteRequest{QuoteRequest: &peerpb.QuoteRequest{Engine: e.Name, Job: job}}})
	}
}

func (n *Node) onQuoteReply(now time.Duration, q *peerpb.QuoteReply) {
	r := n.requests[q.Id]
	if r == nil || r.state != asking || r.attempt != q.Attempt {
		n.counts.Stale++
		return
	}
	code := result.Code(q.Refusal)
	if !q.Owned {
		code = result.NoBackend
	}
	r.quotes = append(r.quotes, quote{engine: q.Engine, first: usDuration(q.FirstTokenUs), code: code, unready: !q.Owned})
	r.note(code, usDuration(q.RetryAfterUs))
	if code != result.OK {
		r.record.candidate(q.Engine, 0, code.String())
	}
	if len(r.quotes) == r.asked {
		n.choose(now, r)
	}
}

// choose reserves at the candidate with the earliest predicted first token.
func (n *Node) choose(now time.Duration, r *request) {
	if r.wide {
		n.formGang(now, r)
		return
	}
	best := -1
	for i, q := range r.quotes {
		if q.used || q.code != result.OK {
			continue
		}
		if best < 0 || q.first < r.quotes[best].first {
			best = i
		}
	}
	if best < 0 {
		n.askAgain(now, r)
		return
	}
	q := &r.quotes[best]
	q.used = true
	for i, o := range r.quotes {
		if i != best && o.code == result.OK && !o.used {
			r.record.candidate(o.engine, o.first, "later first token than "+q.engine)
		}
	}
	r.record.candidate(q.engine, q.first, "")
	n.reserve(now, r, q.engine, q.first)
}

// askAgain tries other candidates after every one asked refused or was silent.
// While an engine changes owners nobody can answer for it for a moment; that
// counts as silence, and the same engines are asked again after a pause.
func (n *Node) askAgain(now time.Duration, r *request) {
	silent := true
	for _, q := range r.quotes {
		silent = silent && q.unready
		if !q.unready {
			r.tried[q.engine] = true
		}
	}
	r.round++
	limit := n.cfg.Rounds
	if silent {
		limit = silentRounds
	}
	if r.round >= limit {
		n.giveUp(now, r)
		return
	}
	if silent {
		n.pause(now, r, retry.Backoff(n.rand, n.cfg.QuoteTimeout, retryLimit, r.round))
		return
	}
	n.ask(now, r)
}

func (n *Node) pause(now time.Duration, r *request, d time.Duration) {
	r.state = pausing
	r.wakeAt = now + d
}

// giveUp answers the caller at once: waiting on would only spend its time.
func (n *Node) giveUp(now time.Duration, r *request) {
	code, after := r.best.code, r.best.after
	if code == result.OK {
		code, after = result.NoBackend, time.Second
	}
	if r.sent() {
		n.fail(now, r, result.New(result.BackendFailed, "no other engine can take the request").WithRetryAfter(after))
		return
	}
	n.fail(now, r, refusal(code, after, "no candidate engine can take the request"))
}

func (n *Node) reserve(now time.Duration, r *request, engine string, first time.Duration) {
	r.state = reserving
	job := r.budget(now)
	p := &part{req: r, id: job.Id, job: job, engine: engine, expected: first, state: partWaiting}
	r.parts = append(r.parts[:0], p)
	n.parts[p.id] = p
	n.sendReserve(p)
}

func (n *Node) sendReserve(p *part) {
	n.send(n.ownerOf(p.engine), &peerpb.Envelope{Body: &peerpb.Envelope_Reserve{Reserve: &peerpb.Reserve{Engine: p.engine, Job: p.job}}})
}

func (n *Node) ownerOf(engine string) string {
	if e := n.dir.byName[engine]; e != nil {
		return e.Owner
	}
	return ""
}

func (n *Node) onReserveReply(now time.Duration, m *peerpb.ReserveReply) {
	p := n.parts[m.Id]
	if p == nil || p.job.Attempt != m.Attempt || p.engine != m.Engine {
		n.counts.Stale++
		return
	}
	if m.Queued || p.state > partStarted {
		return
	}
	if p.state != partWaiting {
		n.turnedAway(now, p)
		return
	}
	r := p.req
	code := result.Code(m.Refusal)
	r.note(code, usDuration(m.RetryAfterUs))
	r.record.candidate(m.Engine, p.expected, "refused: "+code.String())
	r.tried[m.Engine] = true
	if p.job.Gang > 1 {
		n.retryGang(now, r, "refused: "+code.String())
		return
	}
	delete(n.parts, p.id)
	r.parts = r.parts[:0]
	n.choose(now, r)
}

// turnedAway leaves an engine that its owner found hung. A request that may
// not be repeated stays: the engine may go on, and its stream with it.
func (n *Node) turnedAway(now time.Duration, p *part) {
	if !p.req.once {
		n.attemptFailed(now, p, Refused, false)
	}
}

// onGrant starts a granted part. A grant for anything else is returned, since
// its owner has accounted memory for it.
func (n *Node) onGrant(now time.Duration, from string, g *peerpb.Grant) {
	p := n.parts[g.Id]
	if p == nil || p.job.Attempt != g.Attempt || p.engine != g.Engine {
		n.counts.Stale++
		n.progressTo(from, g.Engine, g.Id, g.Attempt, peerpb.Stage_STAGE_CANCELLED)
		return
	}
	if p.state != partWaiting {
		return
	}
	p.state = partGranted
	p.priority = g.Priority
	if p.job.Gang > 1 {
		n.gangGranted(now, p)
		return
	}
	n.start(now, p, nil)
}

func (n *Node) start(now time.Duration, p *part, seg *Segment) {
	r := p.req
	r.state, r.inFlight = running, true
	p.state, p.segment = partStarted, seg
	p.giveUpAt = 0
	r.record.attempt(now, p.engine, p.job.Attempt)
	n.act(Start{Request: r.job.Id, ID: p.id, Attempt: p.job.Attempt, Engine: p.engine, Priority: p.priority, Segment: seg})
}

func (n *Node) streamFirst(now time.Duration, ev StreamFirst) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt || p.state != partStarted {
		return
	}
	p.state = partFirst
	n.send(n.ownerOf(p.engine), &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{
		Engine: p.engine, Id: p.id, Attempt: p.job.Attempt, Stage: peerpb.Stage_STAGE_FIRST_TOKEN, CachedTokens: ev.Cached,
	}}})
}

func (n *Node) streamEnd(now time.Duration, ev StreamEnd) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt {
		return
	}
	if ev.Fault == NoFault {
		n.succeed(now, p)
		return
	}
	n.attemptFailed(now, p, ev.Fault, ev.Shown)
}

func (n *Node) succeed(now time.Duration, p *part) {
	n.counts.Answered++
	n.budget.Success()
	p.req.record.verdict("complete")
	p.state = partEnded
	n.progress(p, peerpb.Stage_STAGE_DONE)
	n.finish(now, p.req, "complete")
}

// attemptFailed decides whether a failed attempt is resumed, repeated
// elsewhere or reported.
func (n *Node) attemptFailed(now time.Duration, p *part, fault Fault, shown bool) {
	r := p.req
	if fault == Broken && r.resumes < maxResumes {
		n.resume(now, p)
		return
	}
	r.record.verdict("failed")
	r.reached = r.reached || fault != NotSent || r.gang()
	r.inFlight = false
	r.tried[p.engine] = true
	switch {
	case shown:
		n.fail(now, r, result.New(result.BackendFailed, "the answer broke off and could not be resumed"))
	case r.once && r.sent():
		n.fail(now, r, result.New(result.OutcomeUnknown, "the engine failed; a request of this kind is not repeated"))
	case !n.budget.Take():
		n.fail(now, r, n.failedAttempt(r))
	case r.gang():
		n.retryGang(now, r, "failed")
	default:
		n.counts.Retries++
		n.release(r, peerpb.Stage_STAGE_FAILED)
		n.pause(now, r, retry.Backoff(n.rand, retryBase, retryLimit, int(r.attempt)))
	}
}

func (n *Node) failedAttempt(r *request) *result.Error {
	if !r.sent() {
		return refusal(result.NoBackend, time.Second, "the engine is unreachable and the retry budget is spent")
	}
	return result.New(result.BackendFailed, "the engine failed and the retry budget is spent").WithRetryAfter(time.Second)
}

// resume reattaches to the same attempt: the engine kept the stream, so the
// answer continues where it broke, and nothing runs or is computed twice.
func (n *Node) resume(now time.Duration, p *part) {
	n.counts.Resumes++
	p.req.resumes++
	// A resumption that does not reach the engine says nothing of the attempt
	// that it continues, which did.
	p.req.reached = true
	p.req.record.verdict("resumed")
	n.act(Start{Request: p.req.job.Id, ID: p.id, Attempt: p.job.Attempt, Engine: p.engine, Resume: true, Segment: p.segment})
}

func (n *Node) callerGone(now time.Duration, id string) {
	if r := n.requests[id]; r != nil {
		n.release(r, peerpb.Stage_STAGE_CANCELLED)
		n.finish(now, r, result.CallerGone.String())
	}
}

// checkRequest acts on the times of a request.
func (n *Node) checkRequest(now time.Duration, r *request) {
	if now >= r.deadline {
		n.deadline(now, r)
		return
	}
	switch r.state {
	case asking:
		if now >= r.wakeAt {
			n.choose(now, r)
		}
	case pausing:
		if now >= r.wakeAt {
			n.ask(now, r)
		}
	default:
		n.checkParts(now, r)
	}
}

// checkParts forms a gang anew when one of its engines is not granted in time.
// A single part waits for its owner: a new owner learns of it by renewal, and
// an owner that loses its engine turns it away.
func (n *Node) checkParts(now time.Duration, r *request) {
	for _, p := range r.parts {
		if p.state == partWaiting && p.giveUpAt > 0 && now >= p.giveUpAt {
			n.retryGang(now, r, "not granted in time")
			return
		}
	}
}

func (n *Node) deadline(now time.Duration, r *request) {
	n.counts.Deadlines++
	if r.sent() {
		n.fail(now, r, result.New(result.DeadlinePassed, "the time limit passed"))
		return
	}
	n.fail(now, r, refusal(result.DeadlineNotRun, r.best.after, "the time limit passed before an engine was free"))
}

func (n *Node) fail(now time.Duration, r *request, err *result.Error) {
	if err.NotRun {
		n.counts.Refused++
	} else {
		n.counts.Failed++
	}
	stage := peerpb.Stage_STAGE_CANCELLED
	if err.Code == result.BackendFailed || err.Code == result.OutcomeUnknown {
		stage = peerpb.Stage_STAGE_FAILED
	}
	n.release(r, stage)
	n.finish(now, r, err.Code.String())
	n.act(Finish{ID: r.job.Id, Err: err})
}

func (n *Node) finish(now time.Duration, r *request, outcome string) {
	n.release(r, peerpb.Stage_STAGE_DONE)
	r.record.close(now, outcome)
	delete(n.requests, r.job.Id)
}

// release gives back every part: its reservation, and its stream or held KV
// cache at the engine, which otherwise would keep the memory.
func (n *Node) release(r *request, stage peerpb.Stage) {
	for _, p := range r.parts {
		delete(n.parts, p.id)
		if p.state == partIdle || p.state == partEnded {
			continue
		}
		if p.state >= partStarted {
			n.act(Cancel{Engine: p.engine, Stream: p.stream()})
		}
		n.progress(p, stage)
	}
	r.parts = r.parts[:0]
}

func (n *Node) progress(p *part, stage peerpb.Stage) {
	n.progressTo(n.ownerOf(p.engine), p.engine, p.id, p.job.Attempt, stage)
}

func (n *Node) progressTo(owner, engine, id string, attempt uint32, stage peerpb.Stage) {
	n.send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{
		Engine: engine, Id: id, Attempt: attempt, Stage: stage,
	}}})
}

// renewAll renews the reservations of the parts that match, one message per
// engine.
func (n *Node) renewAll(match func(*part) bool) {
	byEngine := map[string][]*peerpb.RenewItem{}
	var order []string
	for _, r := range n.active {
		for _, p := range r.parts {
			if p.state == partIdle || p.state == partEnded || !match(p) {
				continue
			}
			if byEngine[p.engine] == nil {
				order = append(order, p.engine)
			}
			byEngine[p.engine] = append(byEngine[p.engine], &peerpb.RenewItem{
				Job: p.job, Running: p.state >= partGranted, Ready: p.ready, FirstToken: p.state == partFirst,
			})
		}
	}
	for _, engine := range order {
		n.send(n.ownerOf(engine), &peerpb.Envelope{Body: &peerpb.Envelope_Renew{Renew: &peerpb.Renew{Engine: engine, Items: byEngine[engine]}}})
	}
}
