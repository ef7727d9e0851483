package claim

import (
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// Times of what is told again.
const (
	// copyAge is the most that the store may have lost.
	copyAge = time.Minute
	// retellFor is how long an instance tells of its claims after a new era: a ledger
	// whose owner ended with the store's last era gets a new one only once the members
	// have noticed.
	retellFor, retellEvery = 15 * time.Second, time.Second
	// mostGranted bounds the claims that an instance remembers for that.
	mostGranted = 4096
)

// Granted keeps the claims that were granted to one instance, to tell of them when the
// store may have lost them.
type Granted struct {
	claims []granted
	era    uint64
	until  time.Duration
	nextAt time.Duration
}

type granted struct {
	claim *peerpb.Reclaim
	at    time.Duration
}

// Add notes a claim that was granted.
func (g *Granted) Add(now time.Duration, c *peerpb.Claim) {
	for len(g.claims) > 0 && (now-g.claims[0].at > copyAge || len(g.claims) >= mostGranted) {
		g.claims = g.claims[1:]
	}
	r := &peerpb.Reclaim{Customer: c.Customer, Key: c.Key, BodyHash: c.BodyHash, RequestId: c.RequestId}
	g.claims = append(g.claims, granted{r, now})
}

// Due returns the claims to tell the owners of their ledgers of now, given the store's
// newest era that is known of.
func (g *Granted) Due(now time.Duration, era uint64) []*peerpb.Reclaim {
	if era > g.era {
		if g.era > 0 {
			g.until, g.nextAt = now+retellFor, now
		}
		g.era = era
	}
	if now >= g.until || now < g.nextAt {
		return nil
	}
	g.nextAt = now + retellEvery
	var out []*peerpb.Reclaim
	for _, c := range g.claims {
		if now-c.at <= copyAge+retellFor {
			out = append(out, c.claim)
		}
	}
	return out
}
