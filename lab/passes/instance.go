package passes

import (
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

const (
	// lookAgain is the mean time after which an instance places a request again
	// that it holds back.
	lookAgain = 15 * time.Millisecond
	// gatherFor is how long an instance gathers changes into one report.
	gatherFor = 2 * time.Millisecond
	// comeBack is when a client returns that was refused for want of room.
	comeBack = 2500 * time.Millisecond
	// comeBackShare of its remaining time is the most that a client waits.
	comeBackShare = 1.0 / 3
)

// attempt is what an instance knows of a request that it placed.
type attempt struct {
	at   *instance
	plan spread.Plan
	// came is when the request reached the instance.
	came time.Duration
	// unread counts the parts that are still being read.
	unread int
	// context is the length of the prompt at the engine that writes.
	context int64
	// waitedFor is why it was last held back.
	waitedFor spread.Reason
	// avoid are the engines that did not grant memory.
	avoid []string
}

// instance is one entry instance.
type instance struct {
	*world
	name   string
	ledger *spread.Ledger
	queue  *spread.Queue
	// dirty tells that a report is being gathered.
	dirty bool
}

func newInstance(w *world, i int) *instance {
	return &instance{world: w, name: fmt.Sprintf("i%03d", i), ledger: spread.NewLedger(), queue: spread.NewQueue()}
}

// changed has the others told of this instance's work a little later.
func (n *instance) changed() {
	if n.dirty {
		return
	}
	n.dirty = true
	n.After(gatherFor, func() {
		n.dirty = false
		n.reports++
		loads := n.ledger.TakeChanged(n.Now())
		waiting := n.queue.TakeState(n.Now())
		n.After(n.load.Peers.Std(), func() {
			for _, o := range n.instances {
				if o != n {
					o.ledger.ApplyReport(n.Now(), n.name, false, loads)
					o.queue.ApplyReport(n.Now(), n.name, waiting)
				}
			}
		})
	})
}

func (n *instance) arrive(q *request) {
	q.at, q.came = n, n.Now()
	n.place(q)
}

// place sends a request to engines, holds it back or refuses it.
func (n *instance) place(q *request) {
	if n.Now()-q.arrived > q.kind.Deadline.Std() {
		q.result.GivenUp++
		n.hold(q, spread.Turn{}, false)
		return
	}
	n.ledger.Advance(n.Now())
	waited, useful := n.Now()-q.came, q.kind.First.Std()
	turn := spread.NewTurn(n.spec, q.id, q.prompt, q.came, useful)
	left := q.kind.Deadline.Std() - (n.Now() - q.arrived)
	plan, verdict := spread.Choose(n.spec, n.servers, n.ledger.Total, spread.Request{
		Instance: n.name, FleetSize: len(n.servers), Avoid: q.avoid,
		Prompt: q.prompt, Answer: n.spec.MeanAnswerTokens,
		FirstTarget: useful, GapTarget: q.kind.Pause.Std(), TightestGap: n.tightest,
		Waited: waited, MaxHold: spread.MaxHold(useful, left+waited), TimeLeft: left,
		MustWait: n.queue.MustWait(n.Now(), turn), SlotWaiters: n.queue.SlotWaiters(n.Now()), Draw: n.rand.Float64(),
	})
	n.hold(q, turn, verdict == spread.Hold)
	switch verdict {
	case spread.Placed:
		n.send(q, plan)
	case spread.Hold:
		q.waitedFor = plan.Reason
		n.After(time.Duration(n.rand.Int64N(int64(2*lookAgain))), func() { n.place(q) })
	default:
		n.refuse(q)
	}
}

// deep reports whether a request's prompt takes its turn.
func (n *instance) deep(q *request) bool {
	return spread.Deep(n.spec, q.prompt, n.spec.MeanAnswerTokens)
}

// hold has the others know whether a request waits here.
func (n *instance) hold(q *request, t spread.Turn, waits bool) {
	tell := n.queue.Update(n.Now(), func(held *spread.Queue) {
		switch {
		case n.deep(q) && waits:
			held.Hold(t)
		case n.deep(q):
			held.Release(q.id)
		case waits && !q.waits:
			held.WaitForSlot(1)
		case q.waits && !waits:
			held.WaitForSlot(-1)
		}
	})
	q.waits = waits
	if tell {
		n.changed()
	}
}

// refuse turns a request away; its client comes back once if it has the time.
func (n *instance) refuse(q *request) {
	left := q.kind.Deadline.Std() - (n.Now() - q.arrived)
	if q.refused || comeBack > time.Duration(comeBackShare*float64(left)) {
		q.result.Refused++
		q.result.RefusedAfter[q.waitedFor]++
		return
	}
	q.refused = true
	other := n.instances[n.rand.IntN(len(n.instances))]
	n.After(comeBack, func() { other.arrive(q) })
}

// send places a request as planned. Memory that is not granted has it placed
// again without the engine that refused.
func (n *instance) send(q *request, plan spread.Plan) {
	for _, p := range plan.Parts {
		if p.Reserve > 0 && !n.engines[p.Server.ID].reserve(q, p.Reserve) {
			n.dropAll(q, plan)
			q.avoid = append(q.avoid, p.Server.ID)
			n.After(2*n.load.Hop.Std(), func() { n.place(q) })
			return
		}
	}
	q.plan, q.unread, q.last = plan, len(plan.Parts), n.Now()
	each := q.prompt / int64(len(plan.Parts))
	q.context = max(each, q.prompt-reserved(plan))
	for i, p := range plan.Parts {
		plan.Parts[i].Recorded = n.ledger.Place(n.Now(), p)
	}
	n.After(n.load.Hop.Std(), func() { n.world.arrive(q) })
	n.changed()
	n.watch(q)
}

func (n *instance) dropAll(q *request, plan spread.Plan) {
	for _, p := range plan.Parts {
		n.engines[p.Server.ID].drop(q)
	}
	for _, p := range plan.Parts {
		n.admit(p.Server.ID)
	}
}

func reserved(p spread.Plan) (sum int64) {
	for _, part := range p.Parts {
		sum += part.Reserve
	}
	return sum
}

// firstEvent ends the reading of the prompt at all engines.
func (n *instance) firstEvent(q *request) {
	for i := range q.plan.Parts {
		p := &q.plan.Parts[i]
		n.ledger.EndPrefill(p.Server.ID, p.Recorded)
		begun := p.Load.PrefillPhase()
		n.ledger.Sub(p.Server.ID, begun)
		p.Load = p.Load.Minus(begun)
	}
	n.changed()
}

func (n *instance) end(q *request) {
	q.over = true
	n.firstEvent(q)
	for i := range q.plan.Parts {
		p := &q.plan.Parts[i]
		n.ledger.Sub(p.Server.ID, p.Load.DecodePhase())
		p.Load = spread.Load{}
	}
	n.dropAll(q, q.plan)
	n.changed()
}
