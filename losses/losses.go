// Package losses finds, in the log lines of all instances, the requests that were late,
// refused, failed or abandoned by the client, and assigns one cause to each.
package losses

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/explain"
	"github.com/auburnmoor/auburnmoor/result"
)

// Cause is the reason for which a request was lost.
type Cause string

// Causes, in the words of the printed report.
const (
	Retried            Cause = "sent again after a failed attempt"
	PausePrefill       Cause = "pause beside reading"
	PauseBatch         Cause = "pause beside many answers"
	PauseOther         Cause = "pause of the engine, cause not seen"
	HeldForTurn        Cause = "waited at the instance for its turn"
	HeldForSlot        Cause = "waited at the instance for a slot"
	EngineFull         Cause = "waited at an engine without a free slot"
	LaterThanPredicted Cause = "first event later than predicted"
	EnginesBusy        Cause = "engines busy, late as predicted"
	SlowAnswer         Cause = "whole answer late"
	NoCapacity         Cause = "refused: no room"
	NoServer           Cause = "refused: no server ran it"
	NoConfig           Cause = "refused: no configuration yet"
	ShuttingDown       Cause = "refused: shutting down"
	TimedOut           Cause = "its time passed"
	ServerError        Cause = "the server's own failure"
	StreamBroken       Cause = "stream broken off"
	ClientLeftHeld     Cause = "client left while it waited at the instance"
	ClientLeftPlaced   Cause = "client left before or in the answer"
	InstanceLost       Cause = "instance ended under it"
	Unexplained        Cause = "unexplained"
)

// Kinds of request by prompt length in tokens; they only group the rows of the report.
const (
	plainKind    = "plain"
	shortKind    = "below 20k"
	longKind     = "below 80k"
	veryLongKind = "80k and more"

	longTokens, veryLongTokens = 20_000, 80_000
)

// Loss is one lost request.
type Loss struct {
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Prompt   int64     `json:"prompt"`
	Cause    Cause     `json:"cause"`
	// Served is set if the answer was complete but late.
	Served bool `json:"served"`
}

// Report holds the losses found in a set of logs.
type Report struct {
	Start time.Time `json:"start"`
	// Requests counts the requests that the configuration allows, Tokens their prompt tokens.
	Requests int    `json:"requests"`
	Tokens   int64  `json:"tokens"`
	Losses   []Loss `json:"losses"`
}

// request collects the lines of one request.
type request struct {
	id, instance string
	at           time.Time
	prompt       int64
	placed       []explain.Line
	failed       []explain.Line
	held         bool
	end          *explain.Line
}

// Find determines the outcome of each request from lines in any order.
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
		r.addLine(l)
	}
	var out Report
	for _, r := range order {
		out.add(r)
	}
	return out
}

func (r *request) addLine(l explain.Line) {
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
			Request: r.id, Instance: r.instance, At: r.at, Kind: kindOf(r.prompt), Prompt: r.prompt, Cause: cause,
			Served: r.end != nil && r.end.Event == "answered",
		})
	}
}

// cause returns why a request was lost, whether it was lost, and whether it counts:
// requests that the configuration does not allow are left out.
func (r *request) cause() (c Cause, lost, counts bool) {
	if r.end == nil {
		return InstanceLost, true, true
	}
	switch r.end.Event {
	case "answered":
		c, lost = r.lateCause()
		return c, lost, true
	case "refused":
		c, counts = r.refusalCause()
		return c, true, counts
	case "client gone":
		if len(r.placed) == 0 {
			return ClientLeftHeld, true, true
		}
		return ClientLeftPlaced, true, true
	case "stream broken off":
		return StreamBroken, true, true
	default:
		return ServerError, true, true
	}
}

// lateCause compares a complete answer with the latency targets of its route.
func (r *request) lateCause() (Cause, bool) {
	first, target := r.end.Number("first"), r.end.Number("first_target")
	gap, gapTarget := r.end.Number("longest_gap"), r.end.Number("gap_target")
	switch {
	case target <= 0:
		return "", false
	case gapTarget > 0 && gap > gapTarget:
		return r.pauseCause(gapTarget), true
	case first > target:
		return r.firstEventCause(target), true
	default:
		return "", false
	}
}

// minPauseShare is the share of the gap target from which prefill, or a pass of the
// engine, beside an answer counts as the cause of a gap over the target.
const minPauseShare = 0.25

func (r *request) pauseCause(target float64) Cause {
	switch {
	case len(r.failed) > 0:
		return Retried
	case r.end.Number("gap_read") >= minPauseShare*target:
		return PausePrefill
	case r.end.Number("gap_pass") >= minPauseShare*target:
		return PauseBatch
	default:
		return PauseOther
	}
}

// lateFactor is the factor over its prediction from which a first event counts as
// mispredicted.
const lateFactor = 1.5

func (r *request) firstEventCause(target float64) Cause {
	last := r.placed[len(r.placed)-1]
	held, predicted := last.Number("held"), last.Number("predicted")
	waiting, _ := last.Fields["waiting"].(bool)
	switch {
	case r.prompt == 0:
		return SlowAnswer
	case len(r.failed) > 0:
		return Retried
	case held > target/2 && r.prompt >= veryLongTokens:
		return HeldForTurn
	case held > target/2:
		return HeldForSlot
	case waiting:
		return EngineFull
	case r.end.Number("first")-held > lateFactor*predicted:
		return LaterThanPredicted
	default:
		return EnginesBusy
	}
}

// minCountedCode is the lowest result code of a request that counts; lower codes are errors
// of the caller.
const minCountedCode = 2000

// causeByCode maps the result codes of refused requests to causes.
var causeByCode = map[result.Code]Cause{
	result.Overloaded: NoCapacity, result.TooLongForFleet: NoCapacity, result.NoBackend: NoServer, result.NoConfiguration: NoConfig,
	result.Draining: ShuttingDown, result.DeadlineNotRun: TimedOut, result.DeadlinePassed: TimedOut, result.BackendFailed: ServerError,
}

func (r *request) refusalCause() (Cause, bool) {
	code := result.Code(r.end.Number("code"))
	if code < minCountedCode {
		return "", false
	}
	if c, ok := causeByCode[code]; ok {
		return c, true
	}
	return Unexplained, true
}

func kindOf(prompt int64) string {
	switch {
	case prompt <= 0:
		return plainKind
	case prompt < longTokens:
		return shortKind
	case prompt < veryLongTokens:
		return longKind
	default:
		return veryLongKind
	}
}

// Kinds returns the kinds in the order of the report.
func Kinds() []string { return []string{shortKind, longKind, veryLongKind, plainKind} }

// Causes returns the causes of a report in descending order of lost prompt tokens.
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
