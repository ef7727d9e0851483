package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// Limits of retries.
const (
	retryBaseDelay = 10 * time.Millisecond
	retryMaxDelay  = 2 * time.Second
	// maxUnreadyRounds bounds the rounds while no owner is ready to answer.
	maxUnreadyRounds = 4
	maxResumes       = 3
)

func (n *Node) onArrive(now time.Duration, ev Arrive) {
	n.counts.Arrived++
	r := &request{job: ev.Job, once: ev.Once, deadline: now + usDuration(ev.Job.RemainingUs), tried: map[string]bool{}}
	r.record = n.records.open(now, r)
	n.requests[r.job.Id] = r
	n.active = append(n.active, r)
	p := n.dir.pools[r.job.Model]
	if p == nil {
		n.fail(now, r, refusalError(result.NoBackend, time.Second, "no engine serves %s", r.job.Model))
		return
	}
	if largest := p.maxKVTotal(); largest > 0 && r.job.PromptTokens+r.job.MaxTokens > largest {
		r.needsGang = true
	}
	n.requestQuotes(now, r)
}

func usDuration(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// requestQuotes asks the owners of a few candidate engines for predictions.
func (n *Node) requestQuotes(now time.Duration, r *request) {
	r.state, r.quotes, r.quotesRequested = quoting, r.quotes[:0], 0
	r.wakeAt = now + n.cfg.QuoteTimeout
	p := n.dir.pools[r.job.Model]
	if p == nil {
		n.giveUp(now, r)
		return
	}
	if r.needsGang {
		n.requestGangQuotes(now, r, p)
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
	n.sendQuoteRequests(r, r.attemptJob(now), picked)
}

func (n *Node) sendQuoteRequests(r *request, job *peerpb.Job, engines []*EngineInfo) {
	r.quotesRequested = len(engines)
	for _, e := range engines {
		n.send(e.Owner, &peerpb.Envelope{Body: &peerpb.Envelope_QuoteRequest{QuoteRequest: &peerpb.QuoteRequest{Engine: e.Name, Job: job}}})
	}
}

func (n *Node) onQuoteReply(now time.Duration, q *peerpb.QuoteReply) {
	r := n.requests[q.Id]
	if r == nil || r.state != quoting || r.attempt != q.Attempt {
		n.counts.Stale++
		return
	}
	code := result.Code(q.Refusal)
	if !q.Owned {
		code = result.NoBackend
	}
	r.quotes = append(r.quotes, quote{engine: q.Engine, predictedFirstToken: usDuration(q.FirstTokenUs), code: code, unready: !q.Owned})
	r.noteRefusal(code, usDuration(q.RetryAfterUs))
	if code != result.OK {
		r.record.addCandidate(q.Engine, 0, code.String())
	}
	if len(r.quotes) == r.quotesRequested {
		n.reserveBest(now, r)
	}
}

// reserveBest requests a reservation on the candidate with the earliest
// predicted first token.
func (n *Node) reserveBest(now time.Duration, r *request) {
	if r.needsGang {
		n.formGang(now, r)
		return
	}
	best := -1
	for i, q := range r.quotes {
		if q.chosen || q.code != result.OK {
			continue
		}
		if best < 0 || q.predictedFirstToken < r.quotes[best].predictedFirstToken {
			best = i
		}
	}
	if best < 0 {
		n.nextRound(now, r)
		return
	}
	q := &r.quotes[best]
	q.chosen = true
	for i, o := range r.quotes {
		if i != best && o.code == result.OK && !o.chosen {
			r.record.addCandidate(o.engine, o.predictedFirstToken, "later first token than "+q.engine)
		}
	}
	r.record.addCandidate(q.engine, q.predictedFirstToken, "")
	n.reserve(now, r, q.engine, q.predictedFirstToken)
}

// nextRound asks other candidates after all of the last round refused or were
// silent. An engine that is changing owners counts as silent; if all are, the
// same engines are asked again after a backoff.
func (n *Node) nextRound(now time.Duration, r *request) {
	noneReady := true
	for _, q := range r.quotes {
		noneReady = noneReady && q.unready
		if !q.unready {
			r.tried[q.engine] = true
		}
	}
	r.round++
	limit := n.cfg.MaxRounds
	if noneReady {
		limit = maxUnreadyRounds
	}
	if r.round >= limit {
		n.giveUp(now, r)
		return
	}
	if noneReady {
		n.backOff(now, r, retry.Backoff(n.rand, n.cfg.QuoteTimeout, retryMaxDelay, r.round))
		return
	}
	n.requestQuotes(now, r)
}

func (n *Node) backOff(now time.Duration, r *request, d time.Duration) {
	r.state = backingOff
	r.wakeAt = now + d
}

// giveUp fails the request at once: waiting until its deadline would only cost
// the caller time.
func (n *Node) giveUp(now time.Duration, r *request) {
	code, retryAfter := r.bestRefusal.code, r.bestRefusal.retryAfter
	if code == result.OK {
		code, retryAfter = result.NoBackend, time.Second
	}
	if r.maybeSent() {
		n.fail(now, r, result.New(result.BackendFailed, "no other engine can take the request").WithRetryAfter(retryAfter))
		return
	}
	n.fail(now, r, refusalError(code, retryAfter, "no candidate engine can take the request"))
}

func (n *Node) reserve(now time.Duration, r *request, engine string, firstToken time.Duration) {
	r.state = reserving
	job := r.attemptJob(now)
	p := &part{req: r, id: job.Id, job: job, engine: engine, predictedFirstToken: firstToken, state: partWaiting}
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
		n.onRejectedAfterGrant(now, p)
		return
	}
	r := p.req
	code := result.Code(m.Refusal)
	r.noteRefusal(code, usDuration(m.RetryAfterUs))
	r.record.addCandidate(m.Engine, p.predictedFirstToken, "refused: "+code.String())
	r.tried[m.Engine] = true
	if p.job.Gang > 1 {
		n.restartGang(now, r, "refused: "+code.String())
		return
	}
	delete(n.parts, p.id)
	r.parts = r.parts[:0]
	n.reserveBest(now, r)
}

// onRejectedAfterGrant fails an attempt on a hung engine. A request that must not
// be repeated stays: the engine may recover and continue its stream.
func (n *Node) onRejectedAfterGrant(now time.Duration, p *part) {
	if !p.req.once {
		n.attemptFailed(now, p, Refused, false)
	}
}

// onGrant starts a granted part. A grant for an unknown or outdated part is
// cancelled, since its owner has reserved memory for it.
func (n *Node) onGrant(now time.Duration, from string, g *peerpb.Grant) {
	p := n.parts[g.Id]
	if p == nil || p.job.Attempt != g.Attempt || p.engine != g.Engine {
		n.counts.Stale++
		n.reportProgressTo(from, g.Engine, g.Id, g.Attempt, peerpb.Stage_STAGE_CANCELLED)
		return
	}
	if p.state != partWaiting {
		return
	}
	p.state = partGranted
	p.priority = g.Priority
	if p.job.Gang > 1 {
		n.onGangGrant(now, p)
		return
	}
	n.start(now, p, nil)
}

func (n *Node) start(now time.Duration, p *part, seg *Segment) {
	r := p.req
	r.state, r.inFlight = running, true
	p.state, p.segment = partStarted, seg
	p.grantDeadline = 0
	r.record.addAttempt(now, p.engine, p.job.Attempt)
	n.addAction(Start{Request: r.job.Id, ID: p.id, Attempt: p.job.Attempt, Engine: p.engine, Priority: p.priority, Segment: seg})
}

func (n *Node) onFirstToken(now time.Duration, ev StreamFirstToken) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt || p.state != partStarted {
		return
	}
	p.state = partFirstToken
	n.send(n.ownerOf(p.engine), &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{
		Engine: p.engine, Id: p.id, Attempt: p.job.Attempt, Stage: peerpb.Stage_STAGE_FIRST_TOKEN, CachedTokens: ev.Cached,
	}}})
}

func (n *Node) onStreamEnd(now time.Duration, ev StreamEnd) {
	p := n.parts[ev.ID]
	if p == nil || p.job.Attempt != ev.Attempt {
		return
	}
	if ev.Fault == NoFault {
		n.succeed(now, p)
		return
	}
	n.attemptFailed(now, p, ev.Fault, ev.ResponseStarted)
}

func (n *Node) succeed(now time.Duration, p *part) {
	n.counts.Answered++
	n.retryBudget.AddSuccess()
	p.req.record.setVerdict("complete")
	p.state = partEnded
	n.reportProgress(p, peerpb.Stage_STAGE_DONE)
	n.finish(now, p.req, "complete")
}

// attemptFailed resumes a failed attempt, retries it or fails the request.
func (n *Node) attemptFailed(now time.Duration, p *part, fault Fault, responseStarted bool) {
	r := p.req
	if fault == Broken && r.resumes < maxResumes {
		n.resume(now, p)
		return
	}
	r.record.setVerdict("failed")
	r.sentBefore = r.sentBefore || fault != NotSent || r.isGang()
	r.inFlight = false
	r.tried[p.engine] = true
	switch {
	case responseStarted:
		n.fail(now, r, result.New(result.BackendFailed, "the answer broke off and could not be resumed"))
	case r.once && r.maybeSent():
		n.fail(now, r, result.New(result.OutcomeUnknown, "the engine failed; a request of this kind is not repeated"))
	case !n.retryBudget.Take():
		n.fail(now, r, n.attemptError(r))
	case r.isGang():
		n.restartGang(now, r, "failed")
	default:
		n.counts.Retries++
		n.release(r, peerpb.Stage_STAGE_FAILED)
		n.backOff(now, r, retry.Backoff(n.rand, retryBaseDelay, retryMaxDelay, int(r.attempt)))
	}
}

func (n *Node) attemptError(r *request) *result.Error {
	if !r.maybeSent() {
		return refusalError(result.NoBackend, time.Second, "the engine is unreachable and the retry budget is spent")
	}
	return result.New(result.BackendFailed, "the engine failed and the retry budget is spent").WithRetryAfter(time.Second)
}

// resume reattaches to the stream of the same attempt. The engine keeps the
// stream, so the answer continues where it broke off and nothing runs twice.
func (n *Node) resume(now time.Duration, p *part) {
	n.counts.Resumes++
	p.req.resumes++
	// If the resumption fails as NotSent, that holds for the resumption only: the
	// attempt that it continues has reached the engine.
	p.req.sentBefore = true
	p.req.record.setVerdict("resumed")
	n.addAction(Start{Request: p.req.job.Id, ID: p.id, Attempt: p.job.Attempt, Engine: p.engine, Resume: true, Segment: p.segment})
}

func (n *Node) onCallerGone(now time.Duration, id string) {
	if r := n.requests[id]; r != nil {
		n.release(r, peerpb.Stage_STAGE_CANCELLED)
		n.finish(now, r, result.CallerGone.String())
	}
}

// checkRequest handles the expired timers of a request.
func (n *Node) checkRequest(now time.Duration, r *request) {
	if now >= r.deadline {
		n.onDeadline(now, r)
		return
	}
	switch r.state {
	case quoting:
		if now >= r.wakeAt {
			n.reserveBest(now, r)
		}
	case backingOff:
		if now >= r.wakeAt {
			n.requestQuotes(now, r)
		}
	default:
		n.checkGangGrants(now, r)
	}
}

// checkGangGrants restarts a gang if one of its reservations is not granted in
// time. A request with a single part needs no such timeout: a new owner learns of
// it by renewal, and an owner that loses its engine rejects it.
func (n *Node) checkGangGrants(now time.Duration, r *request) {
	for _, p := range r.parts {
		if p.state == partWaiting && p.grantDeadline > 0 && now >= p.grantDeadline {
			n.restartGang(now, r, "not granted in time")
			return
		}
	}
}

func (n *Node) onDeadline(now time.Duration, r *request) {
	n.counts.Deadlines++
	if r.maybeSent() {
		n.fail(now, r, result.New(result.DeadlinePassed, "the time limit passed"))
		return
	}
	n.fail(now, r, refusalError(result.DeadlineNotRun, r.bestRefusal.retryAfter, "the time limit passed before an engine was free"))
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
	n.addAction(Finish{ID: r.job.Id, Err: err})
}

func (n *Node) finish(now time.Duration, r *request, outcome string) {
	n.release(r, peerpb.Stage_STAGE_DONE)
	r.record.close(now, outcome)
	delete(n.requests, r.job.Id)
}

// release frees the reservations of all parts and cancels their streams at the
// engines, which would otherwise keep the KV cache in memory.
func (n *Node) release(r *request, stage peerpb.Stage) {
	for _, p := range r.parts {
		delete(n.parts, p.id)
		if p.state == partUnreserved || p.state == partEnded {
			continue
		}
		if p.state >= partStarted {
			n.addAction(Cancel{Engine: p.engine, Stream: p.streamID()})
		}
		n.reportProgress(p, stage)
	}
	r.parts = r.parts[:0]
}

func (n *Node) reportProgress(p *part, stage peerpb.Stage) {
	n.reportProgressTo(n.ownerOf(p.engine), p.engine, p.id, p.job.Attempt, stage)
}

func (n *Node) reportProgressTo(owner, engine, id string, attempt uint32, stage peerpb.Stage) {
	n.send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{
		Engine: engine, Id: id, Attempt: attempt, Stage: stage,
	}}})
}

// renewAll renews the reservations of the matching parts, with one message per
// engine.
func (n *Node) renewAll(match func(*part) bool) {
	byEngine := map[string][]*peerpb.RenewItem{}
	var order []string
	for _, r := range n.active {
		for _, p := range r.parts {
			if p.state == partUnreserved || p.state == partEnded || !match(p) {
				continue
			}
			if byEngine[p.engine] == nil {
				order = append(order, p.engine)
			}
			byEngine[p.engine] = append(byEngine[p.engine], &peerpb.RenewItem{
				Job: p.job, Running: p.state >= partGranted, Ready: p.ready, FirstToken: p.state == partFirstToken,
			})
		}
	}
	for _, engine := range order {
		n.send(n.ownerOf(engine), &peerpb.Envelope{Body: &peerpb.Envelope_Renew{Renew: &peerpb.Renew{Engine: engine, Items: byEngine[engine]}}})
	}
}
