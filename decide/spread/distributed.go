package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// placeDistributed places a prompt that fits in no single engine: the engine with the most
// free memory decodes and holds what it can, helpers reserve memory for the rest.
//
// The prefill occupies all engines for a second or two, so it must bring the first event
// in time and cost the answers in progress less than the prompt is worth. It does not also
// wait for idle engines: then most of these prompts were refused during bursts, and 0.85
// instead of 0.90 of the value of all requests was kept.
//
// Engines that are tried again come last.
func (c *chooser) placeDistributed(servers, triedAgain []backends.Server) (Plan, Verdict) {
	all := slices.Concat(c.byFreeMemory(servers), c.byFreeMemory(triedAgain))
	if len(all) == 0 {
		return c.refuseWithoutServers()
	}
	if ExceedsFleet(c.engine, c.req.FleetSize, c.req.Prompt, c.req.Answer) {
		return Plan{}, TooLarge
	}
	refused := Plan{Backlog: Backlog(all, c.load), MaxFreeMemory: c.freeMemory(all[0])}
	left := c.neededMemory()
	var holders []backends.Server
	for _, s := range all {
		if left <= 0 || c.freeMemory(s) < minReserve {
			break
		}
		holders = append(holders, s)
		left -= c.freeMemory(s)
	}
	if left > 0 || len(holders) < 2 || len(holders) > maxHelpers {
		return c.holdOrReject(refused, ForMemory)
	}
	p := c.planDistributed(holders, servers)
	if c.planHarm(p) > value(c.req.Prompt) {
		return c.holdOrReject(refused, ForHarm)
	}
	if c.req.FirstTarget > 0 && c.req.Waited+p.FirstEvent > c.req.FirstTarget {
		return c.holdOrReject(refused, ForTime)
	}
	return p, Placed
}

func (c *chooser) byFreeMemory(servers []backends.Server) []backends.Server {
	return slices.SortedStableFunc(slices.Values(servers), func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(c.freeMemory(b), c.freeMemory(a)), c.compareIDs(a, b))
	})
}

// tryAgainAfter is how long a prompt is held before it tries engines again that failed it: a
// peer's report of the work that took their memory arrives in about 4 ms.
const tryAgainAfter = 20 * time.Millisecond

// triedAgain returns the engines among all that failed the request and may be tried again. A
// reservation fails by one lost order, and its writer, which was asked for nothing, is avoided
// with the helper: of three engines, each empty, one is left for a prompt that needs two.
func (c *chooser) triedAgain(all, others []backends.Server) []backends.Server {
	if !c.lacksEngines(others) || c.req.Waited < tryAgainAfter || c.req.Waited >= c.req.MaxHold {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(s backends.Server) bool { return !slices.Contains(c.req.Avoid, s.ID) })
}

// lacksEngines reports whether a prompt larger than an engine could not be placed on the given
// engines alone, even if they were empty, because others failed the request.
func (c *chooser) lacksEngines(others []backends.Server) bool {
	return len(c.req.Avoid) > 0 && c.exceedsEngine() && c.neededMemory() > usable(c.engine)*int64(len(others))
}

// refuseWithoutServers refuses a request that has no engine left, unless it may try again those
// that failed it.
func (c *chooser) refuseWithoutServers() (Plan, Verdict) {
	if c.lacksEngines(nil) && c.req.Waited < min(c.req.MaxHold, tryAgainAfter) {
		return Plan{Reason: ForMemory}, Hold
	}
	return Plan{}, NoServer
}

// holdOrReject holds back a prompt for which there is no room, as long as its first event
// could still come in time from idle engines, and then rejects it so that the client can
// retry. When such prompts were held until the client gave up, most were refused after 9 s
// or answered late, and delayed all other requests.
func (c *chooser) holdOrReject(p Plan, why Reason) (Plan, Verdict) {
	p.Reason = why
	if c.req.Waited < c.req.MaxHold && !c.late() {
		return p, Hold
	}
	return p, Overloaded
}

// ExceedsFleet reports whether a prompt and its answer need more memory than the servers of a service can
// hold together. They include servers that the request avoids and those out of rotation: a prompt too
// large only for the remaining ones is rejected for now, not for good.
func ExceedsFleet(e *route.Engine, servers int, prompt, answer int64) bool {
	return prompt+answer > usable(e)*int64(min(servers, maxHelpers+1))
}

// minReserve is the least memory in tokens worth reserving on an engine.
const minReserve = 16_000

// planDistributed plans a prompt whose memory is divided evenly between holders, each up
// to its free memory. Other servers may help with the prefill.
func (c *chooser) planDistributed(holders, servers []backends.Server) Plan {
	helpers := c.cheapestGroup(servers, holders[0]).helpers
	helpers = slices.DeleteFunc(helpers, func(s backends.Server) bool {
		return slices.ContainsFunc(holders, func(h backends.Server) bool { return h.ID == s.ID })
	})
	helpers = slices.Concat(holders[1:], helpers)
	p := c.plan(holders[0], helpers[:min(len(helpers), maxHelpers)])
	left := c.req.Prompt
	for i := len(holders) - 1; i > 0; i-- {
		even := (left + int64(i)) / int64(i+1)
		share := min(even, c.freeMemory(holders[i]))
		p.Parts[i].Reserve, p.Parts[i].Load.HeldTokens = share, share
		left -= share
	}
	p.Parts[0].Load.HeldTokens = left + c.req.Answer
	return p
}
