// Package admission decides whether a request that cannot be placed at once is held until servers have
// capacity for it, or refused. It is a chain of checks without I/O or clock.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CustomerKey is the hash of a customer's name in load reports, zero for no customer.
func CustomerKey(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(1, uint32(xxhash.Sum64String(name)))
}

// Request is a request that would be held.
type Request struct {
	// Customer is the CustomerKey of its customer.
	Customer uint32
	// Deep is set for prompts that queue at the instances (spread.Deep); others wait for a free slot.
	Deep bool
	// Waited is for how long it has been held, MaxHold for how long it may be.
	Waited, MaxHold time.Duration
	// FirstTarget is the target for the time to the first event; zero if there is none.
	FirstTarget time.Duration
}

// Reason is why a request is refused.
type Reason int

// The reasons.
const (
	// NoReason is that of a request that is not refused.
	NoReason Reason = iota
	// ShareExceeded: its customer uses more than its share while requests of others wait.
	ShareExceeded
)

// String returns the reason for logs and metrics.
func (r Reason) String() string {
	if r == ShareExceeded {
		return "share_exceeded"
	}
	return "none"
}

// Decision is the outcome of a check. The zero value holds the request.
type Decision struct {
	Refuse bool
	Reason Reason
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Check is one reason for which a request may be refused.
type Check interface {
	Check(now time.Duration, r Request) Decision
}

// Chain refuses a request that any of its checks refuses.
type Chain []Check

// Check returns the first refusal.
func (c Chain) Check(now time.Duration, r Request) Decision {
	for _, check := range c {
		if d := check.Check(now, r); d.Refuse {
			return d
		}
	}
	return Decision{}
}
