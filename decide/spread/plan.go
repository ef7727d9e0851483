package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Figures of the policy. An engine that writes reads one chunk in a pass of
// many token steps (about 45 ms for 2,048 tokens); one that only reads needs
// 12 ms for them. Answers are therefore written on as few engines as hold them,
// and all others only read.
const (
	// callsPerWriter is how many answers one engine writes before the next one
	// is used: 10 of 16 slots leave room for what other instances place in the
	// milliseconds before their reports arrive.
	callsPerWriter = 10
	// minWriters keeps writing on more than one engine, so that the loss of one
	// does not break every answer.
	minWriters = 3
	// partTokens is the least that is worth reading apart: half a chunk.
	partTokens = 1024
	// maxHelpers is the most that an engine accepts for one prompt.
	maxHelpers = 16
	// wideTokens is the length from which engines that write also help: the
	// prompt's own engine is as slow then.
	wideTokens = 60_000
	// memoryShare of an engine's memory is filled; the rest absorbs answers that
	// grow longer than estimated, which would preempt others.
	memoryShare = 0.95
)

// Request is what the placing of a request depends on.
type Request struct {
	Prompt, Answer int64
	// Avoid are servers that already failed this request.
	Avoid []string
	// DataCentre is preferred among equals.
	DataCentre string
}

// Part is the work of one server in a plan.
type Part struct {
	Server backends.Server
	Load   Load
}

// Plan is where a request is placed. The first part is the server that answers;
// the others read for it.
type Plan struct {
	Parts []Part
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Waiting tells that the server already has as many calls as it runs at once.
	Waiting bool
}

// Writer returns the server that answers.
func (p Plan) Writer() backends.Server { return p.Parts[0].Server }

// Helpers returns the servers that read parts.
func (p Plan) Helpers() []Part { return p.Parts[1:] }

// ReadTime is how long an idle engine needs for a prompt: each token, and each
// pair of a token with an earlier one.
func ReadTime(e *route.Engine, tokens int64) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	linear := float64(tokens) / e.ReadPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6 * float64(e.PairsPerMillion)
	return time.Duration(linear + pairs)
}

// Choose places a request of a model service. It returns false when no server
// can hold it.
func Choose(e *route.Engine, servers []backends.Server, load func(string) Load, r Request) (Plan, bool) {
	c := chooser{engine: e, load: load, req: r}
	c.divide(without(servers, r.Avoid))
	writer, ok := c.writer()
	if !ok {
		return Plan{}, false
	}
	helpers := c.helpers(writer)
	return c.plan(writer, helpers), true
}

// ChoosePlain places a request of a plain service at the server with the most
// room.
func ChoosePlain(servers []backends.Server, load func(string) Load, r Request) (Plan, bool) {
	servers = without(servers, r.Avoid)
	if len(servers) == 0 {
		return Plan{}, false
	}
	best := slices.MinFunc(servers, func(a, b backends.Server) int {
		return cmp.Or(
			cmp.Compare(load(a.ID).Calls*int64(max(1, b.Slots)), load(b.ID).Calls*int64(max(1, a.Slots))),
			cmp.Compare(elsewhere(a, r.DataCentre), elsewhere(b, r.DataCentre)),
			cmp.Compare(a.ID, b.ID))
	})
	return Plan{
		Parts:   []Part{{Server: best, Load: Load{Calls: 1}}},
		Waiting: best.Slots > 0 && load(best.ID).Calls >= int64(best.Slots),
	}, true
}

func elsewhere(s backends.Server, dataCentre string) int {
	if s.DataCentre == dataCentre {
		return 0
	}
	return 1
}

func without(servers []backends.Server, avoid []string) []backends.Server {
	if len(avoid) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return slices.Contains(avoid, s.ID) })
}

type chooser struct {
	engine  *route.Engine
	load    func(string) Load
	req     Request
	writers []backends.Server
	readers []backends.Server
}

// divide takes as many engines for writing as the answers in progress need.
// The engines are taken in the order of their IDs, so that all instances, which
// see nearly the same load, take the same ones without agreeing on them.
func (c *chooser) divide(servers []backends.Server) {
	calls := int64(1)
	for _, s := range servers {
		calls += c.load(s.ID).Calls
	}
	n := int((calls + callsPerWriter - 1) / callsPerWriter)
	n = min(max(n, minWriters), len(servers))
	c.writers, c.readers = servers[:n], servers[n:]
}

func (c *chooser) need() int64 { return c.req.Prompt + c.req.Answer }

func (c *chooser) fits(s backends.Server) bool {
	return float64(c.load(s.ID).HeldTokens+c.need()) <= memoryShare*float64(c.engine.Memory)
}

// writer returns the writing engine with the least to do that has memory for
// the request, or else any engine that has, or else the emptiest.
func (c *chooser) writer() (backends.Server, bool) {
	for _, group := range [][]backends.Server{c.writers, c.readers} {
		if s, ok := c.leastBusy(group, c.fits); ok {
			return s, true
		}
	}
	if c.need() > c.engine.Memory {
		return backends.Server{}, false
	}
	all := slices.Concat(c.writers, c.readers)
	if len(all) == 0 {
		return backends.Server{}, false
	}
	return slices.MinFunc(all, func(a, b backends.Server) int {
		return cmp.Compare(c.load(a.ID).HeldTokens, c.load(b.ID).HeldTokens)
	}), true
}

// callCost is the time by which one more answer on an engine delays another
// one, for weighing answers against reading.
const callCost = 20 * time.Millisecond

func (c *chooser) leastBusy(group []backends.Server, ok func(backends.Server) bool) (backends.Server, bool) {
	fit := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool { return !ok(s) })
	if len(fit) == 0 {
		return backends.Server{}, false
	}
	cost := func(s backends.Server) time.Duration {
		l := c.load(s.ID)
		return l.Read + time.Duration(l.Calls)*callCost
	}
	return slices.MinFunc(fit, func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(elsewhere(a, c.req.DataCentre), elsewhere(b, c.req.DataCentre)), cmp.Compare(a.ID, b.ID))
	}), true
}

// helpers returns the engines with the least to read, those that only read
// first.
func (c *chooser) helpers(writer backends.Server) []backends.Server {
	want := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers)
	if want <= 0 {
		return nil
	}
	out := c.leastReading(c.readers, writer, want)
	if c.req.Prompt >= wideTokens && len(out) < want {
		out = append(out, c.leastReading(c.writers, writer, want-len(out))...)
	}
	return out
}

func (c *chooser) leastReading(group []backends.Server, writer backends.Server, n int) []backends.Server {
	free := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool {
		return s.ID == writer.ID || c.load(s.ID).Parts >= int64(max(1, c.engine.Slots))
	})
	slices.SortFunc(free, func(a, b backends.Server) int {
		la, lb := c.load(a.ID), c.load(b.ID)
		return cmp.Or(cmp.Compare(min(la.Calls, 1), min(lb.Calls, 1)), cmp.Compare(la.Read, lb.Read), cmp.Compare(la.Parts, lb.Parts), cmp.Compare(a.ID, b.ID))
	})
	return free[:min(n, len(free))]
}

func (c *chooser) plan(writer backends.Server, helpers []backends.Server) Plan {
	each := ReadTime(c.engine, c.req.Prompt) / time.Duration(len(helpers)+1)
	p := Plan{Parts: []Part{{Server: writer, Load: Load{Calls: 1, HeldTokens: c.need(), Read: each}}}}
	slowest := c.passes(writer, each)
	for _, h := range helpers {
		p.Parts = append(p.Parts, Part{Server: h, Load: Load{Read: each, Parts: 1}})
		slowest = max(slowest, c.load(h.ID).Read+each)
	}
	p.FirstEvent = slowest
	p.Waiting = c.load(writer.ID).Calls >= int64(c.engine.Slots)
	return p
}

// passes predicts how long the writing engine needs for its part: in each pass
// it reads one chunk and makes a stride of token steps for its writers.
func (c *chooser) passes(writer backends.Server, read time.Duration) time.Duration {
	l := c.load(writer.ID)
	chunks := c.req.Prompt/max(1, c.engine.Chunk) + 1
	if l.Calls == 0 {
		return l.Read + read
	}
	pass := time.Duration(c.engine.Stride) * (c.engine.Step + time.Duration(l.Calls)*c.engine.StepPerWriter)
	return l.Read + read + time.Duration(chunks)*pass
}
