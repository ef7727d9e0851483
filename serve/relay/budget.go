package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/eventlog"
)

const (
	// fleetInterval is how often the instances that share the retry budgets are counted.
	fleetInterval = 500 * time.Millisecond
	// borrowTimeout bounds the search for an instance that lends a retry.
	borrowTimeout = 100 * time.Millisecond
)

// takeRetry spends one retry of this instance's part of the shared budget, or of another's.
func (r *Relay) takeRetry(ctx context.Context, service string) bool {
	if r.takeOwnRetry(service) || r.borrowRetry(ctx, service) {
		r.count("retries_total", "service", service)
		return true
	}
	r.count("retries_denied_total", "service", service)
	return false
}

func (r *Relay) takeOwnRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).Take(r.now())
}

// borrowRetry asks a few other instances, one after the other, for a retry.
func (r *Relay) borrowRetry(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	peers := r.members.Neighbours()
	r.mu.Lock()
	lenders := r.borrower.Lenders(r.now(), len(peers))
	r.mu.Unlock()
	for _, n := range lenders {
		lent, err := r.link.BorrowRetry(ctx, peers[n], service)
		if lent {
			r.count("retries_borrowed_total", "service", service)
			return true
		}
		if ctx.Err() != nil {
			r.log.Warn("no answer of the instances asked for a retry", zap.String("peer", peers[n]), eventlog.Error(err))
			break
		}
	}
	if len(lenders) > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.borrower.RecordRefusal(r.now())
	}
	return false
}

// LendRetry implements peerlink.RetryLender. A service that this instance does not know of has
// no part to lend.
func (r *Relay) LendRetry(service string) bool {
	t := r.catalog.Table()
	if t == nil {
		return false
	}
	if _, known := t.Service(service); !known || !r.takeOwnRetry(service) {
		return false
	}
	r.count("retries_lent_total", "service", service)
	return true
}

// retryBudget returns this instance's part of the shared budget; r.mu must be held.
func (r *Relay) retryBudget(service string) *retry.Shared {
	b := r.pool(service).retries
	b.SetFleet(r.retryFleet())
	if extra := b.ExtraShare(); extra != r.retryExtraShare {
		r.retryExtraShare = extra
		r.log.Info("share of the retry budget changed", zap.Int("instances", r.fleet.Size), zap.Int("extra", extra))
	}
	return b
}

// retryFleet returns the instances that share the retry budgets and the quotas of cold servers; r.mu
// must be held.
func (r *Relay) retryFleet() retry.Fleet {
	if now := r.now(); r.fleet.Size == 0 || now-r.fleetAt >= fleetInterval {
		roster := r.members.Roster(2 * r.RetryWindow.Std())
		r.fleet, r.fleetAt = retry.Fleet{Size: roster.Size, Rank: roster.Rank, Incomplete: roster.Incomplete}, now
	}
	return r.fleet
}
