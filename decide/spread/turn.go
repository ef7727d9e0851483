package spread

import (
	"cmp"
	"maps"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Turn is the position of a held prompt in the order of all instances. Its fields, except
// OverShare, do not change with time, so every instance computes the order by itself and a prompt is not
// reported again as its place changes; such reports were half of all messages between 75
// instances.
type Turn struct {
	Request string
	// Weight is the length in tokens by which the prompt is queued.
	Weight int64
	// Rank is the priority of the prompt's customer or route; 0 is the most urgent.
	Rank int
	// Arrived is when the prompt arrived, by the clock of the instance that compares.
	Arrived time.Duration
	// FirstTarget is the target for the time to the first event, LateAfter the wait after
	// which it can no longer be met; both are zero if there is no target.
	FirstTarget, LateAfter time.Duration
	// OverShare is set while the prompt's customer uses more than its share. When it changes, peers are
	// sent the prompt again.
	OverShare bool
}

// ageingFactor ranks a prompt that has waited for its whole target like one of a sixth of
// its length. By length alone a large prompt would starve, because one of 75 instances
// always has a shorter one. By arrival alone all prompts of a burst would be late.
const ageingFactor = 5

// NewTurn returns the turn of a prompt of a rank that arrived at arrived and whose first event
// is due within target.
func NewTurn(e *route.Engine, request string, prompt int64, rank int, arrived, target time.Duration) Turn {
	t := Turn{Request: request, Weight: weight(e, prompt), Rank: rank, Arrived: arrived, FirstTarget: target}
	if target > 0 {
		t.LateAfter = lateAfter(e, prompt, target)
	}
	return t
}

// late reports whether the first event can no longer come in time.
func (t Turn) late(now time.Duration) bool {
	return t.FirstTarget > 0 && now-t.Arrived > t.LateAfter
}

// agedWeight is the weight, reduced by ageing.
func (t Turn) agedWeight(now time.Duration) float64 {
	if t.FirstTarget <= 0 {
		return float64(t.Weight)
	}
	return float64(t.Weight) / (1 + ageingFactor*float64(now-t.Arrived)/float64(t.FirstTarget))
}

// precedes reports whether t goes before o. A prompt that can still be in time goes first,
// then the one of higher priority, then, if both can still be in time, the one of a customer within its
// share, then the one of lower aged weight, since a prompt of half the length takes a quarter of the
// engines' time.
func (t Turn) precedes(now time.Duration, o Turn) bool {
	late := t.late(now)
	if late != o.late(now) {
		return !late
	}
	if t.Rank == o.Rank && t.OverShare != o.OverShare && !late {
		return o.OverShare
	}
	return cmp.Or(cmp.Compare(t.Rank, o.Rank), cmp.Compare(t.agedWeight(now), o.agedWeight(now)), cmp.Compare(t.Request, o.Request)) < 0
}

// TurnTTL is how long a peer's report of what it holds back counts; a peer that
// hung would otherwise block all others. Peers repeat the report every turnRefresh.
const (
	TurnTTL     = 600 * time.Millisecond
	turnRefresh = 200 * time.Millisecond
)

// Waiting is what an instance reports of the requests that it holds back.
type Waiting struct {
	// First is the first of the deep prompts; HasFirst is false if there are none.
	First    Turn
	HasFirst bool
	// ForSlot is the number of requests that wait for a free slot.
	ForSlot int
}

type peerWaiting struct {
	Waiting
	receivedAt time.Duration
}

// Queue orders the prompts that all instances hold back. Without the order, several
// instances would see the engines' backlog fall below the limit at the same moment and
// send before they hear of each other. Two prompts would then take the same engine, which
// has memory for one, and the other would keep all its helpers counted as busy until the
// first is answered. In bursts this stopped all deep prompts for three to five seconds.
//
// Each instance reports only its first prompt. Views differ for the time that a report
// takes, so two prompts may still be sent together; that is safe, only slower. Queue is
// not safe for concurrent use.
type Queue struct {
	local   map[string]Turn
	forSlot int
	// lastSent is when peers were last sent the local state.
	lastSent time.Duration
	peers    map[string]peerWaiting
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{local: map[string]Turn{}, peers: map[string]peerWaiting{}} }

// Hold adds a prompt that this instance holds back.
func (q *Queue) Hold(t Turn) { q.local[t.Request] = t }

// Release removes a prompt that Hold added.
func (q *Queue) Release(request string) { delete(q.local, request) }

// WaitForSlot adds n, which may be negative, to the requests of this instance that wait
// for a slot.
func (q *Queue) WaitForSlot(n int) { q.forSlot += n }

// LocalState returns what this instance holds back.
func (q *Queue) LocalState(now time.Duration) Waiting {
	w := Waiting{ForSlot: q.forSlot}
	for _, t := range q.local {
		if !w.HasFirst || t.precedes(now, w.First) {
			w.First, w.HasFirst = t, true
		}
	}
	return w
}

// Update applies a change to what this instance holds back and reports whether peers must
// be sent the state: when it changed, and periodically while something waits.
func (q *Queue) Update(now time.Duration, change func(*Queue)) (send bool) {
	previous := q.LocalState(now)
	change(q)
	w := q.LocalState(now)
	return w != previous || w != (Waiting{}) && now-q.lastSent > turnRefresh
}

// TakeState returns the state to send to peers, and takes it as sent.
func (q *Queue) TakeState(now time.Duration) Waiting {
	q.lastSent = now
	return q.LocalState(now)
}

// ApplyReport records what a peer holds back.
func (q *Queue) ApplyReport(now time.Duration, peer string, w Waiting) {
	if w == (Waiting{}) {
		delete(q.peers, peer)
		return
	}
	q.peers[peer] = peerWaiting{Waiting: w, receivedAt: now}
}

// SlotWaiters counts the requests that wait for a free slot at all instances.
func (q *Queue) SlotWaiters(now time.Duration) int {
	sum := q.forSlot
	for _, w := range q.peers {
		if now-w.receivedAt <= TurnTTL {
			sum += w.ForSlot
		}
	}
	return sum
}

// RetainPeers drops the state of peers that are not live.
func (q *Queue) RetainPeers(live map[string]bool) {
	maps.DeleteFunc(q.peers, func(peer string, _ peerWaiting) bool { return !live[peer] })
}

// MustWait reports whether another held prompt precedes t.
func (q *Queue) MustWait(now time.Duration, t Turn) bool {
	for _, o := range q.local {
		if o.Request != t.Request && o.precedes(now, t) {
			return true
		}
	}
	for peer, o := range q.peers {
		if now-o.receivedAt > TurnTTL {
			delete(q.peers, peer)
			continue
		}
		if o.HasFirst && o.First.precedes(now, t) {
			return true
		}
	}
	return false
}
