package bench

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// baseline is a machine in which every entry places requests by itself and the
// engines run them in order of arrival. It has no admission, no retry and no
// gang.
type baseline struct {
	pick    func(b *baseline, fits []dispatch.EngineInfo) dispatch.EngineInfo
	rand    *rand.Rand
	engines []dispatch.EngineInfo
	load    map[string]int
	next    int
	open    map[string]*baseRequest
	order   []*baseRequest
	queued  map[string]int
	out     []dispatch.Action
}

type baseRequest struct {
	id       string
	engine   string
	deadline time.Duration
}

func newBaseline(pick func(*baseline, []dispatch.EngineInfo) dispatch.EngineInfo) func(string, uint64) dispatch.Machine {
	return func(_ string, seed uint64) dispatch.Machine {
		return &baseline{
			pick: pick, rand: rand.New(rand.NewPCG(seed, 7)), load: map[string]int{},
			open: map[string]*baseRequest{}, queued: map[string]int{}, next: int(seed),
		}
	}
}

// Step implements dispatch.Machine.
func (b *baseline) Step(now time.Duration, ev dispatch.Event) []dispatch.Action {
	b.out = b.out[:0]
	switch ev := ev.(type) {
	case dispatch.Directory:
		b.engines = ev.Engines
	case dispatch.EngineReport:
		b.queued[ev.Report.Engine] = ev.Report.Queued + ev.Report.Running
	case dispatch.Arrive:
		b.arrive(now, ev.Job)
	case dispatch.StreamEnd:
		b.ended(now, ev)
	case dispatch.Tick:
		b.expire(now)
	}
	return b.out
}

func (b *baseline) arrive(now time.Duration, j *peerpb.Job) {
	var fits []dispatch.EngineInfo
	for _, e := range b.engines {
		if e.KVTotal >= j.PromptTokens+j.MaxTokens {
			fits = append(fits, e)
		}
	}
	if len(fits) == 0 {
		b.out = append(b.out, dispatch.Finish{ID: j.Id, Err: result.New(result.TooLongForFleet, "no engine is large enough")})
		return
	}
	e := b.pick(b, fits)
	r := &baseRequest{id: j.Id, engine: e.Name, deadline: now + time.Duration(j.RemainingUs)*time.Microsecond}
	b.open[j.Id] = r
	b.order = append(b.order, r)
	b.load[e.Name]++
	b.out = append(b.out, dispatch.Start{Request: j.Id, ID: j.Id, Attempt: 1, Engine: e.Name, Priority: now.Microseconds()})
}

func (b *baseline) ended(_ time.Duration, ev dispatch.StreamEnd) {
	r := b.open[ev.ID]
	if r == nil {
		return
	}
	delete(b.open, ev.ID)
	b.load[r.engine]--
	if ev.Fault != dispatch.NoFault {
		b.out = append(b.out, dispatch.Finish{ID: ev.ID, Err: result.New(result.BackendFailed, "the engine failed")})
	}
}

func (b *baseline) expire(now time.Duration) {
	kept := b.order[:0]
	for _, r := range b.order {
		switch {
		case b.open[r.id] != r:
		case now < r.deadline:
			kept = append(kept, r)
		default:
			delete(b.open, r.id)
			b.load[r.engine]--
			b.out = append(b.out, dispatch.Cancel{Engine: r.engine, Stream: dispatch.StreamID(r.id, 1)},
				dispatch.Finish{ID: r.id, Err: result.New(result.DeadlinePassed, "the time limit passed")})
		}
	}
	b.order = kept
}

func pickRoundRobin(b *baseline, fits []dispatch.EngineInfo) dispatch.EngineInfo {
	b.next++
	return fits[b.next%len(fits)]
}

func pickLeastOutstanding(b *baseline, fits []dispatch.EngineInfo) dispatch.EngineInfo {
	best := fits[b.rand.IntN(len(fits))]
	for _, e := range fits {
		if b.load[e.Name] < b.load[best.Name] {
			best = e
		}
	}
	return best
}

// pickTwoReports is power of two choices on lagging load reports.
func pickTwoReports(b *baseline, fits []dispatch.EngineInfo) dispatch.EngineInfo {
	x, y := fits[b.rand.IntN(len(fits))], fits[b.rand.IntN(len(fits))]
	if b.queued[y.Name] < b.queued[x.Name] {
		return y
	}
	return x
}
