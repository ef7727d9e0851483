package claim

import (
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// Limits for repeating claims after the store was restored from an older copy.
const (
	// maxCopyAge is the maximum age of the copy, and so of the writes that the store may
	// have lost.
	maxCopyAge = time.Minute
	// An instance repeats its claims every reclaimInterval for reclaimPeriod. A ledger
	// whose owner fails together with the store gets a new owner only after the members
	// have detected the failure.
	reclaimPeriod, reclaimInterval = 15 * time.Second, time.Second
	// maxGrantedClaims bounds the claims that an instance remembers.
	maxGrantedClaims = 4096
)

// GrantLog remembers the recent claims that were granted to one instance, so that they can
// be repeated to the ledgers' owners when the store may have lost them.
type GrantLog struct {
	claims      []grantedClaim
	era         uint64
	resendUntil time.Duration
	resendAt    time.Duration
}

type grantedClaim struct {
	claim *peerpb.Reclaim
	at    time.Duration
}

// Add records a granted claim.
func (g *GrantLog) Add(now time.Duration, c *peerpb.Claim) {
	for len(g.claims) > 0 && (now-g.claims[0].at > maxCopyAge || len(g.claims) >= maxGrantedClaims) {
		g.claims = g.claims[1:]
	}
	r := &peerpb.Reclaim{Customer: c.Customer, Key: c.Key, BodyHash: c.BodyHash, RequestId: c.RequestId}
	g.claims = append(g.claims, grantedClaim{r, now})
}

// NextReclaims returns the claims to repeat to the owners of their ledgers now, given the
// newest known era of the store.
func (g *GrantLog) NextReclaims(now time.Duration, era uint64) []*peerpb.Reclaim {
	if era > g.era {
		if g.era > 0 {
			g.resendUntil, g.resendAt = now+reclaimPeriod, now
		}
		g.era = era
	}
	if now >= g.resendUntil || now < g.resendAt {
		return nil
	}
	g.resendAt = now + reclaimInterval
	var out []*peerpb.Reclaim
	for _, c := range g.claims {
		if now-c.at <= maxCopyAge+reclaimPeriod {
			out = append(out, c.claim)
		}
	}
	return out
}
