package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/admission"
)

const (
	// demandFactor is the largest demand assumed of a customer, in multiples of its usage; what it leaves
	// unused of an equal share is lent to others. It is large because customers that another one has crowded
	// out use far less than they demand: their shares must not be lent to that one.
	demandFactor = 10
	// overFactor is the usage, in multiples of the mean usage of the others, above which a customer is over
	// its share, and withinFactor that below which it no longer is. Usage of equal customers differs
	// by chance: a few deep prompts of very different lengths make up the usage of each.
	overFactor, withinFactor = 3, 2
	// refreshInterval is how long computed shares are used.
	refreshInterval = 10 * time.Millisecond
	// maxRecheckInterval is the longest time until a held request is checked again (twice the mean interval
	// of serve/relay).
	maxRecheckInterval = 30 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time to come back of a refused request.
	minRetryAfter, maxRetryAfter = 150 * time.Millisecond, 30 * time.Second
)

// shares is the state computed from the usage.
type shares struct {
	valid bool
	at    time.Duration
	// level is the share of each customer in seconds.
	level float64
	over  map[uint32]bool
	// announced are the customers that TakeChanges returned last as delaying others.
	announced map[uint32]bool
}

// Change is a customer that uses more than its share while others wait (Over is set), or no longer is over it.
type Change struct {
	Customer     uint32
	Over         bool
	Usage, Share time.Duration
}

// refresh computes the shares, at most once in refreshInterval.
func (t *Table) refresh(now time.Duration) {
	s := &t.shares
	if s.valid && now-s.at < refreshInterval {
		return
	}
	s.valid, s.at = true, now
	usage := make(map[uint32]float64, len(t.total))
	values := make([]float64, 0, len(t.total))
	for c, a := range t.total {
		if v := a.value(now); v >= minUsage.Seconds() {
			usage[c] = v
			values = append(values, v)
		}
	}
	s.level = maxMinLevel(values)
	over, within := s.level*inShares(overFactor, len(values)), s.level*inShares(withinFactor, len(values))
	for c, v := range usage {
		if v > over {
			s.over[c] = true
		}
	}
	for c := range s.over {
		if usage[c] < within || usage[c] == 0 {
			delete(s.over, c)
		}
	}
}

// inShares converts a multiple of the mean usage of the others into one of the mean of all n customers.
func inShares(factor float64, n int) float64 {
	return factor * float64(n) / (float64(n-1) + factor)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// maxMinLevel returns the share of each customer: the sum of all usage is divided equally, and what a
// customer does not want of its part (demandFactor) is divided among the others.
func maxMinLevel(usage []float64) float64 {
	slices.Sort(usage)
	left := 0.0
	for _, v := range usage {
		left += v
	}
	for i, v := range usage {
		equal := left / float64(len(usage)-i)
		if demandFactor*v >= equal {
			return equal
		}
		left -= demandFactor * v
	}
	return left
}

// Over reports whether a customer uses more than its share. This has no effect while nobody else waits:
// instances order held prompts by it, and Check refuses none.
func (t *Table) Over(now time.Duration, customer uint32) bool {
	t.refresh(now)
	return t.shares.over[customer]
}

// delaysOthers reports whether a customer uses more than its share while requests of customers within
// theirs wait for the same: deep prompts for their turn, others for a slot.
func (t *Table) delaysOthers(now time.Duration, customer uint32, deep bool) bool {
	return t.Over(now, customer) && (t.waitsHere(deep) || deep && t.waitsAtPeers(now))
}

func (t *Table) waitsHere(deep bool) bool {
	for c := range t.waiting(deep) {
		if !t.shares.over[c] {
			return true
		}
	}
	return false
}

func (t *Table) waitsAtPeers(now time.Duration) bool {
	for _, p := range t.peers {
		if p.waits && now-p.heardAt <= waitingTTL {
			return true
		}
	}
	return false
}

// Check implements admission.Check: it refuses a request of a customer over its share that has waited for
// its target or would soon be sent anyway, whatever its place in the order.
func (t *Table) Check(now time.Duration, r admission.Request) admission.Decision {
	if !nearRefusal(r) || !t.delaysOthers(now, r.Customer, r.Deep) {
		return admission.Decision{}
	}
	return admission.Decision{Refuse: true, Reason: admission.ShareExceeded, RetryAfter: t.retryAfter(now, r.Customer)}
}

// nearRefusal reports whether a request has waited for its target, or may reach the end of its hold time
// before it is checked again.
func nearRefusal(r admission.Request) bool {
	return r.FirstTarget > 0 && r.Waited >= r.FirstTarget || r.Waited+maxRecheckInterval >= r.MaxHold
}

// retryAfter is the time after which the customer's usage has decayed to its share.
func (t *Table) retryAfter(now time.Duration, customer uint32) time.Duration {
	used := t.total[customer].value(now)
	wait := time.Duration(math.Log(max(1, used/max(t.shares.level, minUsage.Seconds()))) * float64(UsageTimeConstant))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// TakeChanges returns what changed since the last call.
func (t *Table) TakeChanges(now time.Duration) (out []Change) {
	t.refresh(now)
	s := &t.shares
	change := func(customer uint32, over bool) {
		out = append(out, Change{customer, over, duration(t.total[customer].value(now)), duration(s.level)})
	}
	for c := range s.over {
		if !s.announced[c] && (t.delaysOthers(now, c, true) || t.delaysOthers(now, c, false)) {
			s.announced[c] = true
			change(c, true)
		}
	}
	for c := range s.announced {
		if !s.over[c] {
			delete(s.announced, c)
			change(c, false)
		}
	}
	return out
}

// Status is the usage of one customer.
type Status struct {
	Usage
	Share time.Duration
	Over  bool
	// Waiting counts its requests that this instance holds.
	Waiting int
}

// Status returns the customers by usage, the most first.
func (t *Table) Status(now time.Duration) []Status {
	t.refresh(now)
	var all []Usage
	for c, a := range t.total {
		all = append(all, Usage{c, duration(a.value(now))})
	}
	sortByUsage(all)
	out := make([]Status, len(all))
	for i, u := range all {
		waiting := t.deep[u.Customer] + t.forSlot[u.Customer]
		out[i] = Status{Usage: u, Share: duration(t.shares.level), Over: t.shares.over[u.Customer], Waiting: waiting}
	}
	return out
}

func sortByUsage(all []Usage) {
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Prefill, a.Prefill), cmp.Compare(a.Customer, b.Customer))
	})
}
