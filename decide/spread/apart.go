package spread

import (
	"cmp"
	"slices"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// apart places a prompt for which no engine has memory: the engine with the
// most room writes and holds what it can, others reserve memory for the rest.
// Reading it keeps all engines busy for a second or two. That is worth it only
// if it comes in time and the answers in progress lose less than it is worth.
// It waits its turn behind smaller ones as all deep prompts do. As long as it had
// to wait for engines that were calm for seconds, most of these prompts were
// refused in bursts: mean of the whole value, the worst windows and the worst kind
// 0.85 on two loads with that wait, 0.90 and 0.89 without (16 seeds in virtual
// time).
func (c *chooser) apart(servers []backends.Server) (Plan, Verdict) {
	all := slices.Clone(servers)
	if len(all) == 0 {
		return Plan{}, NoServer
	}
	if c.need() > c.mostMemory() {
		return Plan{}, TooLarge
	}
	slices.SortFunc(all, func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(c.room(b), c.room(a)), cmp.Compare(a.ID, b.ID))
	})
	refused := Plan{Backlog: Backlog(all, c.load), MostRoom: c.room(all[0])}
	left := c.need()
	var holders []backends.Server
	for _, s := range all {
		if left <= 0 || c.room(s) < leastReserve {
			break
		}
		holders = append(holders, s)
		left -= c.room(s)
	}
	if left > 0 || len(holders) < 2 || len(holders) > maxHelpers {
		return c.notNow(refused, ForMemory)
	}
	p := c.reserveAt(holders, servers)
	if c.harmBy(p) > value(c.req.Prompt) {
		return c.notNow(refused, ForHarm)
	}
	if c.req.Useful > 0 && c.req.Waited+p.FirstEvent > c.req.Useful {
		return c.notNow(refused, ForTime)
	}
	return p, Placed
}

// notNow holds a prompt back for which there is no room at present, as long as
// it could still come in time at calm engines, and then turns it away: its client
// comes back once. Held for as long as clients wait, most of them were refused
// after 9 s or answered late, at the cost of all others.
func (c *chooser) notNow(p Plan, why Reason) (Plan, Verdict) {
	p.Reason = why
	if c.req.Waited < c.req.Patience && !c.late() {
		return p, Hold
	}
	return p, NoRoom
}

// mostMemory is what all servers of the service can hold of one prompt, those
// included that this request must avoid or that are out of rotation: a prompt
// too large for the others at present is turned away for now, not for good.
func (c *chooser) mostMemory() int64 {
	return usable(c.engine) * int64(min(c.req.Fleet, maxHelpers+1))
}

// leastReserve is the least memory worth reserving at an engine.
const leastReserve = 16_000

// reserveAt plans a prompt whose memory is divided evenly between holders, but for
// what an engine lacks. The others of servers may help to read.
func (c *chooser) reserveAt(holders, servers []backends.Server) Plan {
	helpers := c.cheapest(servers, holders[0]).helpers
	helpers = slices.DeleteFunc(helpers, func(s backends.Server) bool {
		return slices.ContainsFunc(holders, func(h backends.Server) bool { return h.ID == s.ID })
	})
	helpers = slices.Concat(holders[1:], helpers)
	p := c.plan(holders[0], helpers[:min(len(helpers), maxHelpers)])
	left := c.req.Prompt
	for i := len(holders) - 1; i > 0; i-- {
		even := (left + int64(i)) / int64(i+1)
		share := min(even, c.room(holders[i]))
		p.Parts[i].Reserve, p.Parts[i].Load.HeldTokens = share, share
		left -= share
	}
	p.Parts[0].Load.HeldTokens = left + c.req.Answer
	return p
}
