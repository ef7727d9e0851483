// Package passes simulates workloads on the placement of decide/spread in virtual
// time. Its engines follow the published cost formula of a pass: prefill of waiting
// prompts up to a chunk per step, and a stride of steps when requests are in decode.
// Each instance decides by its own view, which peer reports update with a delay.
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

// drainTime is how long a run continues after the last arrival. It exceeds the
// longest deadline.
const drainTime = 20 * time.Second

// request is the state of one client's request during a run.
type request struct {
	attempt
	id      string
	kind    *Kind
	result  *Result
	window  int
	arrived time.Duration
	prompt  int64
	events  int
	// customer is the number of its customer, or noCustomer.
	customer int
	// retried is set after the first refusal; a client retries only once.
	retried bool
	// onHold is set while its instance holds it back.
	onHold bool
	// sent counts the events sent to the client; last is the time of the last one.
	sent       int
	last       time.Duration
	first, gap time.Duration
	ended      bool
	// answered is set when the answer is complete.
	answered bool
}

// kvTokens returns the memory in tokens of the request on the engine that decodes.
func (q *request) kvTokens() int64 { return q.context + int64(q.sent)*int64(q.at.spec.StepsPerPass) }

// world is the state of a run.
type world struct {
	vtime.Queue
	load      Load
	spec      *route.Engine
	servers   []backends.Server
	engines   map[string]*engine
	instances []*instance
	rand      *rand.Rand
	// minPause is the shortest Pause of all kinds.
	minPause time.Duration
	windows  []value
	// customers are the values of each customer.
	customers []value
	// reports counts the reports that instances sent to all of their peers.
	reports int
	// requests are all requests of the run.
	requests []*request
}

// Run simulates a load for a length of virtual time, with its arrival rates
// multiplied by rate. It is deterministic for a seed.
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
	w.customers = make([]value, l.Customers.Count)
	w.startFairness(seed)
	w.minPause = l.Kinds[0].Pause.Std()
	for _, k := range l.Kinds {
		w.minPause = min(w.minPause, k.Pause.Std())
	}
	w.windows = make([]value, int((length+window-1)/window))
	var results []*Result
	for i := range l.Kinds {
		res := &Result{Kind: l.Kinds[i].Name, RefusedAfter: map[spread.Reason]int{}}
		results = append(results, res)
		all := arrivals{kind: &l.Kinds[i], result: res, length: length, rate: rate, customer: w.customer(seed, i)}
		w.draw(all, rand.New(rand.NewPCG(seed, uint64(i))))
		w.greedyArrivals(seed, i, res, length, rate)
	}
	w.RunUntil(length+drainTime, vtime.Always)
	for _, q := range w.requests {
		q.result.outcomes = append(q.result.outcomes, outcome{prompt: q.prompt, answered: q.answered})
	}
	s := summarize(l.Name, results, w.windows)
	s.Reports = float64(w.reports) / float64(l.Instances) / length.Seconds()
	s.Customers = w.customers
	return s
}

// arrivals are the requests of a kind that arrive from a time on until the end of a run.
type arrivals struct {
	kind         *Kind
	result       *Result
	prefix       string
	from, length time.Duration
	// rate is a factor of the kind's rate.
	rate     float64
	customer func() int
}

// draw draws arrivals: a Poisson process at the peak rate, thinned to the rate of each span.
func (w *world) draw(a arrivals, r *rand.Rand) {
	k, peak := a.kind, slices.Max(a.kind.Bursts)
	if k.PerSecond*peak <= 0 {
		return
	}
	for t := a.from; ; {
		t += time.Duration(r.ExpFloat64() / (k.PerSecond * a.rate * peak) * float64(time.Second))
		if t >= a.length {
			return
		}
		if r.Float64() > k.Bursts[int(time.Duration(len(k.Bursts))*t/a.length)]/peak {
			continue
		}
		q := &request{
			id: fmt.Sprintf("%s%s-%d", a.prefix, k.Name, t), kind: k, result: a.result, arrived: t, window: int(t / window),
			prompt: max(40, int64(drawLength(r, k.Prompt))), events: max(1, int(drawLength(r, k.Events))), customer: a.customer(),
		}
		at := w.instances[r.IntN(len(w.instances))]
		w.requests = append(w.requests, q)
		w.At(t, func() {
			a.result.Asked++
			w.addOffered(q)
			at.receiveRequest(q)
		})
	}
}

// drawLength returns a log-normal length with the mean of l, capped at its maximum.
func drawLength(r *rand.Rand, l Length) float64 {
	return min(l.Max, l.Mean*math.Exp(l.Sigma*r.NormFloat64()-l.Sigma*l.Sigma/2))
}

func (w *world) addOffered(q *request) {
	v := value{Offered: q.kind.valueOf(q.prompt, q.kind.AnswerValue)}
	w.addValue(q, v)
}

func (w *world) addEarned(q *request, base float64) {
	v := value{Earned: q.kind.valueOf(q.prompt, base)}
	w.addValue(q, v)
}

func (w *world) addValue(q *request, v value) {
	q.result.Value.add(v)
	w.windows[q.window].add(v)
	if w.countsForCustomer(q) {
		w.customers[q.customer].add(v)
	}
}

// startPass starts a pass on an engine that is idle and has work.
func (w *world) startPass(id string) {
	e := w.engines[id]
	if e.busy {
		return
	}
	length, work := e.beginPass()
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
		e.writers = slices.DeleteFunc(e.writers, func(q *request) bool { return q.ended || q.sent >= q.events })
		for _, p := range e.finishedParts {
			w.finishPart(p.req)
		}
		w.startDecoding(id)
		w.admit(id)
		w.startPass(id)
	})
}

// enqueueRequest adds a request to the queue of the engine that is to answer it.
func (w *world) enqueueRequest(q *request) {
	if q.ended {
		return
	}
	id := q.plan.Writer().ID
	w.engines[id].waiting = append(w.engines[id].waiting, q)
	w.admit(id)
}

// admit starts the prefill of the prompts for which an engine has memory.
func (w *world) admit(id string) {
	for _, q := range w.engines[id].admit() {
		each := max(1, q.prompt/int64(len(q.plan.Parts)))
		for i, p := range q.plan.Parts {
			w.engines[p.Server.ID].add(&part{req: q, left: each, helper: i > 0})
			w.startPass(p.Server.ID)
		}
	}
}

// finishPart records that the prefill of a part is complete. The first event follows
// the last part, once the engine that decodes has a slot.
func (w *world) finishPart(q *request) {
	if q.unreadParts--; q.unreadParts > 0 || q.ended {
		return
	}
	id := q.plan.Writer().ID
	e := w.engines[id]
	e.reading = slices.DeleteFunc(e.reading, func(x *request) bool { return x == q })
	e.queued = append(e.queued, q)
	w.startDecoding(id)
	w.startPass(id)
}

// startDecoding starts decode of the requests for which an engine has slots.
func (w *world) startDecoding(id string) {
	for _, q := range w.engines[id].startDecoding() {
		w.emit(q)
	}
}

// emit sends an event to the client.
func (w *world) emit(q *request) {
	if q.ended {
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

// watch polls a request and ends it when it is complete or its client gives up.
func (w *world) watch(q *request) {
	const pollInterval = 10 * time.Millisecond
	switch {
	case q.ended:
	case q.sent >= q.events:
		q.at.end(q)
		w.score(q)
	case w.Now()-q.arrived > q.kind.Deadline.Std() || w.Now()-q.last > q.kind.idleTimeout():
		q.at.end(q)
		q.result.GivenUp++
	default:
		w.After(pollInterval, func() { w.watch(q) })
	}
}

func (w *world) score(q *request) {
	res := q.result
	q.answered = true
	res.firsts, res.gaps = append(res.firsts, q.first), append(res.gaps, q.gap)
	if q.first <= q.kind.First.Std() && q.gap <= q.kind.Pause.Std() {
		res.InTime++
		w.addEarned(q, q.kind.AnswerValue)
		return
	}
	res.Late++
	w.addEarned(q, q.kind.LateValue)
}

// Series describes the runs of Play.
type Series struct {
	Loads []Load
	// Each load is run with Seeds consecutive seeds, starting with Seed.
	Seed  uint64
	Seeds int
	// Length is the virtual time of a run, Rate a factor for the arrival rates.
	Length time.Duration
	Rate   float64
}

// Play runs loads concurrently and returns their summaries in the order of the loads,
// so that the result does not depend on scheduling.
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
