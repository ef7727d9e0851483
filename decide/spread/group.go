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

// candidate is an engine as it is before a prompt is placed.
type candidate struct {
	server backends.Server
	// ready is when it could have read an empty part.
	ready time.Duration
	// pause is that of its answers without a part. Those to prompts that are not deep
	// lose the value tight if it becomes longer than any answer allows, those to deep
	// ones the value loose if it becomes longer than the request's own route allows.
	pause        time.Duration
	tight, loose float64
	// harm is the value lost by the part that is being weighed.
	harm float64
}

func (c *chooser) candidate(s backends.Server) candidate {
	l := c.load(s.ID)
	k := candidate{server: s, ready: c.readBy(s, 0)}
	if l.Calls == 0 {
		return k
	}
	each := value(l.HeldTokens/l.Calls) * (1 - lateValue)
	k.pause = Pass(c.engine, l) + l.Read + passMargin
	k.tight, k.loose = float64(l.Calls-l.LongCalls)*each, float64(l.LongCalls)*each
	return k
}

// harmOf is the value that the answers on an engine lose by the pause for a part.
func (c *chooser) harmOf(k candidate, part time.Duration) (harm float64) {
	pause := k.pause + part
	if k.tight > 0 && c.req.Tightest > 0 && pause > c.req.Tightest {
		harm += k.tight
	}
	if k.loose > 0 && c.req.Pause > 0 && pause > c.req.Pause {
		harm += k.loose
	}
	return harm
}

// harmBy is the value that answers in progress lose by a plan.
func (c *chooser) harmBy(p Plan) (harm float64) {
	for _, part := range p.Parts {
		harm += c.harmOf(c.candidate(part.Server), part.Load.Read)
	}
	return harm
}

// cheapest returns the group around a writer that costs least.
func (c *chooser) cheapest(servers []backends.Server, writer backends.Server) group {
	var free []candidate
	for _, s := range c.leastReading(servers, writer) {
		free = append(free, c.candidate(s))
	}
	first := c.candidate(writer)
	most := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers, len(free))
	best, bestCost := group{}, math.Inf(1)
	order := make([]candidate, len(free))
	for n := 0; n <= most; n++ {
		copy(order, free)
		g := c.groupOf(order, first, n)
		if cost := c.cost(g); cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// groupOf takes the n engines that lose least by their part, of these the first
// ones of free, which come in the order of their reading and are sorted anew.
func (c *chooser) groupOf(free []candidate, writer candidate, n int) group {
	each := c.readTime(n)
	for i := range free {
		free[i].harm = c.harmOf(free[i], each)
	}
	slices.SortStableFunc(free, func(a, b candidate) int { return cmp.Compare(a.harm, b.harm) })
	g := group{first: writer.ready + each, harm: c.harmOf(writer, each)}
	for _, k := range free[:n] {
		g.helpers = append(g.helpers, k.server)
		g.harm += k.harm
		g.first = max(g.first, k.ready+each)
	}
	g.first += time.Duration(n) * helperCost
	return g
}
