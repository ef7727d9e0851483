// Package passes plays loads against the placing of decide/spread in virtual
// time. Its engines follow the published formula of a pass: all waiting reading
// up to a chunk a step, and a stride of token steps when an engine writes. Each
// instance decides by its own view, to which the others' reports come late.
package passes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// drainFor is how long requests may go on after the last arrival; the longest
// deadline is shorter.
const drainFor = 20 * time.Second

// request is one client's request on its way through a run.
type request struct {
	attempt
	id      string
	kind    *Kind
	result  *Result
	window  int
	arrived time.Duration
	prompt  int64
	events  int
	// refused tells that it was turned away once; its client comes back once.
	refused bool
	// waits tells that its instance holds it back.
	waits bool
	// sent counts the events that reached the client; last is when.
	sent       int
	last       time.Duration
	first, gap time.Duration
	over       bool
	// answered tells that the answer was whole.
	answered bool
}

// held is the memory of the request at the engine that writes its answer.
func (q *request) held() int64 { return q.context + int64(q.sent)*int64(q.at.spec.StepsPerPass) }

// world is a run in progress.
type world struct {
	vtime.Queue
	load      Load
	spec      *route.Engine
	servers   []backends.Server
	engines   map[string]*engine
	instances []*instance
	rand      *rand.Rand
	// tightest is the shortest useful pause of all kinds.
	tightest time.Duration
	windows  []value
	// reports counts what instances told all of their peers.
	reports int
	// asked are all requests of the run.
	asked []*request
}

// Run plays a load for a length of virtual time, with its rates times rate. The
// same seed gives the same result.
func Run(l Load, seed uint64, length time.Duration, rate float64) Summary {
	w := &world{load: l, spec: l.Engines.spec(), engines: map[string]*engine{}, rand: rand.New(rand.NewPCG(seed, math.MaxUint64))}
	for i := range l.Engines.Count {
		id := fmt.Sprintf("e%03d", i)
		w.servers = append(w.servers, backends.Server{ID: id, Addr: id, Slots: l.Engines.Slots})
		w.engines[id] = &engine{spec: w.spec, reserved: map[*request]int64{}}
	}
	for i := range l.Instances {
		w.instances = append(w.instances, newInstance(w, i))
	}
	w.tightest = l.Kinds[0].Pause.Std()
	for _, k := range l.Kinds {
		w.tightest = min(w.tightest, k.Pause.Std())
	}
	w.windows = make([]value, int((length+window-1)/window))
	var results []*Result
	for i := range l.Kinds {
		res := &Result{Kind: l.Kinds[i].Name, RefusedAfter: map[spread.Reason]int{}}
		results = append(results, res)
		w.arrivals(&l.Kinds[i], res, rand.New(rand.NewPCG(seed, uint64(i))), length, rate)
	}
	w.RunUntil(length+drainFor, vtime.Always)
	for _, q := range w.asked {
		q.result.fates = append(q.result.fates, fate{prompt: q.prompt, answered: q.answered})
	}
	s := summarize(l.Name, results, w.windows)
	s.Reports = float64(w.reports) / float64(l.Instances) / length.Seconds()
	return s
}

// arrivals draws the requests of a kind. They come at the highest rate and are
// thinned to that of their span.
func (w *world) arrivals(k *Kind, res *Result, r *rand.Rand, length time.Duration, rate float64) {
	most := slices.Max(k.Bursts)
	if k.PerSecond*most <= 0 {
		return
	}
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / (k.PerSecond * rate * most) * float64(time.Second))
		if t >= length {
			return
		}
		if r.Float64() > k.Bursts[int(time.Duration(len(k.Bursts))*t/length)]/most {
			continue
		}
		q := &request{
			id: fmt.Sprintf("%s-%d", k.Name, t), kind: k, result: res, arrived: t, window: int(t / window),
			prompt: max(40, int64(draw(r, k.Prompt))), events: max(1, int(draw(r, k.Events))),
		}
		at := w.instances[r.IntN(len(w.instances))]
		w.asked = append(w.asked, q)
		w.At(t, func() {
			res.Asked++
			w.owe(q)
			at.arrive(q)
		})
	}
}

// draw returns a log-normal length of the given mean.
func draw(r *rand.Rand, l Length) float64 {
	return min(l.Most, l.Mean*math.Exp(l.Spread*r.NormFloat64()-l.Spread*l.Spread/2))
}

func (w *world) owe(q *request) {
	v := value{Owed: q.kind.worth(q.prompt, q.kind.Worth)}
	q.result.Value.add(v)
	w.windows[q.window].add(v)
}

func (w *world) earn(q *request, base float64) {
	v := value{Earned: q.kind.worth(q.prompt, base)}
	q.result.Value.add(v)
	w.windows[q.window].add(v)
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
	w.After(length, func() {
		e.busy = false
		for _, q := range writers {
			w.emit(q)
		}
		e.writers = slices.DeleteFunc(e.writers, func(q *request) bool { return q.over || q.sent >= q.events })
		for _, p := range e.read {
			w.partRead(p.req)
		}
		w.write(id)
		w.admit(id)
		w.pass(id)
	})
}

// arrive hands an engine a request that it is to answer.
func (w *world) arrive(q *request) {
	if q.over {
		return
	}
	id := q.plan.Writer().ID
	w.engines[id].waiting = append(w.engines[id].waiting, q)
	w.admit(id)
}

// admit has the prompts read for which an engine has memory.
func (w *world) admit(id string) {
	for _, q := range w.engines[id].admit() {
		each := max(1, q.prompt/int64(len(q.plan.Parts)))
		for i, p := range q.plan.Parts {
			w.engines[p.Server.ID].add(&part{req: q, left: each, helper: i > 0})
			w.pass(p.Server.ID)
		}
	}
}

// partRead notes that a part of a prompt is read. The first event follows the
// last part, once the engine that writes has a slot.
func (w *world) partRead(q *request) {
	if q.unread--; q.unread > 0 || q.over {
		return
	}
	id := q.plan.Writer().ID
	e := w.engines[id]
	e.reading = slices.DeleteFunc(e.reading, func(x *request) bool { return x == q })
	e.queued = append(e.queued, q)
	w.write(id)
	w.pass(id)
}

// write has an engine begin the answers for which it has slots.
func (w *world) write(id string) {
	for _, q := range w.engines[id].write() {
		w.emit(q)
	}
}

// emit sends an event to the client.
func (w *world) emit(q *request) {
	if q.over {
		return
	}
	if q.sent == 0 {
		q.first = w.Now() + 2*w.load.Hop.Std() - q.arrived
		w.After(w.load.Hop.Std(), func() { q.at.firstEvent(q) })
	} else {
		q.gap = max(q.gap, w.Now()-q.last)
	}
	q.sent++
	q.last = w.Now()
}

// watch ends a request when it is complete or its client gives up.
func (w *world) watch(q *request) {
	const look = 10 * time.Millisecond
	switch {
	case q.over:
	case q.sent >= q.events:
		q.at.end(q)
		w.score(q)
	case w.Now()-q.arrived > q.kind.Deadline.Std() || w.Now()-q.last > q.kind.patience():
		q.at.end(q)
		q.result.GivenUp++
	default:
		w.After(look, func() { w.watch(q) })
	}
}

func (w *world) score(q *request) {
	res := q.result
	q.answered = true
	res.firsts, res.gaps = append(res.firsts, q.first), append(res.gaps, q.gap)
	if q.first <= q.kind.First.Std() && q.gap <= q.kind.Pause.Std() {
		res.InTime++
		w.earn(q, q.kind.Worth)
		return
	}
	res.Late++
	w.earn(q, q.kind.LateWorth)
}

// Series is what Play runs.
type Series struct {
	Loads []Load
	// Seed is the first of Seeds seeds that each load is run with.
	Seed  uint64
	Seeds int
	// Length is the virtual time of a run, Rate a factor of the loads' rates.
	Length time.Duration
	Rate   float64
}

// Play runs loads at the same time and returns a summary of each in their order,
// so that the result does not depend on the machine.
func Play(p Series) []Summary {
	runs := make([][]Summary, len(p.Loads))
	var wg sync.WaitGroup
	free := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i, l := range p.Loads {
		runs[i] = make([]Summary, p.Seeds)
		for j := range p.Seeds {
			free <- struct{}{}
			wg.Go(func() {
				defer func() { <-free }()
				runs[i][j] = Run(l, p.Seed+uint64(j), p.Length, p.Rate)
			})
		}
	}
	wg.Wait()
	out := make([]Summary, len(runs))
	for i := range runs {
		out[i] = Merge(runs[i])
	}
	return out
}
