package bench

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// baseline is a machine that places requests without coordination between the
// entries, on engines that run them in order of arrival. It has no admission
// control, retries or gangs.
type baseline struct {
	pick         func(b *baseline, candidates []dispatch.EngineInfo) dispatch.EngineInfo
	rand         *rand.Rand
	engines      []dispatch.EngineInfo
	outstanding  map[string]int
	nextEngine   int
	active       map[string]*baselineRequest
	byArrival    []*baselineRequest
	reportedLoad map[string]int
	actions      []dispatch.Action
}

type baselineRequest struct {
	id       string
	engine   string
	deadline time.Duration
}

func newBaseline(pick func(*baseline, []dispatch.EngineInfo) dispatch.EngineInfo) func(string, uint64) dispatch.Machine {
	return func(_ string, seed uint64) dispatch.Machine {
		return &baseline{
			pick: pick, rand: rand.New(rand.NewPCG(seed, 7)), outstanding: map[string]int{},
			active: map[string]*baselineRequest{}, reportedLoad: map[string]int{}, nextEngine: int(seed),
		}
	}
}

// Step implements dispatch.Machine.
func (b *baseline) Step(now time.Duration, ev dispatch.Event) []dispatch.Action {
	b.actions = b.actions[:0]
	switch ev := ev.(type) {
	case dispatch.Directory:
		b.engines = ev.Engines
	case dispatch.EngineReport:
		b.reportedLoad[ev.Report.Engine] = ev.Report.Queued + ev.Report.Running
	case dispatch.Arrive:
		b.handleArrival(now, ev.Job)
	case dispatch.StreamEnd:
		b.handleStreamEnd(now, ev)
	case dispatch.Tick:
		b.expire(now)
	}
	return b.actions
}

func (b *baseline) handleArrival(now time.Duration, j *peerpb.Job) {
	var candidates []dispatch.EngineInfo
	for _, e := range b.engines {
		if e.KVTotal >= j.PromptTokens+j.MaxTokens {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		b.actions = append(b.actions, dispatch.Finish{ID: j.Id, Err: result.New(result.TooLongForFleet, "no engine is large enough")})
		return
	}
	e := b.pick(b, candidates)
	r := &baselineRequest{id: j.Id, engine: e.Name, deadline: now + time.Duration(j.RemainingUs)*time.Microsecond}
	b.active[j.Id] = r
	b.byArrival = append(b.byArrival, r)
	b.outstanding[e.Name]++
	b.actions = append(b.actions, dispatch.Start{Request: j.Id, ID: j.Id, Attempt: 1, Engine: e.Name, Priority: now.Microseconds()})
}

func (b *baseline) handleStreamEnd(_ time.Duration, ev dispatch.StreamEnd) {
	r := b.active[ev.ID]
	if r == nil {
		return
	}
	delete(b.active, ev.ID)
	b.outstanding[r.engine]--
	if ev.Fault != dispatch.NoFault {
		b.actions = append(b.actions, dispatch.Finish{ID: ev.ID, Err: result.New(result.BackendFailed, "the engine failed")})
	}
}

func (b *baseline) expire(now time.Duration) {
	kept := b.byArrival[:0]
	for _, r := range b.byArrival {
		switch {
		case b.active[r.id] != r:
		case now < r.deadline:
			kept = append(kept, r)
		default:
			delete(b.active, r.id)
			b.outstanding[r.engine]--
			b.actions = append(b.actions, dispatch.Cancel{Engine: r.engine, Stream: dispatch.StreamID(r.id, 1)},
				dispatch.Finish{ID: r.id, Err: result.New(result.DeadlinePassed, "the time limit passed")})
		}
	}
	b.byArrival = kept
}

func pickRoundRobin(b *baseline, candidates []dispatch.EngineInfo) dispatch.EngineInfo {
	b.nextEngine++
	return candidates[b.nextEngine%len(candidates)]
}

func pickLeastOutstanding(b *baseline, candidates []dispatch.EngineInfo) dispatch.EngineInfo {
	best := candidates[b.rand.IntN(len(candidates))]
	for _, e := range candidates {
		if b.outstanding[e.Name] < b.outstanding[best.Name] {
			best = e
		}
	}
	return best
}

// pickPowerOfTwo picks the less loaded of two random engines by lagging load
// reports.
func pickPowerOfTwo(b *baseline, candidates []dispatch.EngineInfo) dispatch.EngineInfo {
	x, y := candidates[b.rand.IntN(len(candidates))], candidates[b.rand.IntN(len(candidates))]
	if b.reportedLoad[y.Name] < b.reportedLoad[x.Name] {
		return y
	}
	return x
}
