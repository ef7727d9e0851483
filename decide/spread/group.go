package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// The value of an answer, for weighing a prompt against what it delays. Callers'
// objectives say what in time is, not what it is worth; so a longer prompt is
// taken to be worth more, but less than in proportion to its length, and an
// answer that is late a part of one in time. Values have no unit.
const (
	valueExponent = 0.75
	lateValue     = 0.25
)

func value(tokens int64) float64 { return math.Pow(float64(max(1, tokens)), valueExponent) }

// group is a choice of engines for a prompt.
type group struct {
	helpers []backends.Server
	// first is the predicted time to the first event, harm the value that answers
	// in progress lose.
	first time.Duration
	harm  float64
}

// cost is what a group costs in value: what others lose, and what the prompt
// itself loses if it comes late.
func (c *chooser) cost(g group) float64 {
	own := value(c.req.Prompt)
	if c.req.Useful <= 0 {
		return g.harm + own*g.first.Seconds()
	}
	took := float64(c.req.Waited+g.first) / float64(c.req.Useful)
	cost := g.harm + own*slowness*took
	if took > 1 {
		cost += own * (1 - lateValue)
	}
	return cost
}

// tooDear reports whether a deep prompt is to wait because answers in progress
// would lose more than it is worth. While its lateness counted as a cost of the
// prompt itself, one that was late already waited until its caller had no patience
// left, and was sent when its answer could not be whole in time any more.
func (c *chooser) tooDear(g group) bool {
	worth := value(c.req.Prompt)
	if c.req.Useful > 0 && c.req.Waited+g.first > c.req.Useful {
		worth *= lateValue
	}
	return g.harm > worth
}

// slowness is the share of its value that a prompt loses by coming just in time
// rather than at once: it keeps the engines shorter from others.
const slowness = 0.2

// passMargin of a pause is kept free for what other instances place meanwhile.
const passMargin = 15 * time.Millisecond

// harmOf is the value that the answers on an engine lose by the pause for a part.
func (c *chooser) harmOf(s backends.Server, part time.Duration) float64 {
	l := c.load(s.ID)
	if l.Calls == 0 {
		return 0
	}
	pause := Pass(c.engine, l) + l.Read + part + passMargin
	each := value(l.HeldTokens/l.Calls) * (1 - lateValue)
	var harm float64
	if tight := l.Calls - l.LongCalls; tight > 0 && c.req.Tightest > 0 && pause > c.req.Tightest {
		harm += float64(tight) * each
	}
	if c.req.Pause > 0 && pause > c.req.Pause {
		harm += float64(l.LongCalls) * each
	}
	return harm
}

// harmBy is the value that answers in progress lose by a plan.
func (c *chooser) harmBy(p Plan) (harm float64) {
	for _, part := range p.Parts {
		harm += c.harmOf(part.Server, part.Load.Read)
	}
	return harm
}

// cheapest returns the group around a writer that costs least.
func (c *chooser) cheapest(servers []backends.Server, writer backends.Server) group {
	free := c.leastReading(servers, writer)
	most := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers, len(free))
	best, bestCost := group{}, math.Inf(1)
	for k := 0; k <= most; k++ {
		g := c.groupOf(free, writer, k)
		if cost := c.cost(g); cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// groupOf takes the k engines that lose least by their part, of these the first
// to have read it.
func (c *chooser) groupOf(free []backends.Server, writer backends.Server, k int) group {
	each := c.readTime(k)
	type candidate struct {
		server backends.Server
		harm   float64
		at     int
	}
	all := make([]candidate, len(free))
	for i, s := range free {
		all[i] = candidate{server: s, harm: c.harmOf(s, each), at: i}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.at, b.at)) })
	g := group{first: c.readBy(writer, each), harm: c.harmOf(writer, each)}
	for _, s := range all[:k] {
		g.helpers = append(g.helpers, s.server)
		g.harm += s.harm
		g.first = max(g.first, c.readBy(s.server, each))
	}
	g.first += time.Duration(k) * helperCost
	return g
}
