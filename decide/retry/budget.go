// Package retry bounds retries by a share of recent successes, so that a
// failing fleet is not loaded further by its own retries.
package retry

import (
	"math/rand/v2"
	"time"
)

// maxTokens bounds the retries saved up; a fresh budget starts full so that a
// first failure can be retried.
const maxTokens = 10

// Budget is a token bucket filled by successes. It is not safe for concurrent
// use.
type Budget struct {
	share  float64
	tokens float64
	denied uint64
}

// NewBudget returns a budget that allows share retries per success.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: maxTokens} }

// SetShare replaces the retries allowed per success; what is saved up stays.
func (b *Budget) SetShare(share float64) { b.share = share }

// Success credits the budget.
func (b *Budget) Success() { b.tokens = min(maxTokens, b.tokens+b.share) }

// Take spends one retry if the budget allows it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// Denied counts the retries refused.
func (b *Budget) Denied() uint64 { return b.denied }

// Backoff returns a delay drawn from [base/2, base] × 2^n, at most limit.
// Drawing it keeps clients that failed together from retrying together.
func Backoff(r *rand.Rand, base, limit time.Duration, n int) time.Duration {
	d := min(base<<min(n, 20), limit)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
