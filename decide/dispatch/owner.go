package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/sched"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// ejectedRetryAfter is the retry hint sent for an ejected engine.
const ejectedRetryAfter = time.Second

func (n *Node) replaceDirectory(now time.Duration, d Directory) {
	previous := n.dir
	n.dir = newDirectory(d.Engines)
	for _, e := range d.Engines {
		if e.Owner == n.self {
			n.takeOverEngine(e.Name)
			n.setLeaving(now, e.Name, e.Leaving)
		}
	}
	for name := range n.owned {
		if info := n.dir.byName[name]; info == nil || info.Owner != n.self {
			n.forgetEngine(name)
		}
	}
	n.engines = n.engines[:0]
	for _, e := range d.Engines {
		if o := n.owned[e.Name]; o != nil {
			n.engines = append(n.engines, o)
		}
	}
	// A new owner has no record of the running requests. Renewing at once spares
	// it the wait for the next periodic renewal.
	n.renewAll(func(p *part) bool {
		before, after := previous.byName[p.engine], n.dir.byName[p.engine]
		return before != nil && after != nil && before.Owner != after.Owner
	})
}

func (n *Node) takeOverEngine(name string) {
	if n.owned[name] == nil {
		n.owned[name] = sched.NewEngine(name, n.cfg.Sched)
		n.health.Add(name)
	}
}

// forgetEngine drops the state of an engine owned by another instance now. The
// entries keep its reservations and renew them with the new owner.
func (n *Node) forgetEngine(name string) {
	delete(n.owned, name)
	delete(n.leaving, name)
	n.health.Remove(name)
}

// setLeaving starts or stops draining an engine. A draining engine takes no new
// work, and the requests waiting for it are rejected, so that their entries place
// them elsewhere.
func (n *Node) setLeaving(now time.Duration, name string, leaving bool) {
	if leaving == n.leaving[name] {
		return
	}
	n.leaving[name] = leaving
	if leaving {
		n.rejectPending(now, name)
	}
}

// rejectPending drops an engine's pending reservations and notifies the entries.
func (n *Node) rejectPending(now time.Duration, name string) {
	for _, g := range n.owned[name].DropPending(now) {
		n.send(g.Entry, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: &peerpb.ReserveReply{
			Engine: name, Id: g.ID, Attempt: g.Attempt, Refusal: uint32(result.NoBackend),
		}}})
	}
}

func (n *Node) onEngineReport(now time.Duration, ev EngineReport) {
	e := n.owned[ev.Report.Engine]
	if e == nil {
		return
	}
	e.ApplyReport(now, ev.Report)
	e.ApplyCacheEvents(ev.Events)
	if e.Hung() {
		n.rejectPending(now, ev.Report.Engine)
		return
	}
	n.flushGrants(now, e)
}

func (n *Node) onEngineLost(now time.Duration, name string) {
	e := n.owned[name]
	if e == nil {
		return
	}
	e.MarkUnreachable()
	n.rejectPending(now, name)
}

// unusable reports whether an owned engine takes no new work.
func (n *Node) unusable(now time.Duration, name string) bool {
	return n.leaving[name] || n.owned[name].Hung() || !n.health.Usable(now, name)
}

func (n *Node) onQuoteRequest(now time.Duration, from string, q *peerpb.QuoteRequest) {
	reply := &peerpb.QuoteReply{Engine: q.Engine, Id: q.Job.Id, Attempt: q.Job.Attempt}
	if e := n.owned[q.Engine]; e != nil && e.HasReport() {
		p := sched.Prediction{Refusal: result.NoBackend, RetryAfter: ejectedRetryAfter}
		if !n.unusable(now, q.Engine) {
			p = e.Quote(now, q.Job)
		}
		reply.Owned = true
		reply.FirstTokenUs = p.FirstToken.Microseconds()
		reply.FinishUs = p.Finish.Microseconds()
		reply.CachedTokens = p.Cached
		reply.Refusal = uint32(p.Refusal)
		reply.RetryAfterUs = p.RetryAfter.Microseconds()
	}
	n.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_QuoteReply{QuoteReply: reply}})
}

func (n *Node) onReserve(now time.Duration, from string, q *peerpb.Reserve) {
	reply := &peerpb.ReserveReply{Engine: q.Engine, Id: q.Job.Id, Attempt: q.Job.Attempt}
	e := n.owned[q.Engine]
	if e == nil || n.unusable(now, q.Engine) {
		reply.Refusal, reply.RetryAfterUs = uint32(result.NoBackend), ejectedRetryAfter.Microseconds()
		n.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}})
		return
	}
	p := e.Reserve(now, from, q.Job)
	if p.Refusal != result.OK {
		reply.Refusal, reply.RetryAfterUs = uint32(p.Refusal), p.RetryAfter.Microseconds()
		n.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}})
		return
	}
	n.health.Begin(now, q.Engine)
	if n.flushGrants(now, e); e.IsQueued(q.Job.Id) {
		reply.Queued = true
		n.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}})
	}
}

func (n *Node) flushGrants(now time.Duration, e *sched.Engine) {
	if !e.HasReport() {
		return
	}
	for _, g := range e.Grants(now) {
		n.sendGrant(e.Name, g)
	}
}

func (n *Node) sendGrant(engine string, g sched.Grant) {
	n.send(g.Entry, &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{
		Engine: engine, Id: g.ID, Attempt: g.Attempt, Priority: g.Priority,
	}}})
}

func (n *Node) onProgress(now time.Duration, p *peerpb.Progress) {
	e := n.owned[p.Engine]
	if e == nil {
		return
	}
	switch p.Stage {
	case peerpb.Stage_STAGE_FAILED:
		n.health.Failure(now, p.Engine)
	case peerpb.Stage_STAGE_FIRST_TOKEN:
		n.health.Success(now, p.Engine)
		e.ObserveCachedTokens(p.Id, p.Attempt, p.CachedTokens)
	case peerpb.Stage_STAGE_DONE:
		n.health.Success(now, p.Engine)
	case peerpb.Stage_STAGE_READY:
	default:
		n.health.Abandon(p.Engine)
	}
	e.Progress(now, p.Id, p.Attempt, p.Stage)
	if n.unusable(now, p.Engine) || !e.HasReport() {
		n.rejectPending(now, p.Engine)
		return
	}
	n.flushGrants(now, e)
}

func (n *Node) onRenew(now time.Duration, from string, m *peerpb.Renew) {
	e := n.owned[m.Engine]
	if e == nil {
		return
	}
	for _, item := range m.Items {
		if g, resend := e.Renew(now, from, item); resend {
			n.sendGrant(e.Name, g)
		}
	}
	n.flushGrants(now, e)
}
