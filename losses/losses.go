// Package losses tells from the log lines of all instances which requests were
// late, refused, failed or given up, and gives each of them one cause.
package losses

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/explain"
	"github.com/auburnmoor/auburnmoor/result"
)

// Cause is why a request was lost.
type Cause string

// The causes.
const (
	Moved        Cause = "sent again after a failed attempt"
	PauseReading Cause = "pause beside reading"
	PauseWriting Cause = "pause beside many answers"
	PauseOther   Cause = "pause of the engine, cause not seen"
	HeldForTurn  Cause = "waited at the instance for its turn"
	HeldForSlot  Cause = "waited at the instance for a slot"
	EngineFull   Cause = "waited at an engine without a free slot"
	LaterThan    Cause = "first event later than predicted"
	BusyEngines  Cause = "engines busy, late as predicted"
	ServiceSlow  Cause = "whole answer late"
	NoRoom       Cause = "refused: no room"
	NoServer     Cause = "refused: no server ran it"
	NoConfig     Cause = "refused: no configuration yet"
	ShuttingDown Cause = "refused: shutting down"
	Deadline     Cause = "its time passed"
	ServerError  Cause = "the server's own failure"
	BrokenOff    Cause = "stream broken off"
	LeftHeld     Cause = "client left while it waited at the instance"
	LeftWaiting  Cause = "client left before or in the answer"
	InstanceLost Cause = "instance ended under it"
	Unexplained  Cause = "unexplained"
)

// Kinds of request, by the length of the prompt; the lengths only sort the tables.
const (
	plainKind = "plain"
	shortKind = "below 20k"
	longKind  = "below 80k"
	deepKind  = "80k and more"

	longTokens, deepTokens = 20_000, 80_000
)

// Loss is one lost request.
type Loss struct {
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Prompt   int64     `json:"prompt"`
	Cause    Cause     `json:"cause"`
	// Served tells that the answer was whole, but late.
	Served bool `json:"served"`
}

// Report is what a set of logs tells.
type Report struct {
	Start time.Time `json:"start"`
	// Requests counts all requests that were to be served, Tokens their prompts.
	Requests int    `json:"requests"`
	Tokens   int64  `json:"tokens"`
	Losses   []Loss `json:"losses"`
}

// request is what the lines of one request tell.
type request struct {
	id, instance string
	at           time.Time
	prompt       int64
	placed       []explain.Line
	failed       []explain.Line
	held         bool
	end          *explain.Line
}

// Find reads the fate of each request from lines in any order.
func Find(lines []explain.Line) Report {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	var order []*request
	byID := map[string]*request{}
	for _, l := range lines {
		id := l.Text("request")
		if id == "" {
			continue
		}
		r := byID[id]
		if r == nil {
			r = &request{id: id, instance: l.Instance, at: l.Time}
			byID[id] = r
			order = append(order, r)
		}
		r.take(l)
	}
	var out Report
	for _, r := range order {
		out.add(r)
	}
	return out
}

func (r *request) take(l explain.Line) {
	r.prompt = max(r.prompt, int64(l.Number("prompt")))
	switch l.Event {
	case "placed":
		r.placed = append(r.placed, l)
	case "attempt failed":
		r.failed = append(r.failed, l)
	case "held back":
		r.held = true
	case "answered", "refused", "client gone", "stream broken off", "server error passed on":
		r.end = &l
	}
}

func (rep *Report) add(r *request) {
	if len(r.placed) == 0 && r.end == nil && !r.held {
		return
	}
	cause, lost, counts := r.cause()
	if !counts {
		return
	}
	if rep.Requests == 0 {
		rep.Start = r.at
	}
	rep.Requests++
	rep.Tokens += r.prompt
	if lost {
		rep.Losses = append(rep.Losses, Loss{
			Request: r.id, Instance: r.instance, At: r.at, Kind: kind(r.prompt), Prompt: r.prompt, Cause: cause,
			Served: r.end != nil && r.end.Event == "answered",
		})
	}
}

// cause returns why a request was lost, whether it was, and whether it counts at
// all: one that the configuration does not allow does not.
func (r *request) cause() (c Cause, lost, counts bool) {
	if r.end == nil {
		return InstanceLost, true, true
	}
	switch r.end.Event {
	case "answered":
		c, lost = r.late()
		return c, lost, true
	case "refused":
		c, counts = r.refusal()
		return c, true, counts
	case "client gone":
		if len(r.placed) == 0 {
			return LeftHeld, true, true
		}
		return LeftWaiting, true, true
	case "stream broken off":
		return BrokenOff, true, true
	default:
		return ServerError, true, true
	}
}

// late judges a whole answer by the route's objectives.
func (r *request) late() (Cause, bool) {
	first, target := r.end.Number("first"), r.end.Number("first_target")
	gap, gapTarget := r.end.Number("longest_gap"), r.end.Number("gap_target")
	switch {
	case target <= 0:
		return "", false
	case gapTarget > 0 && gap > gapTarget:
		return r.pause(gapTarget), true
	case first > target:
		return r.firstLate(target), true
	default:
		return "", false
	}
}

// shareOfPause is the part of a useful pause from which the reading or the writing
// beside an answer explains a pause that was too long.
const shareOfPause = 0.25

func (r *request) pause(target float64) Cause {
	switch {
	case len(r.failed) > 0:
		return Moved
	case r.end.Number("gap_read") >= shareOfPause*target:
		return PauseReading
	case r.end.Number("gap_pass") >= shareOfPause*target:
		return PauseWriting
	default:
		return PauseOther
	}
}

// muchLater is the factor by which a first event must miss its prediction.
const muchLater = 1.5

func (r *request) firstLate(target float64) Cause {
	last := r.placed[len(r.placed)-1]
	held, predicted := last.Number("held"), last.Number("predicted")
	waiting, _ := last.Fields["waiting"].(bool)
	switch {
	case r.prompt == 0:
		return ServiceSlow
	case len(r.failed) > 0:
		return Moved
	case held > target/2 && r.prompt >= deepTokens:
		return HeldForTurn
	case held > target/2:
		return HeldForSlot
	case waiting:
		return EngineFull
	case r.end.Number("first")-held > muchLater*predicted:
		return LaterThan
	default:
		return BusyEngines
	}
}

// firstServed is the first result code of a request that was to be served.
const firstServed = 2000

// refusals are the causes by result code.
var refusals = map[result.Code]Cause{
	result.Overloaded: NoRoom, result.TooLongForFleet: NoRoom, result.NoBackend: NoServer, result.NoConfiguration: NoConfig,
	result.Draining: ShuttingDown, result.DeadlineNotRun: Deadline, result.DeadlinePassed: Deadline, result.BackendFailed: ServerError,
}

func (r *request) refusal() (Cause, bool) {
	code := result.Code(r.end.Number("code"))
	if code < firstServed {
		return "", false
	}
	if c, ok := refusals[code]; ok {
		return c, true
	}
	return Unexplained, true
}

func kind(prompt int64) string {
	switch {
	case prompt <= 0:
		return plainKind
	case prompt < longTokens:
		return shortKind
	case prompt < deepTokens:
		return longKind
	default:
		return deepKind
	}
}

// Kinds returns the kinds in their order.
func Kinds() []string { return []string{shortKind, longKind, deepKind, plainKind} }

// Causes returns the causes of a report, the one that cost most tokens first.
func (rep Report) Causes() []Cause {
	tokens, count := map[Cause]int64{}, map[Cause]int{}
	for _, l := range rep.Losses {
		tokens[l.Cause] += l.Prompt
		count[l.Cause]++
	}
	var out []Cause
	for c := range count {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(tokens[b], tokens[a]), cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	return out
}
