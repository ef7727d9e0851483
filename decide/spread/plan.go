package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Parameters of the policy.
const (
	// partTokens is the smallest part worth a helper: a quarter of a chunk, which an
	// engine prefills in 3 ms. 1,024 lost 0.01 of the value of all requests.
	partTokens = 512
	// maxHelpers is the most helpers that an engine accepts for one prompt.
	maxHelpers = 16
	// longPrefill is the prefill time on one engine from which a prompt is long: a third
	// of the usual target for the first event of a short one. In a burst that takes all
	// slots, 0.67 of the value of short prompts was kept with 150 ms, 0.74 with 100 ms.
	//
	// deepPrefill is that from which a prompt is deep: a seventeenth of it takes 60 ms,
	// which a pass with short answers can spare once the engine also prefills for others.
	// Both are times rather than lengths: lengths chosen for one speed of engine did worse
	// on engines with a third of it.
	longPrefill = 100 * time.Millisecond
	deepPrefill = time.Second
	// maxHelperBacklog is the pending prefill above which an engine does not help with a
	// short prompt: the writer alone prefills 5,000 tokens in 31 ms. Without it, up to
	// 0.06 of the value of short prompts was lost under heavy load.
	maxHelperBacklog = 40 * time.Millisecond
	// helperCost is the time that each further helper must gain, since the loss of any
	// helper stalls the request.
	helperCost = 4 * time.Millisecond
	// memoryShare is the share of an engine's memory that is given out; the rest absorbs
	// answers that grow longer than estimated, which would preempt others.
	memoryShare = 0.95
)

// Request describes the request to place.
type Request struct {
	Prompt, Answer int64
	// FleetSize is the number of servers of the service, including those out of rotation.
	FleetSize int
	// Avoid are servers that already failed this request. They are used again only by a prompt
	// that is held and for which the other engines are too few.
	Avoid []string
	// Instance is the name of the instance that places the request.
	Instance string
	// Unreported is the expected number of requests that other instances have placed and not
	// reported yet (Arrivals.Unreported).
	Unreported float64
	// DataCentre is preferred among servers with equal load.
	DataCentre string
	// NoHelpers places a short prompt on a single engine, as for a retry or for a request
	// that may have crashed servers.
	NoHelpers bool
	// FirstTarget is the target for the time to the first event; zero if there is none.
	FirstTarget time.Duration
	// GapTarget is the longest acceptable gap between events of the request's own answer,
	// TightestGap the shortest such limit of any route of the service; zero if none is
	// known.
	GapTarget, TightestGap time.Duration
	// TimeLeft is the time until the caller gives up on the whole answer; zero if it is not
	// known.
	TimeLeft time.Duration
	// Waited is how long the request has been held back, MaxHold how long it may be; with
	// zero it is sent at once.
	Waited, MaxHold time.Duration
	// SlotWaiters is the number of requests at all instances that wait for a free slot;
	// Draw is drawn uniformly from [0, 1) for each placing.
	SlotWaiters int
	Draw        float64
	// MustWait reports that another held prompt precedes this one.
	MustWait bool
	// Rotation is by how many places the order of servers is rotated. It is set while the
	// loads of other instances are not known, so that such instances do not all choose the
	// same servers.
	Rotation int
}

// Part is the work of one server in a plan.
type Part struct {
	Server backends.Server
	Load   Load
	// PrefillEnd is the expected end of the prefill of the part, from now.
	PrefillEnd time.Duration
	// Reserve is the memory in tokens that must be reserved on a helper before the request
	// is sent, because the writer cannot hold all of it.
	Reserve int64
	// Recorded is the prefill as Ledger.Place recorded it, for EndPrefill.
	Recorded Prefill
}

// Plan is where a request is placed. The first part is the writer, which decodes the
// answer; the others are its helpers.
type Plan struct {
	Parts []Part
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Backlog is the mean prefill pending on the engines and MaxFreeMemory the most free
	// memory of any engine in tokens, set where a request was not placed because of them.
	Backlog       time.Duration
	MaxFreeMemory int64
	// Reason is why a request was not placed.
	Reason Reason
	// Queued reports that the call will wait in the server's queue: the server already has
	// as many calls as slots.
	Queued bool
}

// Writer returns the server that decodes the answer.
func (p Plan) Writer() backends.Server { return p.Parts[0].Server }

// Prefill returns the prefill time of the prompt, summed over all parts.
func (p Plan) Prefill() (sum time.Duration) {
	for _, part := range p.Parts {
		sum += part.Load.Prefill
	}
	return sum
}

// Helpers returns the parts of the other servers.
func (p Plan) Helpers() []Part { return p.Parts[1:] }

// PrefillTime is the prefill time of a prompt on an idle engine: linear in its tokens, plus
// the attention between each pair of tokens.
func PrefillTime(e *route.Engine, tokens int64) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	linear := float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6 * float64(e.TimePerMillionPairs)
	return time.Duration(linear + pairs)
}

// Verdict is the outcome of placing a request.
type Verdict int

// The verdicts.
const (
	Placed Verdict = iota
	// NoServer: the service has no server that may get the request.
	NoServer
	// Overloaded: the servers are too busy at present.
	Overloaded
	// Hold: the caller must hold the request back and try again shortly.
	Hold
	// TooLarge: the prompt exceeds the memory of all engines together.
	TooLarge
	// Limited: the limits that the servers name leave no room for the request in its time.
	Limited
)

// Choose places a request of a model service.
func Choose(e *route.Engine, servers []backends.Server, load func(string) Load, r Request) (Plan, Verdict) {
	c := chooser{engine: e, load: load, req: r}
	all := servers
	servers = rotate(exclude(all, r.Avoid), r.Rotation)
	if c.cannotFinish() {
		return Plan{Backlog: UnconfirmedPrefill(servers, load), Reason: ForTime}, Overloaded
	}
	if backlog, reason := c.holdReason(servers); reason != NoReason {
		return Plan{Backlog: backlog, Reason: reason}, Hold
	}
	if verdict := c.checkSlots(servers); verdict != Placed {
		return Plan{Backlog: UnconfirmedPrefill(servers, load), Reason: ForSlot}, verdict
	}
	c.roles = divide(servers, load, e.Slots, int64(r.Unreported))
	writer, ok := c.writer()
	if !ok {
		return c.placeDistributed(servers, c.triedAgain(all, servers))
	}
	if !c.long() {
		return c.plan(writer, c.shortHelpers(writer)), Placed
	}
	g := c.cheapestGroup(servers, writer)
	if c.deep() && c.req.Waited < c.req.MaxHold && c.harmExceedsValue(g) {
		return Plan{Backlog: UnconfirmedPrefill(servers, load), Reason: ForHarm}, Hold
	}
	return c.plan(writer, g.helpers), Placed
}

// ChoosePlain places a request of a service without a model on the server with the lowest
// share of its slots in use.
func ChoosePlain(servers []backends.Server, load func(string) Load, r Request) (Plan, Verdict) {
	servers = exclude(servers, r.Avoid)
	if len(servers) == 0 {
		return Plan{}, NoServer
	}
	best := slices.MinFunc(servers, func(a, b backends.Server) int {
		return cmp.Or(
			cmp.Compare(load(a.ID).Calls*int64(max(1, b.Slots)), load(b.ID).Calls*int64(max(1, a.Slots))),
			cmp.Compare(otherDataCentre(a, r.DataCentre), otherDataCentre(b, r.DataCentre)),
			cmp.Compare(a.ID, b.ID))
	})
	return Plan{
		Parts:  []Part{{Server: best, Load: Load{Calls: 1}}},
		Queued: best.Slots > 0 && load(best.ID).Calls >= int64(best.Slots),
	}, Placed
}

func otherDataCentre(s backends.Server, dataCentre string) int {
	if s.DataCentre == dataCentre {
		return 0
	}
	return 1
}

func exclude(servers []backends.Server, avoid []string) []backends.Server {
	if len(avoid) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return slices.Contains(avoid, s.ID) })
}

func rotate(servers []backends.Server, by int) []backends.Server {
	if by == 0 || len(servers) == 0 {
		return servers
	}
	by %= len(servers)
	return slices.Concat(servers[by:], servers[:by])
}

type chooser struct {
	engine *route.Engine
	load   func(string) Load
	req    Request
	roles  roles
}

func (c *chooser) plan(writer backends.Server, helpers []backends.Server) Plan {
	each := c.partPrefill(len(helpers))
	first := Part{Server: writer, Load: Load{Calls: 1, HeldTokens: c.neededMemory(), Prefill: each, UnconfirmedPrefill: each}}
	if c.deep() {
		first.Load.DeepCalls = 1
	}
	p := Plan{Parts: []Part{first}, Queued: c.load(writer.ID).Calls >= int64(c.engine.Slots)}
	for _, h := range helpers {
		p.Parts = append(p.Parts, Part{Server: h, Load: Load{Prefill: each, UnconfirmedPrefill: each, Parts: 1}})
	}
	for i := range p.Parts {
		p.Parts[i].PrefillEnd = c.predictPrefillEnd(p.Parts[i].Server, each)
		p.FirstEvent = max(p.FirstEvent, p.Parts[i].PrefillEnd)
	}
	return p
}

// predictPrefillEnd predicts when an engine has prefilled a part: the pass in progress
// ends, then all pending prefill runs in the next one together with the part. An engine
// that decodes runs StepsPerPass token steps in each pass.
func (c *chooser) predictPrefillEnd(s backends.Server, each time.Duration) time.Duration {
	l := c.load(s.ID)
	d := l.Prefill + each
	if l.Calls > 0 {
		d += PassTime(c.engine, l)
	}
	return d
}

// PassTime is the time that an engine needs for the token steps of one pass, without the
// prefill that runs in the same pass.
func PassTime(e *route.Engine, l Load) time.Duration {
	if e == nil {
		return 0
	}
	context := time.Duration(l.HeldTokens) * e.StepPerThousandTokens / 1000
	return time.Duration(e.StepsPerPass) * (e.Step + time.Duration(l.Calls)*e.StepPerSequence + context)
}

// Deep reports whether a prompt must queue at the instances: its prefill takes long, or no
// engine has memory for it and its answer.
func Deep(e *route.Engine, prompt, answer int64) bool {
	return PrefillTime(e, prompt) >= deepPrefill || prompt+answer > usable(e)
}

// usable is the memory of an engine that may be given out.
func usable(e *route.Engine) int64 { return int64(memoryShare * float64(e.KVCacheTokens)) }

// lateAfter is the wait after which a prompt cannot have its first event within target,
// even if as many engines as can share it prefill it.
func lateAfter(e *route.Engine, prompt int64, target time.Duration) time.Duration {
	return target - PrefillTime(e, prompt)/(maxHelpers+1)
}

// Short reports whether a prompt is answered by the engines that decode short answers and
// do little prefill for others.
func Short(e *route.Engine, tokens int64) bool { return PrefillTime(e, tokens) < longPrefill }
