package passes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// drainFor is how long requests may go on after the last arrival; the longest
// deadline is shorter.
const drainFor = 20 * time.Second

// lookAgain is how often a request that is held back is placed again.
const lookAgain = 15 * time.Millisecond

// hop is the time between an entry and an engine.
const hop = 2 * time.Millisecond

// request is one request on its way through a run.
type request struct {
	kind    *Kind
	arrived time.Duration
	prompt  int64
	events  int
	plan    spread.Plan
	// unread counts the parts that are still being read.
	unread  int
	context int64
	// sent counts the events that reached the client; last is when.
	sent       int
	last       time.Duration
	first, gap time.Duration
	over       bool
}

// Result is what callers of one kind got.
type Result struct {
	Kind                       string
	Asked, InTime, Late        int
	Refused, GivenUp           int
	Owed, Earned               float64
	FirstP50, FirstP99, GapP99 time.Duration
	firsts, gaps               []time.Duration
}

// Share is the earned part of the value owed.
func (r Result) Share() float64 {
	if r.Owed == 0 {
		return 1
	}
	return r.Earned / r.Owed
}

// world is a run in progress.
type world struct {
	vtime.Queue
	servers []backends.Server
	engines map[string]*engine
	ledger  *spread.Ledger
	meter   spread.Meter
	results []*Result
}

// Run plays a site for a length of virtual time, with its rates times load. The
// same seed gives the same result.
func Run(s Site, seed uint64, length time.Duration, load float64) []Result {
	w := &world{engines: map[string]*engine{}, ledger: spread.NewLedger()}
	for i := range s.Engines {
		id := fmt.Sprintf("e%02d", i)
		w.servers = append(w.servers, backends.Server{ID: id, Addr: id, Slots: engineSpec.Slots})
		w.engines[id] = &engine{spec: engineSpec}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.PerSecond *= load
		w.results = append(w.results, &Result{Kind: k.Name})
		w.arrivals(k, w.results[i], rand.New(rand.NewPCG(seed, uint64(i))), length)
	}
	w.RunUntil(length+drainFor, func() bool { return true })
	var out []Result
	for _, r := range w.results {
		r.percentiles()
		out = append(out, *r)
	}
	return out
}

func percentile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

func (w *world) arrivals(k *Kind, res *Result, r *rand.Rand, length time.Duration) {
	most := slices.Max(k.Bursts[:])
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / (k.PerSecond * most) * float64(time.Second))
		if t >= length {
			return
		}
		// Arrivals come at the highest rate and are thinned to that of the third.
		if r.Float64() > k.Bursts[int(3*t/length)]/most {
			continue
		}
		q := &request{
			kind: k, arrived: t, prompt: max(40, int64(draw(r, k.Prompt, k.PromptSpread, k.PromptMost))),
			events: max(1, int(draw(r, k.Events, k.EventsSpread, k.EventsMost))),
		}
		w.At(t, func() { w.arrive(q, res) })
	}
}

func (w *world) arrive(q *request, res *Result) {
	res.Asked++
	res.Owed += q.kind.worth(q.prompt, q.kind.Worth)
	w.place(q, res)
}

func (w *world) place(q *request, res *Result) {
	recent := w.meter.Observe(w.Now(), spread.Backlog(w.servers, w.ledger.Of))
	plan, verdict := spread.Choose(engineSpec, w.servers, w.ledger.Of, spread.Request{
		Fleet:  len(w.servers),
		Prompt: q.prompt, Answer: min(int64(q.events)*eventTokens, engineSpec.UsualAnswer),
		Waited: w.Now() - q.arrived, Patience: spread.Patience(q.kind.First, q.kind.Deadline), Recent: recent, Useful: q.kind.First,
	})
	switch verdict {
	case spread.Placed:
	case spread.Hold:
		w.At(w.Now()+lookAgain, func() { w.place(q, res) })
		return
	default:
		res.Refused++
		return
	}
	q.plan, q.unread, q.last = plan, len(plan.Parts), w.Now()
	each := q.prompt / int64(len(plan.Parts))
	for i, p := range plan.Parts {
		w.ledger.Add(p.Server.ID, p.Load)
		w.At(w.Now()+p.ReadBy, func() { w.read(q, i) })
		w.At(w.Now()+hop, func() {
			w.engines[p.Server.ID].add(&part{req: q, left: max(1, each), helper: i > 0})
			w.pass(p.Server.ID)
		})
	}
	q.context = max(each, q.prompt-reserved(plan))
	w.watch(q, res)
}

func reserved(p spread.Plan) (sum int64) {
	for _, part := range p.Parts {
		sum += part.Reserve
	}
	return sum
}

// read takes the reading of one part off the ledger, once.
func (w *world) read(q *request, i int) {
	p := &q.plan.Parts[i]
	w.ledger.Sub(p.Server.ID, spread.Load{Read: p.Load.Read})
	p.Load.Read = 0
}

// pass starts a pass at an engine that is idle.
func (w *world) pass(id string) {
	e := w.engines[id]
	if e.busy {
		return
	}
	length, work := e.begin()
	if !work {
		return
	}
	e.busy = true
	writers := slices.Clone(e.writers)
	w.At(w.Now()+length, func() {
		e.busy = false
		for _, q := range writers {
			w.emit(q)
		}
		e.writers = slices.DeleteFunc(e.writers, func(q *request) bool { return q.over })
		for _, p := range e.read {
			w.partRead(p.req)
		}
		w.pass(id)
	})
}

func (w *world) partRead(q *request) {
	if q.unread--; q.unread > 0 || q.over {
		return
	}
	for i := range q.plan.Parts {
		w.read(q, i)
		p := &q.plan.Parts[i]
		begun := p.Load.Begun()
		w.ledger.Sub(p.Server.ID, begun)
		p.Load = p.Load.Minus(begun)
	}
	id := q.plan.Writer().ID
	e := w.engines[id]
	e.queued = append(e.queued, q)
	w.emit(q)
	w.pass(id)
}

// emit sends an event to the client.
func (w *world) emit(q *request) {
	if q.over {
		return
	}
	if q.sent == 0 {
		q.first = w.Now() + hop - q.arrived
	} else {
		q.gap = max(q.gap, w.Now()-q.last)
	}
	q.sent++
	q.last = w.Now()
}

// watch ends a request when it is complete or its client gives up.
func (w *world) watch(q *request, res *Result) {
	const look = 10 * time.Millisecond
	switch {
	case q.sent >= q.events:
		w.end(q)
		w.score(q, res)
	case w.Now()-q.arrived > q.kind.Deadline || w.Now()-q.last > q.kind.patience():
		w.end(q)
		res.GivenUp++
	default:
		w.At(w.Now()+look, func() { w.watch(q, res) })
	}
}

func (w *world) end(q *request) {
	q.over = true
	for i := range q.plan.Parts {
		w.read(q, i)
		p := &q.plan.Parts[i]
		w.ledger.Sub(p.Server.ID, p.Load)
		p.Load = spread.Load{}
		e := w.engines[p.Server.ID]
		e.parts = slices.DeleteFunc(e.parts, func(x *part) bool { return x.req == q })
		e.queued = slices.DeleteFunc(e.queued, func(x *request) bool { return x == q })
	}
}

func (w *world) score(q *request, res *Result) {
	res.firsts, res.gaps = append(res.firsts, q.first), append(res.gaps, q.gap)
	if q.first <= q.kind.First && q.gap <= q.kind.Gap {
		res.InTime++
		res.Earned += q.kind.worth(q.prompt, q.kind.Worth)
		return
	}
	res.Late++
	res.Earned += q.kind.worth(q.prompt, q.kind.LateWorth)
}

// Merge adds the results of several runs up by kind.
func Merge(runs [][]Result) []Result {
	var out []Result
	for i := range runs[0] {
		sum := Result{Kind: runs[0][i].Kind}
		for _, r := range runs {
			sum.add(r[i])
		}
		sum.percentiles()
		out = append(out, sum)
	}
	return out
}

func (r *Result) add(o Result) {
	r.Asked, r.InTime, r.Late = r.Asked+o.Asked, r.InTime+o.InTime, r.Late+o.Late
	r.Refused, r.GivenUp = r.Refused+o.Refused, r.GivenUp+o.GivenUp
	r.Owed, r.Earned = r.Owed+o.Owed, r.Earned+o.Earned
	r.firsts, r.gaps = append(r.firsts, o.firsts...), append(r.gaps, o.gaps...)
}

func (r *Result) percentiles() {
	r.FirstP50, r.FirstP99, r.GapP99 = percentile(r.firsts, 0.5), percentile(r.firsts, 0.99), percentile(r.gaps, 0.99)
}

// Write prints results as a table.
func Write(out io.Writer, site string, rs []Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SITE\tKIND\tASKED\tIN TIME\tLATE\tREFUSED\tGIVEN UP\tVALUE\tFIRST P50\tP99\tPAUSE P99")
	var owed, earned float64
	for _, r := range rs {
		owed, earned = owed+r.Owed, earned+r.Earned
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d ms\t%d ms\t%d ms\n", site, r.Kind, r.Asked, r.InTime, r.Late, r.Refused, r.GivenUp,
			r.Share(), r.FirstP50.Milliseconds(), r.FirstP99.Milliseconds(), r.GapP99.Milliseconds())
	}
	fmt.Fprintf(w, "%s\tall\t\t\t\t\t\t%.3f\n", site, earned/max(owed, 1e-9))
	return w.Flush()
}
