package passes

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// refusal is one refusal of a request for lack of capacity.
type refusal struct {
	q *request
	// again is set if it is the second of its client, early if it is one by the forecast.
	again, early bool
	// held is how long the request was held before.
	held time.Duration
}

// observeHeld records what an instance holds back.
func (n *instance) observeHeld(name string, w spread.Waiting) {
	if n.forecast != nil {
		n.forecast.Flow.Observe(n.Now(), name, w.Held.Prefill)
	}
}

// refusedEarly reports whether a request that would be held is refused instead.
func (n *instance) refusedEarly(q *request, t spread.Turn, waited, left time.Duration) bool {
	q.early = false
	if n.forecast == nil {
		return false
	}
	target := q.kind.First.Std()
	maxHold := spread.MaxHold(target, left+waited)
	latest := spread.Latest(n.spec, q.prompt, n.spec.MeanAnswerTokens, target, maxHold)
	ahead := n.queue.Ahead(n.Now(), t)
	q.early = n.forecast.Check(n.Now(), admission.Request{
		Deep: n.deep(q), Prefill: t.Prefill, Waited: waited, MaxHold: maxHold, FirstTarget: target,
		Latest: latest,
		Ahead:  ahead.Prefill, AheadPrompts: ahead.Prompts,
	}).Refuse
	return q.early
}

// retryAfter is when the client of a refused request may come back.
func (n *instance) retryAfter(q *request, left time.Duration) time.Duration {
	if n.forecast == nil || !n.deep(q) {
		return clientRetryDelay
	}
	return n.forecast.RetryAfter(n.Now(), n.queue.Held(n.Now()).Prefill, left, n.rand.Float64())
}

func (n *instance) recordRefusal(q *request) {
	n.refusals = append(n.refusals, refusal{q: q, again: q.retried, early: q.early, held: n.Now() - q.receivedAt})
}

// recordPlaced records whether a request is placed before the end of the time for which it may be held.
func (n *instance) recordPlaced(q *request, waited, left time.Duration) {
	target := q.kind.First.Std()
	attempt := 0
	if q.retried {
		attempt = 1
	}
	q.placed[attempt] = waited < spread.MaxHold(target, left+waited)
}
