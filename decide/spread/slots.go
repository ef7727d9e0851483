package spread

import "github.com/auburnmoor/auburnmoor/decide/backends"

// lateSlotReserve is the share of all slots that must be free for a request that is
// already late. On a load that takes all slots, 0.61 of the value of short prompts was
// kept without it, 0.74 with 0.06 and with 0.12.
const lateSlotReserve = 0.06

// checkSlots decides whether a request that is not deep may take a slot. If none is free,
// it waits at the instance rather than at an engine: in an engine's queue all requests
// wait equally long, and all are late once a burst exceeds the decode capacity (0.49 of
// the value of short prompts was kept on the load of lateSlotReserve). Here a request that
// can still be in time precedes one that cannot, and one that found no slot within its
// hold time is refused.
//
// Other instances see a slot as free until a report tells them that it was taken. Each
// request therefore takes a slot only with the probability at which about one request
// takes each free slot. Held requests and those that other instances place meanwhile count.
func (c *chooser) checkSlots(servers []backends.Server) Verdict {
	if len(servers) == 0 || c.deep() || c.req.MaxHold <= 0 || c.engine.Slots <= 0 {
		return Placed
	}
	need := int64(1)
	if c.wouldBeLate(servers[0]) {
		need = max(1, int64(lateSlotReserve*float64(c.engine.Slots*len(servers))))
	}
	var free int64
	for _, s := range servers {
		if c.fits(s) {
			free += max(0, int64(c.engine.Slots)-c.load(s.ID).Calls)
		}
	}
	if free >= need && c.req.Draw*(float64(c.req.SlotWaiters)+c.req.Unreported) < float64(free) {
		return Placed
	}
	if c.req.Waited >= c.req.MaxHold {
		return Overloaded
	}
	return Hold
}

// wouldBeLate reports whether the first event would be late from an engine with the load
// of the given one: it comes at the end of the pass that prefills the prompt.
func (c *chooser) wouldBeLate(s backends.Server) bool {
	took := PassTime(c.engine, c.load(s.ID)) + PrefillTime(c.engine, c.req.Prompt)
	return c.req.FirstTarget > 0 && c.req.Waited+took > c.req.FirstTarget
}
