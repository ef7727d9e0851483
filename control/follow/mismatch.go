package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// There is one list of servers at each position of the store. Gossip names the position and the digest of
// the sender's list, so an instance that holds another list at that position learns that one of the two is
// wrong. It cannot tell which, so both are verified: compared with the store's whole list, which instances
// that watch the store read for the others.

const (
	// verifyInterval is the time between two attempts to verify the list, and what an instance waits for
	// a verified list that it requested. It doubles with each call that fails, up to maxVerifyInterval.
	verifyInterval, maxVerifyInterval = 300 * time.Millisecond, 3 * time.Second
	// verifyJitter spreads the reads of instances that contradict each other.
	verifyJitter = 100 * time.Millisecond
	// verifyRequests is the number of instances that are asked for a verified list before this instance
	// reads the store itself.
	verifyRequests = 2
	// Contradictions are ignored for a while after the list was found right twice within verifyAgain: a peer
	// that goes on to contradict it may be of a version that has other digests.
	minVerifyPause, maxVerifyPause = 500 * time.Millisecond, 30 * time.Second
	verifyAgain                    = 2 * time.Second
)

// verification is the state of verifying the list of servers. It is guarded by the mutex of the Follower.
type verification struct {
	// contradicted is set while the list is to be verified, at is the position at which it was contradicted
	// and digest that of the list.
	contradicted bool
	at           position.Position
	digest       uint64
	// requests counts the instances asked since then.
	requests int
	// waiting are the instances that requested a verified list.
	waiting map[string]bool
	// history are the lists held last.
	history backends.History
	// rightAt is when the list was last found right, pause how long contradictions are ignored since the
	// last verification, until pausedUntil.
	rightAt, pause, pausedUntil time.Duration
}

// setPause sets how long contradictions are ignored after the list was verified: longer each time if it was
// right and is contradicted again and again.
func (v *verification) setPause(now time.Duration, right bool) {
	if again := now-v.rightAt < v.pause+verifyAgain; right && again {
		v.pause = min(max(minVerifyPause, 2*v.pause), maxVerifyPause)
	} else {
		v.pause = 0
	}
	if right {
		v.rightAt = now
	}
	v.pausedUntil = now + v.pause
}

// compareServers has the local list of servers verified if a peer held another one at a position at which
// this instance is or was a short time ago.
func (f *Follower) compareServers(peer string, at position.Position, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, v := f.servers.Load(), &f.verification
	switch {
	case s == nil || at.Revision == unknownRevision || !v.history.Contradicts(at, digest):
		return
	case v.at == s.At && v.digest == s.Digest || f.now() < v.pausedUntil || f.serverSet.InGracePeriod():
		return
	}
	v.contradicted, v.at, v.digest, v.requests = true, s.At, s.Digest, 0
	f.scope.Counter("servers_mismatches_total").Inc(1)
	f.log.Warn("list of backend servers differs from that of another instance at the same position", zap.String("peer", peer),
		zap.Stringer("at", at), zap.Int("servers", s.Len()), digestField(s.Digest), zap.Stringer("held_at", s.At), zap.String("peer_digest", formatDigest(digest)))
	wake(f.verifyDue)
}

// verifyServers verifies the list of servers while it is contradicted, or while other instances wait for
// a verified one.
func (f *Follower) verifyServers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.verifyDue:
		}
		for interval := verifyInterval; f.mustVerify(); {
			if err := f.verifyOnce(ctx); err == nil {
				interval = verifyInterval
			} else {
				f.log.Info("list of backend servers not verified", eventlog.Error(err))
				interval = min(2*interval, maxVerifyInterval)
			}
			if !wait.For(ctx, interval+rand.N(verifyJitter)) {
				return
			}
		}
	}
}

func (f *Follower) mustVerify() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verification.contradicted || len(f.verification.waiting) > 0
}

// verifyOnce reads the store if this instance watches it or others wait, and asks one that does otherwise.
func (f *Follower) verifyOnce(ctx context.Context) error {
	f.mu.Lock()
	asked, waiting := f.verification.requests, len(f.verification.waiting)
	f.verification.requests++
	f.mu.Unlock()
	if waiting == 0 && asked < verifyRequests && !f.watchIsCurrent() {
		if peer := f.verifierOf(asked); peer != "" {
			f.sendServersRequest(peer, true)
			return nil
		}
	}
	return f.readVerified(ctx)
}

// verifierOf returns the instance to ask for a verified list in an attempt, or "" if there is none.
func (f *Follower) verifierOf(attempt int) string {
	st := f.members.Standing()
	watchers := st.Order[:min(st.Watchers, len(st.Order))]
	if len(watchers) == 0 {
		return ""
	}
	if peer := watchers[attempt%len(watchers)]; peer != f.name {
		return peer
	}
	return ""
}

// watchIsCurrent reports whether this instance watches the store, which answered a short time ago: it learns
// of all changes itself.
func (f *Follower) watchIsCurrent() bool {
	if !f.hasWatchDuty(watch.Servers) || f.serversFailing.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.answeredAt[watch.Servers]
	return at > 0 && f.now()-at <= f.Wait.Std()+watchSlack
}

// readVerified compares the list with the whole one of the store, and sends it to the instances that wait
// for that. If the local list has moved on meanwhile, they go on waiting.
func (f *Follower) readVerified(ctx context.Context) error {
	f.mu.Lock()
	waiting := slices.Collect(maps.Keys(f.verification.waiting))
	f.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l, err := f.catalog.Servers(callCtx, false)
	f.handleNewEra()
	if err != nil {
		return err
	}
	u := f.applyVerified("store", l)
	if u.after == nil {
		return nil
	}
	reply := f.fullReply(u.after)
	reply.Verified = true
	f.sendServers(waiting, reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range waiting {
		delete(f.verification.waiting, peer)
	}
	return nil
}

// applyVerified adopts a list that was read from the store after the local one was contradicted, and
// reports what that changed.
func (f *Follower) applyVerified(from string, l catalog.Servers) serversUpdate {
	u := f.updateServers(from, func(now time.Duration) bool { return f.serverSet.Replace(now, l.Servers, l.At) })
	if u.after == nil {
		return u
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &f.verification
	if !v.contradicted || l.At.Before(v.at) {
		return u
	}
	v.contradicted = false
	right := u.before != nil && u.before.Digest == u.after.Digest
	v.setPause(f.now(), right)
	if !right {
		f.scope.Counter("servers_repaired_total").Inc(1)
		v.history = backends.History{}
		v.history.Record(u.after)
	}
	f.log.Info("list of backend servers verified", zap.String("from", from), zap.Stringer("at", l.At), zap.Bool("was_right", right), digestField(u.after.Digest))
	return u
}

// receiveServersRequest sends the list to an instance that has an older one, or has it verified first.
func (f *Follower) receiveServersRequest(from string, r *peerpb.ServersRequest) {
	if !r.Verified {
		f.sendServersIfNewer(from, position.Position{Era: r.HaveEra, Revision: r.HaveRevision})
		return
	}
	f.mu.Lock()
	if f.verification.waiting == nil {
		f.verification.waiting = map[string]bool{}
	}
	f.verification.waiting[from] = true
	f.mu.Unlock()
	wake(f.verifyDue)
}
