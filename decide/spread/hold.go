package spread

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Deep prompts wait for their turn at the instance, not at the engines. An
// engine reads the part that came last first, so during a burst each prompt
// that is sent pushes back all those that are being read, and many are late by
// a little. Held back, the smaller ones of those that wait go first. Over five
// loads (0.5 to 1.45 times the sheets' rates, 24 seeds in virtual time) 0.90 of
// the value of all requests is kept with that, 0.88 without.
const (
	// holdBacklog is the reading that the engines have before them on the mean,
	// as first events confirm it, above which a prompt of holdTokens waits. 20 ms
	// kept 0.01 less, 300 ms the same, 450 ms slightly less.
	holdBacklog = 200 * time.Millisecond
	holdTokens  = 154_000
)

// held tells why a prompt is to wait until the engines have read more of what they
// have, and how much that is on the mean. Smaller prompts go at a higher backlog, so
// that they pass larger ones that wait at other instances.
func (c *chooser) held(servers []backends.Server) (time.Duration, Reason) {
	if !c.deep() || c.req.Waited >= c.req.Patience || c.huge() && c.late() {
		return 0, NoReason
	}
	unread := Unread(servers, c.load)
	if c.req.Behind {
		return unread, ForTurn
	}
	limit := holdBacklog * holdTokens / time.Duration(weight(c.engine, c.req.Prompt))
	limit += time.Duration(float64(limit) * c.waitedShare())
	if unread > limit {
		return unread, ForReading
	}
	return unread, NoReason
}

// waitedShare is the wait so far in useful times to the first event. The reading that
// a prompt puts up with grows by it: one whose turn it is must not stand at the front
// until it is late. Of the largest tenth on 60 engines 0.45 were answered without,
// 0.50 with it, 0.51 and 0.50 with two and four times as much, which cost up to 0.01
// and 0.04 of the score of five loads (six and eight seeds in virtual time).
func (c *chooser) waitedShare() float64 {
	if c.req.Useful <= 0 {
		return 0
	}
	return float64(c.req.Waited) / float64(c.req.Useful)
}

// weight is the length in tokens by which a prompt waits. One that is larger than an
// engine counts as one that just fits; by their whole length the largest always came
// last. Of the largest tenth on 69 and 60 engines 0.70 and 0.35 were answered by length,
// 0.79 and 0.48 by weight; score 0.863 and 0.786, 0.868 and 0.779 (eight and sixteen
// seeds in virtual time).
func weight(e *route.Engine, prompt int64) int64 { return max(1, min(prompt, usable(e))) }

// huge reports whether no engine has the memory for a prompt. Late, it is refused
// at once: it takes all engines for a second or two and makes others late.
func (c *chooser) huge() bool {
	return c.need() > usable(c.engine)
}

func (c *chooser) late() bool {
	return c.req.Useful > 0 && c.req.Waited > lateAfter(c.engine, c.req.Prompt, c.req.Useful)
}

// leastAnswer is the share of a usual answer that is written at least. Answers to
// deep prompts have about half of the mean length.
const leastAnswer = 0.5

// hopeless reports whether the answer of a deep prompt cannot be whole while its
// caller waits, read by as many engines as can share it and written by an engine
// that does nothing else. Clients that lost their connection come back with what
// is left of their time; reading their prompts delays all others for nothing.
func (c *chooser) hopeless() bool {
	if c.req.Left <= 0 || c.req.Patience <= 0 || !c.deep() {
		return false
	}
	alone := Pass(c.engine, Load{Calls: 1, HeldTokens: c.req.Prompt / (maxHelpers + 1)})
	passes := leastAnswer * float64(c.req.Answer) / float64(max(1, c.engine.Stride))
	return c.readTime(maxHelpers)+time.Duration(passes*float64(alone)) > c.req.Left
}

// Bounds of the patience. Clients give a stream up that has no event after four
// times the useful time; 6 s instead of 9 kept 0.005 less of the value.
const (
	patienceFirsts = 3
	patienceShare  = 0.6
)

// Patience is how long a request may be held back whose first event is useful
// within first and whose client waits for limit.
func Patience(first, limit time.Duration) time.Duration {
	return min(patienceFirsts*first, time.Duration(patienceShare*float64(limit)))
}
