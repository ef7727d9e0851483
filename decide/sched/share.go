package sched

import (
	"math"
	"time"
)

// usageTimeConstant is the time constant of the exponential decay of usage.
const usageTimeConstant = 10 * time.Second

// minActiveUsage is the usage in tokens below which a customer is inactive and
// removed, so that memory is bounded by the number of active customers.
const minActiveUsage = 1.0

type customerUsage struct {
	customer  string
	tokens    float64
	weight    float64
	updatedAt time.Duration
}

// usageTracker tracks the recent usage of one engine per customer. Requests are
// spread over engines at random, so enforcing shares on every engine enforces
// them in the whole fleet without a central counter.
type usageTracker struct {
	customers map[string]*customerUsage
	// order makes floating-point sums independent of the map's iteration order.
	order []*customerUsage
}

func newUsageTracker() usageTracker { return usageTracker{customers: map[string]*customerUsage{}} }

func (u *customerUsage) decayed(now time.Duration) float64 {
	return u.tokens * math.Exp(-float64(now-u.updatedAt)/float64(usageTimeConstant))
}

func (t *usageTracker) charge(now time.Duration, customer string, weight int64, tokens int64) {
	u := t.customers[customer]
	if u == nil {
		u = &customerUsage{customer: customer}
		t.customers[customer] = u
		t.order = append(t.order, u)
	}
	u.tokens = max(u.decayed(now), 0) + float64(tokens)
	u.updatedAt = now
	u.weight = float64(max(weight, 1))
}

// excess returns by how much the customer's share of the recent usage exceeds its
// fair share, from 0 to 1. It is 0 for the only active customer.
func (t *usageTracker) excess(now time.Duration, customer string, weight int64) float64 {
	total, weights := 0.0, 0.0
	kept := t.order[:0]
	for _, u := range t.order {
		recent := u.decayed(now)
		if recent < minActiveUsage && u.customer != customer {
			delete(t.customers, u.customer)
			continue
		}
		kept = append(kept, u)
		total += recent
		weights += u.weight
	}
	t.order = kept
	u := t.customers[customer]
	if u == nil || total == 0 || len(t.customers) < 2 {
		return 0
	}
	fairShare := float64(max(weight, 1)) / weights
	return max(0, u.decayed(now)/total-fairShare)
}
