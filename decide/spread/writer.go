package spread

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

func (c *chooser) long() bool { return !Short(c.engine, c.req.Prompt) }

func (c *chooser) deep() bool { return Deep(c.engine, c.req.Prompt, c.req.Answer) }

// need is the memory of the request; parts that helpers hold are not in it.
func (c *chooser) need() int64 { return c.req.Prompt + c.req.Answer }

// room is the memory that an engine may still be given.
func (c *chooser) room(s backends.Server) int64 { return usable(c.engine) - c.load(s.ID).HeldTokens }

func (c *chooser) fits(s backends.Server) bool { return c.room(s) >= c.need() }

// fitsNow reports whether an engine also has a slot free.
func (c *chooser) fitsNow(s backends.Server) bool {
	return c.fits(s) && c.load(s.ID).Calls < int64(c.engine.Slots)
}

// soon reports whether an engine also brings the first event in time, if it reads
// the prompt alone.
func (c *chooser) soon(s backends.Server) bool {
	return c.fitsNow(s) && (c.req.Useful <= 0 || c.deep() || c.req.Waited+c.readBy(s, c.ownPart()) <= c.req.Useful)
}

// ownPart is the reading of the engine that writes: all of a short prompt, a share
// of a long one.
func (c *chooser) ownPart() time.Duration {
	if c.long() {
		return c.readTime(maxHelpers)
	}
	return c.readTime(0)
}

// writer returns the engine with the least to do that has memory for the
// request, one that writes answers of its length already if it can be.
func (c *chooser) writer() (backends.Server, bool) {
	groups := [][]backends.Server{c.roles.writers, c.roles.readers}
	if c.deep() {
		groups = [][]backends.Server{c.roles.longWriters, c.roles.readers, c.roles.writers}
	}
	for _, ok := range []func(backends.Server) bool{c.soon, c.fitsNow, c.fits} {
		for _, group := range groups {
			if s, found := c.leastBusy(group, ok); found {
				return s, true
			}
		}
	}
	return backends.Server{}, false
}

// callCost is the time by which one more answer on an engine delays another
// one, for weighing answers against reading.
const (
	callCost     = 20 * time.Millisecond
	longCallCost = 50 * time.Millisecond
)

func (c *chooser) leastBusy(group []backends.Server, ok func(backends.Server) bool) (backends.Server, bool) {
	fit := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool { return !ok(s) })
	if len(fit) == 0 {
		return backends.Server{}, false
	}
	cost := func(s backends.Server) time.Duration {
		l := c.load(s.ID)
		return l.Read + time.Duration(l.Calls)*callCost + time.Duration(l.LongCalls)*longCallCost
	}
	if c.deep() {
		return c.ownChoice(fit, cost), true
	}
	return slices.MinFunc(fit, func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(elsewhere(a, c.req.DataCentre), elsewhere(b, c.req.DataCentre)), cmp.Compare(a.ID, b.ID))
	}), true
}

// likeCost is the difference up to which the costs of engines are taken as equal
// when a deep prompt is placed.
const likeCost = 100 * time.Millisecond

// ownChoice returns an engine that costs about as little as any, by an order
// of this instance's own. Two instances that place deep prompts before they hear
// of each other would else give both to one engine, which has memory for one; the
// other is read only when the first is answered, seconds later, by engines that
// write short answers by then.
func (c *chooser) ownChoice(fit []backends.Server, cost func(backends.Server) time.Duration) backends.Server {
	least := cost(fit[0])
	for _, s := range fit[1:] {
		least = min(least, cost(s))
	}
	fit = slices.DeleteFunc(fit, func(s backends.Server) bool { return cost(s) > least+likeCost })
	return slices.MinFunc(fit, func(a, b backends.Server) int {
		return cmp.Compare(c.order(a), c.order(b))
	})
}

// order is the place of an engine in the order of this instance.
func (c *chooser) order(s backends.Server) uint64 {
	h := fnv.New64a()
	h.Write([]byte(c.req.Instance))
	h.Write([]byte(s.ID))
	return h.Sum64()
}
