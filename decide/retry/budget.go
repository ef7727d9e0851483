// Package retry limits retries to a share of recent successes or requests, so that the
// retries of a failing fleet do not add to its overload.
package retry

import (
	"math/rand/v2"
	"time"
)

// maxTokens bounds the saved retries. A new budget starts full so that the first failure
// can be retried.
const maxTokens = 10

// Budget is a token bucket that is filled by successes. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
	denied uint64
}

// NewBudget returns a budget that allows share retries per success.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: maxTokens} }

// SetShare sets the retries allowed per success; the saved retries stay.
func (b *Budget) SetShare(share float64) { b.share = share }

// AddSuccess credits the budget for one success.
func (b *Budget) AddSuccess() { b.tokens = min(maxTokens, b.tokens+b.share) }

// Take takes one retry from the budget if it allows one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// Denied returns the number of denied retries.
func (b *Budget) Denied() uint64 { return b.denied }

// Backoff returns a random delay from [base/2, base] × 2^n, at most limit. The jitter keeps
// clients that failed together from retrying together.
func Backoff(r *rand.Rand, base, limit time.Duration, n int) time.Duration {
	d := min(base<<min(n, 20), limit)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
