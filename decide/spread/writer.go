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

// neededMemory is the memory of the prompt and its answer; what helpers hold while they
// prefill parts is not included.
func (c *chooser) neededMemory() int64 { return c.req.Prompt + c.req.Answer }

// freeMemory is the memory that an engine may still be given.
func (c *chooser) freeMemory(s backends.Server) int64 {
	return usable(c.engine) - c.load(s.ID).HeldTokens
}

func (c *chooser) fits(s backends.Server) bool { return c.freeMemory(s) >= c.neededMemory() }

// fitsWithSlot reports whether an engine also has a free slot.
func (c *chooser) fitsWithSlot(s backends.Server) bool {
	return c.fits(s) && c.load(s.ID).Calls < int64(c.engine.Slots)
}

// fitsInTime reports whether an engine would also bring the first event in time. Deep
// prompts are exempt.
func (c *chooser) fitsInTime(s backends.Server) bool {
	return c.fitsWithSlot(s) && (c.req.FirstTarget <= 0 || c.deep() || c.req.Waited+c.predictPrefillEnd(s, c.writerPrefill()) <= c.req.FirstTarget)
}

// writerPrefill is the prefill time on the writer: all of a short prompt, the smallest
// share of a long one.
func (c *chooser) writerPrefill() time.Duration {
	if c.long() {
		return c.partPrefill(maxHelpers)
	}
	return c.partPrefill(0)
}

// writer returns the least loaded engine that has memory for the request, preferably one
// that already decodes answers of its kind.
func (c *chooser) writer() (backends.Server, bool) {
	groups := [][]backends.Server{c.roles.writers, c.roles.prefillEngines}
	if c.deep() {
		groups = [][]backends.Server{c.roles.deepWriters, c.roles.prefillEngines, c.roles.writers}
	}
	for _, accepts := range []func(backends.Server) bool{c.fitsInTime, c.fitsWithSlot, c.fits} {
		for _, group := range groups {
			if s, found := c.leastLoaded(group, accepts); found {
				return s, true
			}
		}
	}
	return backends.Server{}, false
}

// Costs of an answer in progress on an engine, as the time by which it delays another one,
// to be added to pending prefill.
const (
	callCost     = 20 * time.Millisecond
	deepCallCost = 50 * time.Millisecond
)

func (c *chooser) leastLoaded(group []backends.Server, accepts func(backends.Server) bool) (backends.Server, bool) {
	fit := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool { return !accepts(s) })
	if len(fit) == 0 {
		return backends.Server{}, false
	}
	cost := func(s backends.Server) time.Duration {
		l := c.load(s.ID)
		return l.Prefill + time.Duration(l.Calls)*callCost + time.Duration(l.DeepCalls)*deepCallCost
	}
	if c.deep() || c.req.Unreported >= minUnreported {
		return c.instanceChoice(fit, cost), true
	}
	return slices.MinFunc(fit, func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), c.compareDistance(a, b), c.compareIDs(a, b))
	}), true
}

// compareDistance prefers engines in this instance's data centre.
func (c *chooser) compareDistance(a, b backends.Server) int {
	return cmp.Compare(otherDataCentre(a, c.req.DataCentre), otherDataCentre(b, c.req.DataCentre))
}

// minUnreported is the number of unreported requests of others from which an instance chooses among
// similar engines by an order of its own. With fewer, two instances seldom choose the same engine.
const minUnreported = 1

// Differences of cost up to which engines count as equally loaded: for deep prompts, and the largest one
// for others, where it grows with the unreported requests of other instances.
const (
	deepCostTolerance = 100 * time.Millisecond
	maxCostTolerance  = 2 * callCost
)

// costTolerance is the difference of cost up to which engines count as equally loaded.
func (c *chooser) costTolerance() time.Duration {
	if c.deep() {
		return deepCostTolerance
	}
	return min(maxCostTolerance, time.Duration(c.req.Unreported*float64(callCost)))
}

// instanceChoice returns one of the least loaded engines, in an order that differs between
// instances. Otherwise all instances that place prompts before they hear of each other would
// choose the same engine. There, a short prompt would wait for a slot though other engines have free
// ones, and a deep one would wait for memory until the first is answered, seconds later. Prompts that
// are not deep go to an engine in this instance's data centre if one is among the least loaded.
func (c *chooser) instanceChoice(fit []backends.Server, cost func(backends.Server) time.Duration) backends.Server {
	least := cost(fit[0])
	for _, s := range fit[1:] {
		least = min(least, cost(s))
	}
	deep, limit := c.deep(), least+c.costTolerance()
	fit = slices.DeleteFunc(fit, func(s backends.Server) bool { return cost(s) > limit })
	best, bestOrder := fit[0], c.instanceOrder(fit[0])
	for _, s := range fit[1:] {
		distance := 0
		if !deep {
			distance = c.compareDistance(s, best)
		}
		if order := c.instanceOrder(s); cmp.Or(distance, cmp.Compare(order, bestOrder)) < 0 {
			best, bestOrder = s, order
		}
	}
	return best
}

// instanceOrder is the position of an engine in the order of this instance.
func (c *chooser) instanceOrder(s backends.Server) uint64 {
	h := fnv.New64a()
	h.Write([]byte(c.req.Instance))
	h.Write([]byte(s.ID))
	return h.Sum64()
}
