package dispatch

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/sched"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// ejectedRetry is when to ask again for an engine that is out of rotation.
const ejectedRetry = time.Second

func (n *Node) replaceDirectory(now time.Duration, d Directory) {
	old := n.dir
	n.dir = newDirectory(d.Engines)
	for _, e := range d.Engines {
		if e.Owner == n.self {
			n.own(e.Name)
			n.setLeaving(now, e.Name, e.Leaving)
		}
	}
	for name := range n.owned {
		if info := n.dir.byName[name]; info == nil || info.Owner != n.self {
			n.disown(name)
		}
	}
	n.engines = n.engines[:0]
	for _, e := range d.Engines {
		if o := n.owned[e.Name]; o != nil {
			n.engines = append(n.engines, o)
		}
	}
	// A new owner knows nothing of what runs; it learns it from the entries at
	// once instead of at the next renewal.
	n.renewAll(func(p *part) bool {
		was, is := old.byName[p.engine], n.dir.byName[p.engine]
		return was != nil && is != nil && was.Owner != is.Owner
	})
}

func (n *Node) own(name string) {
	if n.owned[name] == nil {
		n.owned[name] = sched.NewEngine(name, n.cfg.Sched)
		n.health.Add(name)
	}
}

// disown forgets an engine. Its reservations live on at the entries, which
// renew them with the new owner.
func (n *Node) disown(name string) {
	delete(n.owned, name)
	delete(n.leaving, name)
	n.health.Remove(name)
}

// setLeaving stops new work for an engine and sends the requests that still
// wait for it elsewhere.
func (n *Node) setLeaving(now time.Duration, name string, leaving bool) {
	if leaving == n.leaving[name] {
		return
	}
	n.leaving[name] = leaving
	if leaving {
		n.turnAway(now, name)
	}
}

func (n *Node) turnAway(now time.Duration, name string) {
	for _, g := range n.owned[name].DropPending(now) {
		n.send(g.Entry, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: &peerpb.ReserveReply{
			Engine: name, Id: g.ID, Attempt: g.Attempt, Refusal: uint32(result.NoBackend),
		}}})
	}
}

func (n *Node) engineReport(now time.Duration, ev EngineReport) {
	e := n.owned[ev.Report.Engine]
	if e == nil {
		return
	}
	e.Load(now, ev.Report)
	e.Events(ev.Events)
	if e.Hung() {
		n.turnAway(now, ev.Report.Engine)
		return
	}
	n.flushGrants(now, e)
}

func (n *Node) engineLost(now time.Duration, name string) {
	e := n.owned[name]
	if e == nil {
		return
	}
	e.Lost()
	n.turnAway(now, name)
}

// unusable returns why an owned engine takes no new work.
func (n *Node) unusable(now time.Duration, name string) bool {
	return n.leaving[name] || n.owned[name].Hung() || !n.health.Usable(now, name)
}

func (n *Node) onQuoteRequest(now time.Duration, from string, q *peerpb.QuoteRequest) {
	reply := &peerpb.QuoteReply{Engine: q.Engine, Id: q.Job.Id, Attempt: q.Job.Attempt}
	if e := n.owned[q.Engine]; e != nil && e.Known() {
		p := sched.Prediction{Refusal: result.NoBackend, RetryAfter: ejectedRetry}
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
		reply.Refusal, reply.RetryAfterUs = uint32(result.NoBackend), ejectedRetry.Microseconds()
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
	if n.flushGrants(now, e); e.Waiting(q.Job.Id) {
		reply.Queued = true
		n.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}})
	}
}

func (n *Node) flushGrants(now time.Duration, e *sched.Engine) {
	if !e.Known() {
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
		e.Found(p.Id, p.Attempt, p.CachedTokens)
	case peerpb.Stage_STAGE_DONE:
		n.health.Success(now, p.Engine)
	case peerpb.Stage_STAGE_READY:
	default:
		n.health.Abandon(p.Engine)
	}
	e.Progress(now, p.Id, p.Attempt, p.Stage)
	if n.unusable(now, p.Engine) || !e.Known() {
		n.turnAway(now, p.Engine)
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
		if g, again := e.Renew(now, from, item); again {
			n.sendGrant(e.Name, g)
		}
	}
	n.flushGrants(now, e)
}
