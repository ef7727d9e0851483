package follow

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

// behindTimeout is how long an instance waits for a newer list of servers that another one announced, two
// requests included, before it reads the changes from the store itself: those that have it may not be
// reachable, though they are heard.
const behindTimeout = 2*peerRequestDelay + 100*time.Millisecond

// lag is the newest list of servers that other instances announced and this one lacks. It is guarded by the
// mutex of the Follower.
type lag struct {
	at position.Position
	// since is when that was first announced, or when the local list last moved on.
	since time.Duration
}

// announce records that another instance announced a newer list.
func (l *lag) announce(now time.Duration, held, at position.Position) {
	if !held.Before(l.at) {
		l.since = now
	}
	l.at = position.Later(l.at, at)
}

// moveOn records that the local list moved on.
func (l *lag) moveOn(now time.Duration) { l.since = now }

// exceeds reports whether the local list has stayed behind for longer than a time.
func (l *lag) exceeds(now time.Duration, held position.Position, d time.Duration) bool {
	return held.Before(l.at) && now-l.since >= d
}

// noteBehind records that another instance announced a newer list of servers.
func (f *Follower) noteBehind(at position.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.announce(f.now(), f.serversAt(), at)
}

// isBehind reports whether a newer list of servers does not arrive. The caller holds f.mu.
func (f *Follower) isBehind(now time.Duration) bool {
	return f.lag.exceeds(now, f.serversAt(), behindTimeout)
}
