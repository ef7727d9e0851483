package spread

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Deep prompts queue at the instance, not at the engines. An engine prefills the
// part that came last first, so during a burst each prompt that is sent delays all
// those being prefilled, and many are slightly late. In the instance's queue the
// smaller ones go first, which raised the value kept from 0.88 to 0.90.
const (
	// holdBacklog is the mean unconfirmed prefill of the engines above which a prompt of
	// holdReferenceTokens waits. 20 ms lost 0.01 of the value of all requests, 300 ms was
	// no better, and 450 ms slightly worse.
	holdBacklog         = 200 * time.Millisecond
	holdReferenceTokens = 154_000
)

// holdReason returns the mean unconfirmed prefill of the engines and why the prompt must
// wait, or NoReason. The limit is higher for smaller prompts, so that they pass
// larger ones that wait at other instances.
func (c *chooser) holdReason(servers []backends.Server) (time.Duration, Reason) {
	if !c.deep() || c.req.Waited >= c.req.MaxHold || c.exceedsEngine() && c.late() {
		return 0, NoReason
	}
	unconfirmed := UnconfirmedPrefill(servers, c.load)
	if c.req.MustWait {
		return unconfirmed, ForTurn
	}
	limit := holdBacklog * holdReferenceTokens / time.Duration(weight(c.engine, c.req.Prompt))
	limit += time.Duration(float64(limit) * c.waitedShare())
	if unconfirmed > limit {
		return unconfirmed, ForPrefill
	}
	return unconfirmed, NoReason
}

// waitedShare is the wait so far, in units of the target for the first event. The backlog
// that a prompt accepts grows with it; otherwise a prompt could stay at the head of the
// queue until it is late. Four times as much growth cost up to 0.04 of the value of all
// requests.
func (c *chooser) waitedShare() float64 {
	if c.req.FirstTarget <= 0 {
		return 0
	}
	return float64(c.req.Waited) / float64(c.req.FirstTarget)
}

// weight is the length in tokens by which a prompt is queued. A prompt larger than an
// engine counts as one that just fits. By their whole length the largest always came last,
// and 0.70 instead of 0.79 of the largest tenth were answered.
func weight(e *route.Engine, prompt int64) int64 { return max(1, min(prompt, usable(e))) }

// exceedsEngine reports whether the prompt is larger than an engine's memory. Such a
// prompt is refused as soon as it is late: it takes all engines for a second or two and
// makes others late.
func (c *chooser) exceedsEngine() bool {
	return c.neededMemory() > usable(c.engine)
}

func (c *chooser) late() bool {
	return c.req.FirstTarget > 0 && c.req.Waited > lateAfter(c.engine, c.req.Prompt, c.req.FirstTarget)
}

// minAnswerShare is the assumed minimum length of an answer as a share of the usual
// length. Answers to deep prompts have about half of the mean length.
const minAnswerShare = 0.5

// cannotFinish reports whether the answer to a deep prompt cannot be complete before its
// caller's timeout, even if as many engines as can share the prompt prefill it and an idle
// one decodes it. Clients that reconnect come back with what is left of their time; the
// prefill of their prompts would delay all others for nothing.
func (c *chooser) cannotFinish() bool {
	if c.req.TimeLeft <= 0 || c.req.MaxHold <= 0 || !c.deep() {
		return false
	}
	soloPass := PassTime(c.engine, Load{Calls: 1, HeldTokens: c.req.Prompt / (maxHelpers + 1)})
	passes := minAnswerShare * float64(c.req.Answer) / float64(max(1, c.engine.StepsPerPass))
	return c.partPrefill(maxHelpers)+time.Duration(passes*float64(soloPass)) > c.req.TimeLeft
}

// Bounds of the time for which a request is held, in targets for the first event and
// as a share of the client's timeout. Clients abandon a stream without an event after
// four targets. Two instead of three targets lost 0.005 of the value.
const (
	maxHoldTargets = 3
	maxHoldShare   = 0.6
)

// MaxHold is how long a request may be held back whose first event is due within target
// and whose client waits for limit.
func MaxHold(target, limit time.Duration) time.Duration {
	return min(maxHoldTargets*target, time.Duration(maxHoldShare*float64(limit)))
}
