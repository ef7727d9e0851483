// Package warmup bounds the requests that the instances of a fleet send to cold servers: servers
// that have just started and crash if they get more than a few requests per second. Each instance
// decides on its own how many of them it may send, so that the sum stays within the rate whether or
// not the instances can reach each other.
package warmup

import (
	"math/bits"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/internal/digest"
)

const (
	// Window is the sliding window in which an instance stays within its quota. It is a second
	// and a margin: requests that are sent a second apart may arrive closer together.
	Window = time.Second + 100*time.Millisecond
	// SettleTime is the time from its start in which an instance sends nothing to cold servers:
	// instances that start together know of each other by then, and what the process before it
	// sent is out of the window.
	SettleTime = 2500 * time.Millisecond
)

// Server identifies one incarnation of a server.
type Server struct {
	ID   string
	Life backends.Life
}

// offset places the beginning of the larger quotas for a server among size ranks.
func (s Server) offset(size int) int {
	var d digest.Fields
	d.Reset()
	d.AddText(s.ID)
	d.AddNumbers(uint64(s.Life))
	// Scaling the hash instead of taking its remainder moves the offset by one at most when the
	// size changes by one, so that instances with different rosters assign nearly the same quotas.
	hi, _ := bits.Mul64(d.Sum64(), uint64(size))
	return int(hi)
}

// Quota returns how many requests this instance may send to a cold server in any second, so that all
// instances together send no more than perSecond. All quotas are equal but for a remainder: one more
// for a block of ranks that depends on the server. The rate is rounded down, so that a rate below one
// sends cold servers nothing. now is the time since the start of this instance.
func Quota(now time.Duration, s Server, perSecond float64, fleet member.Roster) int {
	if now < SettleTime || fleet.Incomplete || fleet.Size <= 0 || perSecond < 1 {
		return 0
	}
	whole := int(perSecond)
	quota, remainder := whole/fleet.Size, whole%fleet.Size
	if (fleet.Rank-s.offset(fleet.Size)+fleet.Size)%fleet.Size < remainder {
		quota++
	}
	return quota
}

// Limiter keeps the requests that this instance sent to cold servers within the last Window. It is
// not safe for concurrent use.
type Limiter struct {
	sends map[Server][]*Send
	// swept is when servers without sends were last removed.
	swept time.Duration
}

// Send is one request to a cold server that counts against the quota.
type Send struct {
	server Server
	// at is when the request was sent; pending is set until then.
	at      time.Duration
	pending bool
}

// NewLimiter returns a limiter without sends.
func NewLimiter() *Limiter { return &Limiter{sends: map[Server][]*Send{}} }

// Allows reports whether a further request may be sent to a server now.
func (l *Limiter) Allows(now time.Duration, s Server, quota int) bool {
	return quota > 0 && len(l.expire(now, s)) < quota
}

// Take counts a request that is about to be sent, if the quota allows it, and returns nil otherwise.
// Sent or Return must be called for it.
func (l *Limiter) Take(now time.Duration, s Server, quota int) *Send {
	if !l.Allows(now, s, quota) {
		return nil
	}
	l.sweep(now)
	v := &Send{server: s, at: now, pending: true}
	l.sends[s] = append(l.sends[s], v)
	return v
}

// Sent records that a request is sent now. Its second counts from then on.
func (l *Limiter) Sent(now time.Duration, v *Send) {
	v.at, v.pending = now, false
}

// Return removes a request that does not count against the quota after all.
func (l *Limiter) Return(v *Send) {
	list := l.sends[v.server]
	for i, other := range list {
		if other == v {
			l.store(v.server, append(list[:i:i], list[i+1:]...))
			return
		}
	}
}

// NextFree returns the time until a further request may be sent to a server: zero if it may be sent
// now, and Window if the quota is zero or all requests that count are still to be sent.
func (l *Limiter) NextFree(now time.Duration, s Server, quota int) time.Duration {
	list := l.expire(now, s)
	if quota > 0 && len(list) < quota {
		return 0
	}
	next := Window
	for _, v := range list {
		if quota > 0 && !v.pending {
			next = min(next, v.at+Window-now)
		}
	}
	return next
}

// expire removes the sends to a server that are out of the window and returns the others.
func (l *Limiter) expire(now time.Duration, s Server) []*Send {
	list := l.sends[s]
	kept := list[:0]
	for _, v := range list {
		if v.pending || now-v.at <= Window {
			kept = append(kept, v)
		}
	}
	clear(list[len(kept):])
	l.store(s, kept)
	return kept
}

func (l *Limiter) store(s Server, list []*Send) {
	if len(list) == 0 {
		delete(l.sends, s)
		return
	}
	l.sends[s] = list
}

// sweep removes the servers that got no request within the window, once in each window.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.swept < Window {
		return
	}
	l.swept = now
	for s := range l.sends {
		l.expire(now, s)
	}
}
