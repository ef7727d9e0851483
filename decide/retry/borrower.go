package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLenders is the number of instances that are asked for one retry, one after the other.
	maxLenders = 8
	// refusedPause is how long no retry is borrowed after none of them lent one: a fleet that has
	// used its budget would ask for each failed request otherwise.
	refusedPause = 100 * time.Millisecond
)

// Borrower decides which instances are asked for a retry when a process has used its own part
// of a shared budget. In a large fleet most parts are about one retry, and many instances have
// no request that needs it. A lent retry counts as made by its lender, which therefore keeps
// within its part; a reply that is lost costs one retry that nobody makes. The borrower makes it
// at once, within arrivalDelay.
//
// Times are those since the start of the process. A Borrower is not safe for concurrent use.
type Borrower struct {
	rand        *rand.Rand
	pausedUntil time.Duration
}

// NewBorrower returns a Borrower that draws lenders from r.
func NewBorrower(r *rand.Rand) *Borrower { return &Borrower{rand: r} }

// Lenders returns the indices of the instances to ask now, out of n, in this order.
func (b *Borrower) Lenders(now time.Duration, n int) []int {
	if now < b.pausedUntil {
		return nil
	}
	return b.rand.Perm(n)[:min(maxLenders, n)]
}

// RecordRefusal records that none of the instances asked lent a retry.
func (b *Borrower) RecordRefusal(now time.Duration) { b.pausedUntil = now + refusedPause }
