package passes

import (
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

const (
	// meanRetryDelay is the mean time after which an instance tries again to place a
	// request that is on hold.
	meanRetryDelay = 15 * time.Millisecond
	// gatherDelay is how long an instance batches changes into one report.
	gatherDelay = 2 * time.Millisecond
	// clientRetryDelay is when a client retries that was refused for lack of capacity.
	clientRetryDelay = 2500 * time.Millisecond
	// maxRetryShare is the share of its remaining time that a client waits at most.
	maxRetryShare = 1.0 / 3
)

// attempt is the state that an instance keeps of a request.
type attempt struct {
	at   *instance
	plan spread.Plan
	// receivedAt is when the request reached the instance.
	receivedAt time.Duration
	// unreadParts counts the parts whose prefill is not complete.
	unreadParts int
	// context is the number of prompt tokens on the engine that decodes.
	context int64
	// holdReason is why it was last put on hold.
	holdReason spread.Reason
	// avoid are the engines that refused to reserve memory.
	avoid []string
}

// instance simulates one entry instance.
type instance struct {
	*world
	name   string
	ledger *spread.Ledger
	queue  *spread.Queue
	// arrivals is the rate of requests at this instance.
	arrivals spread.Arrivals
	// reportPending is set while a report is scheduled.
	reportPending bool
	// fairness keeps the shares of customers, nil without them.
	fairness *fairness
}

func newInstance(w *world, i int) *instance {
	return &instance{
		world: w, name: fmt.Sprintf("i%03d", i),
		ledger: spread.NewLedger(), queue: spread.NewQueue(), fairness: newFairness(w.load.Customers),
	}
}

// scheduleReport sends this instance's state to its peers after gatherDelay, unless
// that is already scheduled.
func (n *instance) scheduleReport() {
	if n.reportPending {
		return
	}
	n.reportPending = true
	n.After(gatherDelay, func() {
		n.reportPending = false
		n.reports++
		loads := n.ledger.TakeChanged(n.Now())
		waiting := n.queue.TakeState(n.Now())
		applyUsage := n.fairness.report(n, false, waiting)
		n.After(n.load.Peers.Std(), func() {
			for _, o := range n.instances {
				if o != n {
					o.ledger.ApplyReport(n.Now(), n.name, false, loads)
					o.queue.ApplyReport(n.Now(), n.name, waiting)
					applyUsage(o)
				}
			}
		})
	})
}

func (n *instance) receiveRequest(q *request) {
	q.at, q.receivedAt = n, n.Now()
	n.arrivals.Observe(n.Now())
	n.place(q)
}

// place sends a request to engines, puts it on hold or refuses it.
func (n *instance) place(q *request) {
	if n.Now()-q.arrived > q.kind.Deadline.Std() {
		q.result.GivenUp++
		n.setOnHold(q, spread.Turn{}, false)
		return
	}
	n.ledger.Advance(n.Now())
	waited, firstTarget := n.Now()-q.receivedAt, q.kind.First.Std()
	turn := spread.NewTurn(n.spec, q.id, q.prompt, q.kind.Rank, q.receivedAt, firstTarget)
	turn.OverShare = n.fairness.over(n.Now(), q)
	left := q.kind.Deadline.Std() - (n.Now() - q.arrived)
	maxHold := spread.MaxHold(firstTarget, left+waited)
	plan, verdict := spread.Choose(n.spec, n.servers, n.ledger.Total, spread.Request{
		Instance: n.name, Unreported: n.arrivals.Unreported(n.Now(), len(n.instances)-1), FleetSize: len(n.servers), Avoid: q.avoid,
		Prompt: q.prompt, Answer: n.spec.MeanAnswerTokens,
		FirstTarget: firstTarget, GapTarget: q.kind.Pause.Std(), TightestGap: n.minPause,
		Waited: waited, MaxHold: maxHold, TimeLeft: left,
		MustWait: n.queue.MustWait(n.Now(), turn), SlotWaiters: n.queue.SlotWaiters(n.Now()), Draw: n.rand.Float64(),
	})
	retryAfter := clientRetryDelay
	if verdict == spread.Hold {
		if d := n.fairness.check(n.Now(), q, n.deep(q), waited, maxHold); d.Refuse {
			verdict, retryAfter = spread.Overloaded, d.RetryAfter
		}
	}
	n.setOnHold(q, turn, verdict == spread.Hold)
	switch verdict {
	case spread.Placed:
		n.send(q, plan)
	case spread.Hold:
		q.holdReason = plan.Reason
		n.After(time.Duration(n.rand.Int64N(int64(2*meanRetryDelay))), func() { n.place(q) })
	default:
		n.refuse(q, retryAfter)
	}
}

// deep reports whether a request is deep, so that it has to wait for its turn.
func (n *instance) deep(q *request) bool {
	return spread.Deep(n.spec, q.prompt, n.spec.MeanAnswerTokens)
}

// setOnHold records whether a request is on hold here, and reports it to the peers.
func (n *instance) setOnHold(q *request, t spread.Turn, onHold bool) {
	report := n.queue.Update(n.Now(), func(queue *spread.Queue) {
		switch {
		case n.deep(q) && onHold:
			queue.Hold(t)
		case n.deep(q):
			queue.Release(q.id)
		case onHold && !q.onHold:
			queue.WaitForSlot(1)
		case q.onHold && !onHold:
			queue.WaitForSlot(-1)
		}
	})
	if onHold != q.onHold {
		n.fairness.wait(q, n.deep(q), holdCount(onHold))
	}
	q.onHold = onHold
	if report {
		n.scheduleReport()
	}
}

// refuse refuses a request; its client retries once after the given time, if enough is left.
func (n *instance) refuse(q *request, retryAfter time.Duration) {
	left := q.kind.Deadline.Std() - (n.Now() - q.arrived)
	if q.retried || retryAfter > time.Duration(maxRetryShare*float64(left)) {
		q.result.Refused++
		q.result.RefusedAfter[q.holdReason]++
		return
	}
	q.retried = true
	other := n.instances[n.rand.IntN(len(n.instances))]
	n.After(retryAfter, func() { other.receiveRequest(q) })
}

// send sends a request to the engines of its plan. If one of them refuses to reserve
// memory, the request is placed again without that engine.
func (n *instance) send(q *request, plan spread.Plan) {
	for _, p := range plan.Parts {
		if p.Reserve > 0 && !n.engines[p.Server.ID].reserve(q, p.Reserve) {
			n.dropParts(q, plan)
			q.avoid = append(q.avoid, p.Server.ID)
			n.After(2*n.load.Hop.Std(), func() { n.place(q) })
			return
		}
	}
	q.plan, q.unreadParts, q.last = plan, len(plan.Parts), n.Now()
	each := q.prompt / int64(len(plan.Parts))
	q.context = max(each, q.prompt-reserved(plan))
	for i, p := range plan.Parts {
		plan.Parts[i].Recorded = n.ledger.Place(n.Now(), p)
	}
	n.After(n.load.Hop.Std(), func() { n.world.enqueueRequest(q) })
	n.fairness.place(n.Now(), q, plan)
	n.scheduleReport()
	n.watch(q)
}

func (n *instance) dropParts(q *request, plan spread.Plan) {
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

// firstEvent removes the prefill phase of the request from the ledger.
func (n *instance) firstEvent(q *request) {
	for i := range q.plan.Parts {
		p := &q.plan.Parts[i]
		n.ledger.EndPrefill(p.Server.ID, p.Recorded)
		begun := p.Load.PrefillPhase()
		n.ledger.Sub(p.Server.ID, begun)
		p.Load = p.Load.Minus(begun)
	}
	n.scheduleReport()
}

func (n *instance) end(q *request) {
	q.ended = true
	n.firstEvent(q)
	for i := range q.plan.Parts {
		p := &q.plan.Parts[i]
		n.ledger.Sub(p.Server.ID, p.Load.DecodePhase())
		p.Load = spread.Load{}
	}
	n.dropParts(q, q.plan)
	n.scheduleReport()
}
