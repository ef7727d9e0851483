package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// The value of an answer weighs a prompt against the answers that it delays. Callers'
// objectives define when an answer is in time, not its worth, so the value grows with the
// length of the prompt, less than proportionally, and a late answer has a fraction of it.
// Values have no unit.
const (
	valueExponent = 0.75
	lateValue     = 0.25
)

func value(tokens int64) float64 { return math.Pow(float64(max(1, tokens)), valueExponent) }

// group is a choice of helpers for a prompt, with its predicted effects.
type group struct {
	helpers []backends.Server
	// first is the predicted time to the first event, harm the value that answers in
	// progress lose.
	first time.Duration
	harm  float64
}

// cost is the value lost by choosing a group: by answers in progress, and by the prompt
// itself the later its first event comes.
func (c *chooser) cost(g group) float64 {
	promptValue := value(c.req.Prompt)
	if c.req.FirstTarget <= 0 {
		return g.harm + promptValue*g.first.Seconds()
	}
	took := float64(c.req.Waited+g.first) / float64(c.req.FirstTarget)
	cost := g.harm + promptValue*latencyPenalty*took
	if took > 1 {
		cost += promptValue * (1 - lateValue)
	}
	return cost
}

// harmExceedsValue reports whether a deep prompt must wait because answers in progress
// would lose more than the prompt is worth. A late prompt is worth less, but its lateness
// is no cost: counted as one, it would hold the prompt until its answer cannot be complete
// in time.
func (c *chooser) harmExceedsValue(g group) bool {
	worth := value(c.req.Prompt)
	if c.req.FirstTarget > 0 && c.req.Waited+g.first > c.req.FirstTarget {
		worth *= lateValue
	}
	return g.harm > worth
}

// latencyPenalty is the share of its value that a prompt loses if its first event comes
// just in time rather than at once. It favours groups that occupy the engines for a
// shorter time.
const latencyPenalty = 0.2

// gapMargin is the part of a gap kept free for prompts that other instances place at the
// same time.
const gapMargin = 15 * time.Millisecond

// candidate is the state of an engine before the prompt is placed.
type candidate struct {
	server backends.Server
	// ready is when the engine could finish the prefill of an empty part.
	ready time.Duration
	// predictedGap is the gap in its answers without a part. If a part makes it exceed
	// the tightest limit of the service, answers to prompts that are not deep lose
	// tightValue; if it exceeds the limit of the request's own route, answers to deep ones
	// lose looseValue.
	predictedGap           time.Duration
	tightValue, looseValue float64
	// harm is the value lost by the part under consideration.
	harm float64
}

func (c *chooser) candidate(s backends.Server) candidate {
	l := c.load(s.ID)
	k := candidate{server: s, ready: c.predictPrefillEnd(s, 0)}
	if l.Calls == 0 {
		return k
	}
	each := value(l.HeldTokens/l.Calls) * (1 - lateValue)
	k.predictedGap = PassTime(c.engine, l) + l.Prefill + gapMargin
	k.tightValue, k.looseValue = float64(l.Calls-l.DeepCalls)*each, float64(l.DeepCalls)*each
	return k
}

// engineHarm is the value that the answers on an engine lose by the gap that a part
// causes.
func (c *chooser) engineHarm(k candidate, part time.Duration) (harm float64) {
	gap := k.predictedGap + part
	if k.tightValue > 0 && c.req.TightestGap > 0 && gap > c.req.TightestGap {
		harm += k.tightValue
	}
	if k.looseValue > 0 && c.req.GapTarget > 0 && gap > c.req.GapTarget {
		harm += k.looseValue
	}
	return harm
}

// planHarm is the value that answers in progress lose by a plan.
func (c *chooser) planHarm(p Plan) (harm float64) {
	for _, part := range p.Parts {
		harm += c.engineHarm(c.candidate(part.Server), part.Load.Prefill)
	}
	return harm
}

// cheapestGroup returns the helpers with the lowest cost for a writer.
func (c *chooser) cheapestGroup(servers []backends.Server, writer backends.Server) group {
	var eligible []candidate
	for _, s := range c.eligibleHelpers(servers, writer) {
		eligible = append(eligible, c.candidate(s))
	}
	writerCandidate := c.candidate(writer)
	maxCount := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers, len(eligible))
	best, bestCost := group{}, math.Inf(1)
	order := make([]candidate, len(eligible))
	for n := 0; n <= maxCount; n++ {
		copy(order, eligible)
		g := c.groupOfSize(order, writerCandidate, n)
		if cost := c.cost(g); cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// groupOfSize takes the n engines whose answers lose least by a part; among equals, those
// that come first in eligible, which is ordered by prefill end. It reorders eligible.
func (c *chooser) groupOfSize(eligible []candidate, writer candidate, n int) group {
	each := c.partPrefill(n)
	for i := range eligible {
		eligible[i].harm = c.engineHarm(eligible[i], each)
	}
	slices.SortStableFunc(eligible, func(a, b candidate) int { return cmp.Compare(a.harm, b.harm) })
	g := group{first: writer.ready + each, harm: c.engineHarm(writer, each)}
	for _, k := range eligible[:n] {
		g.helpers = append(g.helpers, k.server)
		g.harm += k.harm
		g.first = max(g.first, k.ready+each)
	}
	g.first += time.Duration(n) * helperCost
	return g
}
