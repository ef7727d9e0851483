package spread

import "github.com/auburnmoor/auburnmoor/decide/backends"

// lateReserve is the share of all slots that must be free for a request that is
// late already. Of the value of short prompts at 1.3 times the rates of one load,
// which asks for all slots, 0.61 are kept with none, 0.72 with 0.03, 0.74 with 0.06
// and with 0.12 (8 seeds in virtual time).
const lateReserve = 0.06

// slots decides whether a request that is not deep may take a slot. When all are
// taken it waits here rather than at an engine: in an engine's queue all wait
// equally long, and all are late once a burst asks for more than the engines can
// write. Here a request that can still come in time goes before one that cannot,
// and one that found no slot for as long as its caller has patience is refused.
// On the load of lateReserve 0.49 of the value of short prompts were kept when they
// waited at the engines.
//
// Instances see a free slot for the time that a report takes after one of them
// took it. Each request therefore takes it only with the chance that leaves about
// one for each slot.
func (c *chooser) slots(servers []backends.Server) Verdict {
	if len(servers) == 0 || c.deep() || c.req.Patience <= 0 || c.engine.Slots <= 0 {
		return Placed
	}
	need := int64(1)
	if c.lateAt(servers[0]) {
		need = max(1, int64(lateReserve*float64(c.engine.Slots*len(servers))))
	}
	var free int64
	for _, s := range servers {
		if c.fits(s) {
			free += max(0, int64(c.engine.Slots)-c.load(s.ID).Calls)
		}
	}
	if free >= need && c.req.Draw*float64(c.req.Rivals) < float64(free) {
		return Placed
	}
	if c.req.Waited >= c.req.Patience {
		return NoRoom
	}
	return Hold
}

// lateAt reports whether the first event would come late from an engine that
// writes as much as the given one: it follows at the end of a pass in which the
// prompt is read.
func (c *chooser) lateAt(s backends.Server) bool {
	took := Pass(c.engine, c.load(s.ID)) + ReadTime(c.engine, c.req.Prompt)
	return c.req.Useful > 0 && c.req.Waited+took > c.req.Useful
}
