// Package bench benchmarks the decision code in virtual time: one event loop
// drives the state machines of several instances and emulated engines, with a
// constant delay per hop. It does not model a network or processes.
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

// Intervals of the loop. An engine failure is detected after three missed
// reports.
const (
	tickInterval          = 20 * time.Millisecond
	reportInterval        = 250 * time.Millisecond
	failureDetectionDelay = 3 * reportInterval
)

// Site describes the simulated fleet.
type Site struct {
	Entries   int
	Engines   []enginecore.Config
	Hop       time.Duration
	NewEntry  func(name string, seed uint64) dispatch.Machine
	Seed      uint64
	ReportAll bool
}

type simEngine struct {
	name          string
	cfg           enginecore.Config
	core          *enginecore.Core
	dead          bool
	stepAt        time.Duration
	stepScheduled bool
	streams       map[string]startedStream
	lastEvent     uint64
}

type startedStream struct {
	entry       string
	partID      string
	attempt     uint32
	lastSegment bool
	request     string
}

// Outcome records the result and timing of one request.
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
	// Lost is set if the entry instance of the request crashed.
	Lost  bool
	entry string
}

// Loop simulates one site in virtual time.
type Loop struct {
	site        Site
	clock       vtime.Queue
	entryNames  []string
	machines    map[string]dispatch.Machine
	engines     map[string]*simEngine
	engineNames []string
	owners      map[string]string
	outcomes    map[string]*Outcome
	Messages    int
	Bytes       int
	pending     int
}

// NewLoop creates a site at virtual time zero.
func NewLoop(site Site) *Loop {
	l := &Loop{site: site, machines: map[string]dispatch.Machine{}, engines: map[string]*simEngine{}, outcomes: map[string]*Outcome{}}
	for i := range site.Entries {
		name := entryName(i)
		l.entryNames = append(l.entryNames, name)
		l.machines[name] = site.NewEntry(name, site.Seed+uint64(i))
	}
	for _, cfg := range site.Engines {
		l.engines[cfg.Name] = &simEngine{name: cfg.Name, cfg: cfg, core: enginecore.New(cfg), streams: map[string]startedStream{}}
		l.engineNames = append(l.engineNames, cfg.Name)
	}
	l.publishDirectory(0)
	for _, n := range l.entryNames {
		l.schedulePeriodic(tickInterval, func(now time.Duration) { l.deliver(now, n, dispatch.Tick{}) })
	}
	for _, n := range l.engineNames {
		l.schedulePeriodic(reportInterval, func(now time.Duration) { l.sendReport(now, l.engines[n]) })
	}
	return l
}

func entryName(i int) string { return string(rune('a'+i)) + "-entry" }

func (l *Loop) schedule(t time.Duration, run func(time.Duration)) {
	l.clock.At(t, func() { run(l.clock.Now()) })
}

func (l *Loop) schedulePeriodic(d time.Duration, run func(time.Duration)) {
	var repeat func(time.Duration)
	repeat = func(now time.Duration) {
		run(now)
		l.schedule(now+d, repeat)
	}
	l.schedule(l.clock.Now(), repeat)
}

// publishDirectory assigns the engines to owners and sends the result to every
// entry.
func (l *Loop) publishDirectory(now time.Duration) {
	l.owners = place.Assign(l.engineNames, l.entryNames)
	var dir dispatch.Directory
	for _, n := range l.engineNames {
		e := l.engines[n]
		dir.Engines = append(dir.Engines, dispatch.EngineInfo{
			Name: n, Models: e.cfg.Models, KVTotal: e.cfg.KVTokens, Owner: l.owners[n],
		})
	}
	for _, n := range l.entryNames {
		l.deliver(now, n, dir)
	}
}

func (l *Loop) sendReport(now time.Duration, e *simEngine) {
	if e.dead {
		return
	}
	owner := l.owners[e.name]
	ev := dispatch.EngineReport{Report: e.core.LaggedReport(now), Events: e.core.Events(now, e.lastEvent)}
	if n := len(ev.Events); n > 0 {
		e.lastEvent = ev.Events[n-1].Seq
	}
	for _, n := range l.entryNames {
		if n == owner || l.site.ReportAll {
			l.schedule(now+l.site.Hop, func(t time.Duration) { l.deliver(t, n, ev) })
		}
	}
}

// Submit schedules the arrival of a request at an entry.
func (l *Loop) Submit(entry int, a Arrival) {
	l.pending++
	l.schedule(a.At, func(now time.Duration) {
		name := l.entryNames[entry%len(l.entryNames)]
		l.outcomes[a.Job.Id] = &Outcome{Arrival: a, At: now, entry: name}
		l.deliver(now, name, dispatch.Arrive{Job: a.Job, Once: a.NonRepeatable})
	})
}

// At schedules a call, such as a fault injection, at virtual time t.
func (l *Loop) At(t time.Duration, run func(*Loop, time.Duration)) {
	l.schedule(t, func(now time.Duration) { run(l, now) })
}

// Run processes events until every request has an outcome or the virtual time
// reaches until.
func (l *Loop) Run(until time.Duration) {
	l.clock.RunUntil(until, func() bool { return l.pending > 0 })
}

// Settle advances virtual time by d after the last request.
func (l *Loop) Settle(d time.Duration) { l.clock.RunUntil(l.clock.Now()+d, vtime.Always) }

func (l *Loop) deliver(now time.Duration, name string, ev dispatch.Event) {
	m := l.machines[name]
	if m == nil {
		return
	}
	for _, a := range m.Step(now, ev) {
		l.perform(now, name, a)
	}
}

func (l *Loop) perform(now time.Duration, name string, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		l.Messages++
		l.Bytes += proto.Size(a.Env)
		l.schedule(now+l.site.Hop, func(t time.Duration) { l.deliver(t, a.To, dispatch.Received{From: name, Env: a.Env}) })
	case dispatch.Start:
		l.schedule(now+l.site.Hop, func(t time.Duration) { l.startStream(t, name, a) })
	case dispatch.Cancel:
		l.schedule(now+l.site.Hop, func(t time.Duration) { l.cancelStream(t, a) })
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
	l.pending--
	if err != nil {
		o.Code, o.NotRun = err.Code, err.NotRun
		return
	}
	o.Answered = true
}

func (l *Loop) startStream(now time.Duration, entry string, a dispatch.Start) {
	e := l.engines[a.Engine]
	sendFault := func(f dispatch.Fault) {
		l.schedule(now+l.site.Hop, func(t time.Duration) {
			l.deliver(t, entry, dispatch.StreamEnd{ID: a.ID, Attempt: a.Attempt, Fault: f})
		})
	}
	if e.dead {
		sendFault(dispatch.NotSent)
		return
	}
	id := dispatch.StreamID(a.ID, a.Attempt)
	if a.Resume {
		if _, ok := e.streams[id]; !ok {
			sendFault(dispatch.Refused)
		}
		return
	}
	o := l.outcomes[a.Request]
	o.Dispatched++
	req := o.engineRequest(a, id)
	if err := e.core.Submit(now, req); err != nil {
		sendFault(dispatch.Refused)
		return
	}
	e.streams[id] = startedStream{entry: entry, partID: a.ID, attempt: a.Attempt, request: a.Request, lastSegment: a.Segment == nil || a.Segment.Last}
	l.scheduleStep(e)
}

func (l *Loop) cancelStream(now time.Duration, a dispatch.Cancel) {
	e := l.engines[a.Engine]
	if e.dead {
		return
	}
	e.core.Cancel(now, a.Stream)
	delete(e.streams, a.Stream)
	l.scheduleStep(e)
}

// scheduleStep schedules the end of the engine's current step.
func (l *Loop) scheduleStep(e *simEngine) {
	at, ok := e.core.Next()
	if !ok || (e.stepScheduled && e.stepAt <= at) {
		return
	}
	e.stepScheduled, e.stepAt = true, at
	l.schedule(at, func(now time.Duration) {
		if e.stepAt != at || !e.stepScheduled {
			return
		}
		e.stepScheduled = false
		l.handleOutputs(now, e, e.core.Advance(now))
		l.scheduleStep(e)
	})
}

func (l *Loop) handleOutputs(now time.Duration, e *simEngine, outs []enginecore.Output) {
	for _, out := range outs {
		st, ok := e.streams[out.ID]
		if !ok {
			continue
		}
		switch {
		case out.Kind == enginecore.Held:
			l.sendToEntry(now, st.entry, dispatch.StreamHeld{ID: st.partID, Attempt: st.attempt})
		case out.Kind == enginecore.Token && out.Seq == 0:
			l.handleFirstToken(now, st, out)
		case out.Kind == enginecore.End:
			delete(e.streams, out.ID)
			l.schedule(now+l.site.Hop, func(t time.Duration) {
				l.finish(t, st.request, nil)
				l.deliver(t, st.entry, dispatch.StreamEnd{ID: st.partID, Attempt: st.attempt})
			})
		}
	}
}

func (l *Loop) handleFirstToken(now time.Duration, st startedStream, out enginecore.Output) {
	l.schedule(now+l.site.Hop, func(t time.Duration) {
		if o := l.outcomes[st.request]; o != nil && st.lastSegment {
			o.First = t
		}
		l.deliver(t, st.entry, dispatch.StreamFirstToken{ID: st.partID, Attempt: st.attempt, Cached: out.Cached})
	})
}

func (l *Loop) sendToEntry(now time.Duration, entry string, ev dispatch.Event) {
	l.schedule(now+l.site.Hop, func(t time.Duration) { l.deliver(t, entry, ev) })
}

// Kill crashes an engine: its state is lost and its connections break at once;
// the entries receive EngineLost after failureDetectionDelay.
func (l *Loop) Kill(now time.Duration, name string) {
	e := l.engines[name]
	e.dead = true
	for id, st := range e.streams {
		delete(e.streams, id)
		l.sendToEntry(now, st.entry, dispatch.StreamEnd{ID: st.partID, Attempt: st.attempt, Fault: dispatch.Broken})
	}
	e.core = enginecore.New(e.cfg)
	l.schedule(now+failureDetectionDelay, func(t time.Duration) {
		for _, n := range l.entryNames {
			l.deliver(t, n, dispatch.EngineLost{Engine: name})
		}
	})
}

// Hang makes an engine stop processing.
func (l *Loop) Hang(now time.Duration, name string) { l.engines[name].core.Hang(now, true) }

// Slow multiplies the step times of an engine.
func (l *Loop) Slow(name string, factor float64) { l.engines[name].core.Slow(factor) }

// KillEntry crashes an entry instance; its unfinished requests count as lost.
func (l *Loop) KillEntry(now time.Duration, name string) {
	delete(l.machines, name)
	for _, o := range l.outcomes {
		if o.entry == name && o.End == 0 {
			o.Lost = true
			o.End = now
			l.pending--
		}
	}
	for i, n := range l.entryNames {
		if n == name {
			l.entryNames = append(l.entryNames[:i:i], l.entryNames[i+1:]...)
		}
	}
	l.publishDirectory(now)
}
