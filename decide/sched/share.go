package sched

import (
	"math"
	"time"
)

// shareMemory is the time constant over which use is remembered.
const shareMemory = 10 * time.Second

// shareFloor is the use below which a customer counts as inactive and is
// forgotten, so memory is bounded by the active customers.
const shareFloor = 1.0

type use struct {
	customer string
	tokens   float64
	weight   float64
	at       time.Duration
}

// shareBook tracks each active customer's recent use of one engine. Requests
// are spread over engines at random, so holding the share on every engine
// holds it over the fleet, without a central counter.
type shareBook struct {
	customers map[string]*use
	// order makes sums of floating-point numbers independent of map order.
	order []*use
}

func newShareBook() shareBook { return shareBook{customers: map[string]*use{}} }

func (u *use) decayed(now time.Duration) float64 {
	return u.tokens * math.Exp(-float64(now-u.at)/float64(shareMemory))
}

func (b *shareBook) charge(now time.Duration, customer string, weight int64, tokens int64) {
	u := b.customers[customer]
	if u == nil {
		u = &use{customer: customer}
		b.customers[customer] = u
		b.order = append(b.order, u)
	}
	u.tokens = max(u.decayed(now), 0) + float64(tokens)
	u.at = now
	u.weight = float64(max(weight, 1))
}

// excess returns by how much the customer's part of the recent use exceeds its
// fair part, between 0 and 1; alone on the engine nobody exceeds.
func (b *shareBook) excess(now time.Duration, customer string, weight int64) float64 {
	total, weights := 0.0, 0.0
	kept := b.order[:0]
	for _, u := range b.order {
		t := u.decayed(now)
		if t < shareFloor && u.customer != customer {
			delete(b.customers, u.customer)
			continue
		}
		kept = append(kept, u)
		total += t
		weights += u.weight
	}
	b.order = kept
	u := b.customers[customer]
	if u == nil || total == 0 || len(b.customers) < 2 {
		return 0
	}
	fair := float64(max(weight, 1)) / weights
	return max(0, u.decayed(now)/total-fair)
}
