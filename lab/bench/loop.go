// Package bench measures the decision code in virtual time: one event loop
// drives the machines of several instances and emulated engines, with a
// constant delay for every hop. It models no network and no processes.
package bench

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// Periods of the loop.
const (
	tickEvery   = 20 * time.Millisecond
	reportEvery = 250 * time.Millisecond
	lostAfter   = 3 * reportEvery
)

// Site is the fleet under measurement.
type Site struct {
	Entries   int
	Engines   []enginecore.Config
	Hop       time.Duration
	NewEntry  func(name string, seed uint64) dispatch.Machine
	Seed      uint64
	ReportAll bool
}

type simEngine struct {
	name    string
	cfg     enginecore.Config
	core    *enginecore.Core
	dead    bool
	wakeAt  time.Duration
	waking  bool
	streams map[string]startedStream
	seq     uint64
}

type startedStream struct {
	entry   string
	part    string
	attempt uint32
	last    bool
	request string
}

// Outcome is what happened to one request.
type Outcome struct {
	Arrival
	At         time.Duration
	First      time.Duration
	End        time.Duration
	Code       result.Code
	NotRun     bool
	Answered   bool
	Duplicates int
	Dispatched int
	// Lost tells that the instance serving the caller died.
	Lost  bool
	entry string
}

// Loop runs one site in virtual time.
type Loop struct {
	site     Site
	clock    vtime.Queue
	names    []string
	machines map[string]dispatch.Machine
	engines  map[string]*simEngine
	order    []string
	owners   map[string]string
	outcomes map[string]*Outcome
	Messages int
	Bytes    int
	open     int
}

// NewLoop builds a site at time zero.
func NewLoop(site Site) *Loop {
	l := &Loop{site: site, machines: map[string]dispatch.Machine{}, engines: map[string]*simEngine{}, outcomes: map[string]*Outcome{}}
	for i := range site.Entries {
		name := entryName(i)
		l.names = append(l.names, name)
		l.machines[name] = site.NewEntry(name, site.Seed+uint64(i))
	}
	for _, cfg := range site.Engines {
		l.engines[cfg.Name] = &simEngine{name: cfg.Name, cfg: cfg, core: enginecore.New(cfg), streams: map[string]startedStream{}}
		l.order = append(l.order, cfg.Name)
	}
	l.publish(0)
	for _, n := range l.names {
		l.every(tickEvery, func(now time.Duration) { l.step(now, n, dispatch.Tick{}) })
	}
	for _, n := range l.order {
		l.every(reportEvery, func(now time.Duration) { l.report(now, l.engines[n]) })
	}
	return l
}

func entryName(i int) string { return string(rune('a'+i)) + "-entry" }

func (l *Loop) at(t time.Duration, run func(time.Duration)) {
	l.clock.At(t, func() { run(l.clock.Now()) })
}

func (l *Loop) every(d time.Duration, run func(time.Duration)) {
	var again func(time.Duration)
	again = func(now time.Duration) {
		run(now)
		l.at(now+d, again)
	}
	l.at(l.clock.Now(), again)
}

// publish tells every machine the engines and their owners.
func (l *Loop) publish(now time.Duration) {
	l.owners = place.Assign(l.order, l.names)
	var dir dispatch.Directory
	for _, n := range l.order {
		e := l.engines[n]
		dir.Engines = append(dir.Engines, dispatch.EngineInfo{
			Name: n, Models: e.cfg.Models, KVTotal: e.cfg.KVTokens, Owner: l.owners[n],
		})
	}
	for _, n := range l.names {
		l.step(now, n, dir)
	}
}

func (l *Loop) report(now time.Duration, e *simEngine) {
	if e.dead {
		return
	}
	owner := l.owners[e.name]
	ev := dispatch.EngineReport{Report: e.core.LaggedReport(now), Events: e.core.Events(now, e.seq)}
	if n := len(ev.Events); n > 0 {
		e.seq = ev.Events[n-1].Seq
	}
	for _, n := range l.names {
		if n == owner || l.site.ReportAll {
			l.at(now+l.site.Hop, func(t time.Duration) { l.step(t, n, ev) })
		}
	}
}

// Submit schedules the arrival of a request at an entry.
func (l *Loop) Submit(entry int, a Arrival) {
	l.open++
	l.at(a.At, func(now time.Duration) {
		name := l.names[entry%len(l.names)]
		l.outcomes[a.Job.Id] = &Outcome{Arrival: a, At: now, entry: name}
		l.step(now, name, dispatch.Arrive{Job: a.Job, Once: a.Once})
	})
}

// At schedules a fault.
func (l *Loop) At(t time.Duration, run func(*Loop, time.Duration)) {
	l.at(t, func(now time.Duration) { run(l, now) })
}

// Run processes events until every request has an outcome or until passes.
func (l *Loop) Run(until time.Duration) {
	l.clock.RunUntil(until, func() bool { return l.open > 0 })
}

// Settle lets time pass after the last request.
func (l *Loop) Settle(d time.Duration) { l.clock.RunUntil(l.clock.Now()+d, vtime.Always) }

func (l *Loop) step(now time.Duration, name string, ev dispatch.Event) {
	m := l.machines[name]
	if m == nil {
		return
	}
	for _, a := range m.Step(now, ev) {
		l.act(now, name, a)
	}
}

func (l *Loop) act(now time.Duration, name string, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		l.Messages++
		l.Bytes += proto.Size(a.Env)
		l.at(now+l.site.Hop, func(t time.Duration) { l.step(t, a.To, dispatch.Received{From: name, Env: a.Env}) })
	case dispatch.Start:
		l.at(now+l.site.Hop, func(t time.Duration) { l.start(t, name, a) })
	case dispatch.Cancel:
		l.at(now+l.site.Hop, func(t time.Duration) { l.cancel(t, a) })
	case dispatch.Finish:
		l.finish(now, a.ID, a.Err)
	}
}

func (l *Loop) finish(now time.Duration, id string, err *result.Error) {
	o := l.outcomes[id]
	if o == nil || o.End > 0 {
		if o != nil && !o.Lost {
			o.Duplicates++
		}
		return
	}
	o.End = now
	l.open--
	if err != nil {
		o.Code, o.NotRun = err.Code, err.NotRun
		return
	}
	o.Answered = true
}

func (l *Loop) start(now time.Duration, entry string, a dispatch.Start) {
	e := l.engines[a.Engine]
	fault := func(f dispatch.Fault) {
		l.at(now+l.site.Hop, func(t time.Duration) {
			l.step(t, entry, dispatch.StreamEnd{ID: a.ID, Attempt: a.Attempt, Fault: f})
		})
	}
	if e.dead {
		fault(dispatch.NotSent)
		return
	}
	id := dispatch.StreamID(a.ID, a.Attempt)
	if a.Resume {
		if _, ok := e.streams[id]; !ok {
			fault(dispatch.Refused)
		}
		return
	}
	o := l.outcomes[a.Request]
	o.Dispatched++
	req := o.engineRequest(a, id)
	if err := e.core.Submit(now, req); err != nil {
		fault(dispatch.Refused)
		return
	}
	e.streams[id] = startedStream{entry: entry, part: a.ID, attempt: a.Attempt, request: a.Request, last: a.Segment == nil || a.Segment.Last}
	l.wake(e)
}

func (l *Loop) cancel(now time.Duration, a dispatch.Cancel) {
	e := l.engines[a.Engine]
	if e.dead {
		return
	}
	e.core.Cancel(now, a.Stream)
	delete(e.streams, a.Stream)
	l.wake(e)
}

// wake schedules the end of the engine's step in progress.
func (l *Loop) wake(e *simEngine) {
	at, ok := e.core.Next()
	if !ok || (e.waking && e.wakeAt <= at) {
		return
	}
	e.waking, e.wakeAt = true, at
	l.at(at, func(now time.Duration) {
		if e.wakeAt != at || !e.waking {
			return
		}
		e.waking = false
		l.outputs(now, e, e.core.Advance(now))
		l.wake(e)
	})
}

func (l *Loop) outputs(now time.Duration, e *simEngine, outs []enginecore.Output) {
	for _, out := range outs {
		st, ok := e.streams[out.ID]
		if !ok {
			continue
		}
		switch {
		case out.Kind == enginecore.Held:
			l.toEntry(now, st.entry, dispatch.StreamHeld{ID: st.part, Attempt: st.attempt})
		case out.Kind == enginecore.Token && out.Seq == 0:
			l.firstToken(now, st, out)
		case out.Kind == enginecore.End:
			delete(e.streams, out.ID)
			l.at(now+l.site.Hop, func(t time.Duration) {
				l.finish(t, st.request, nil)
				l.step(t, st.entry, dispatch.StreamEnd{ID: st.part, Attempt: st.attempt})
			})
		}
	}
}

func (l *Loop) firstToken(now time.Duration, st startedStream, out enginecore.Output) {
	l.at(now+l.site.Hop, func(t time.Duration) {
		if o := l.outcomes[st.request]; o != nil && st.last {
			o.First = t
		}
		l.step(t, st.entry, dispatch.StreamFirstToken{ID: st.part, Attempt: st.attempt, Cached: out.Cached})
	})
}

func (l *Loop) toEntry(now time.Duration, entry string, ev dispatch.Event) {
	l.at(now+l.site.Hop, func(t time.Duration) { l.step(t, entry, ev) })
}

// Kill makes an engine lose everything; its connections break at once and its
// owner notices after a few polls.
func (l *Loop) Kill(now time.Duration, name string) {
	e := l.engines[name]
	e.dead = true
	for id, st := range e.streams {
		delete(e.streams, id)
		l.toEntry(now, st.entry, dispatch.StreamEnd{ID: st.part, Attempt: st.attempt, Fault: dispatch.Broken})
	}
	e.core = enginecore.New(e.cfg)
	l.at(now+lostAfter, func(t time.Duration) {
		for _, n := range l.names {
			l.step(t, n, dispatch.EngineLost{Engine: name})
		}
	})
}

// Hang stops an engine's work, Slow stretches its steps.
func (l *Loop) Hang(now time.Duration, name string) { l.engines[name].core.Hang(now, true) }

// Slow multiplies the step times of an engine.
func (l *Loop) Slow(name string, factor float64) { l.engines[name].core.Slow(factor) }

// KillEntry removes an instance; its requests have no outcome any more.
func (l *Loop) KillEntry(now time.Duration, name string) {
	delete(l.machines, name)
	for _, o := range l.outcomes {
		if o.entry == name && o.End == 0 {
			o.Lost = true
			o.End = now
			l.open--
		}
	}
	for i, n := range l.names {
		if n == name {
			l.names = append(l.names[:i:i], l.names[i+1:]...)
		}
	}
	l.publish(now)
}
