package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// assessDelay is how long after a change the runs in progress are assessed again: a crash is not
// evidence before all of its runs are reported.
const assessDelay = 45 * time.Millisecond

// Run is a request that may be at a server, with what it has that may crash servers.
type Run struct {
	// Service and Version are those of the servers, Parts are the IDs of the shared parts of its
	// prompt.
	Service, Version string
	Parts            []string
	// Identity returns the request's identity.
	Identity func() poison.Key
	// Tries is the part that the request is the trial of, zero for none.
	Tries blame.Key
	// Cancel takes the request back from its server.
	Cancel func()
	// Hold has the request sent again after a wait, if that is possible; it must not block.
	Hold func()

	keys *blame.Run
	// probe is the permission to be the only run with a suspected part.
	probe blame.Trial
}

// features returns the keys of the run, computed on first use; no run has none.
func (r *Run) features() blame.Run {
	if r == nil {
		return blame.Run{}
	}
	if r.keys == nil {
		id := r.Identity()
		r.keys = &blame.Run{Request: blame.RequestKey(id[:]), Version: blame.VersionOf(r.Version)}
		for _, p := range r.Parts {
			r.keys.Parts = append(r.keys.Parts, blame.PartKey(r.Service, p))
		}
	}
	keys := *r.keys
	keys.Tries, keys.Probes = r.Tries, r.probe.Part
	return keys
}

// withParts calls f with the table of crashes locked and schedules the sharing of changes.
func (q *Quarantine) withParts(f func(*blame.Table)) {
	q.withTable(func(*poison.Table) { f(q.parts) })
}

// AssessParts assesses the parts of a request's prompt before it is sent.
func (q *Quarantine) AssessParts(r *Run) (a blame.Assessment) {
	if q.Off || len(r.Parts) == 0 {
		return a
	}
	q.withParts(func(t *blame.Table) {
		a = t.Assess(q.now(), r.features())
		if a.Verdict == blame.Refused {
			q.names.add(r, q.refused)
		}
	})
	return a
}

// PartID returns the ID of a part of a request's prompt.
func (q *Quarantine) PartID(r *Run, part blame.Key) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, k := range r.features().Parts {
		if k == part {
			return r.Parts[i]
		}
	}
	return part.String()
}

// TryPart asks whether a request may be the trial of a part that is due. A trial that cannot be counted
// in the store is not run.
func (q *Quarantine) TryPart(ctx context.Context, part blame.Key) (p blame.Permission) {
	q.withParts(func(t *blame.Table) { p = t.TryPart(q.now(), part) })
	if p.Granted && !q.useTrial(ctx, part) {
		return blame.Permission{RetryAfter: blame.TrialTimeout}
	}
	if p.Granted {
		q.scope.Counter("part_trials_total").Inc(1)
		q.log.Info("refused part of prompts is tried again", zap.Stringer("part", part))
	}
	return p
}

// ProbePart asks whether a run may be the only one with a suspected part.
func (q *Quarantine) ProbePart(r *Run, part blame.Key) (p blame.Permission) {
	q.withParts(func(t *blame.Table) {
		if p = t.TryPart(q.now(), part); p.Granted {
			r.probe = p.Trial
		}
	})
	if p.Granted {
		q.log.Info("suspected part of prompts is run by one request", zap.Stringer("part", part))
	}
	return p
}

// EndProbe gives back the permission of a run that has ended, if it had one.
func (q *Quarantine) EndProbe(r *Run) {
	if r.probe.Part == 0 {
		return
	}
	q.withParts(func(t *blame.Table) {
		t.Return(r.probe)
		r.probe = blame.Trial{}
	})
}

// addCrashOfParts records the crash of a server while it ran a run. q.mu must be held.
func (q *Quarantine) addCrashOfParts(c poison.Crash, servers int, r *Run) {
	var fresh blame.Run
	if r != nil {
		fresh = r.features()
		q.names.add(r, q.refused)
	}
	q.parts.AddCrash(q.now(), blame.Exit{Server: c.Server, At: c.Ended}, servers, fresh)
}

// logRefused logs which parts are refused from now on, and which are no longer.
func (q *Quarantine) logRefused() {
	q.mu.Lock()
	defer q.mu.Unlock()
	refused := map[blame.Key]bool{}
	for _, p := range q.parts.Refused(q.now()) {
		refused[p.Part] = true
		if !q.refused[p.Part] {
			q.scope.Counter("parts_refused_total").Inc(1)
			q.log.Warn("part of prompts crashes servers, requests with it are refused", zap.Stringer("part", p.Part), zap.String("id", q.names[p.Part]),
				zap.Int("crashes", p.Crashes), zap.Int("companions", p.Companions))
		}
	}
	for k := range q.refused {
		if !refused[k] {
			q.log.Info("part of prompts is no longer refused", zap.Stringer("part", k), zap.String("id", q.names[k]))
		}
	}
	q.refused = refused
	q.scope.Gauge("parts_refused").Update(float64(len(refused)))
}

// RecordWriting records that a server wrote for longer than blame.FreshFor since began, or
// answered, so that the run's parts are not the cause of crashes before.
func (q *Quarantine) RecordWriting(began time.Duration, r *Run) {
	q.withParts(func(t *blame.Table) { t.Clear(began, r.features()) })
}

// Begin registers a run that is about to be sent; it is taken back if one of its parts is
// refused meanwhile. The caller calls end once the run has ended.
func (q *Quarantine) Begin(r *Run) (end func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs[r] = true
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.runs, r)
	}
}

// watchRuns takes runs back whose parts are refused after they were sent.
func (q *Quarantine) watchRuns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.crashed:
		}
		for _, r := range q.runsToHold() {
			r.Hold()
		}
		if !wait.For(ctx, assessDelay) {
			return
		}
		q.logRefused()
		for _, r := range q.refusedRuns() {
			q.scope.Counter("runs_taken_back_total").Inc(1)
			r.Cancel()
		}
		if q.deciding() {
			wake(q.crashed)
		}
	}
}

func (q *Quarantine) deciding() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.parts.Deciding(q.now())
}

// runsWithParts returns the runs whose prompts have shared parts, none if no part is refused. q.mu must
// be held.
func (q *Quarantine) runsWithParts() (out []*Run) {
	if q.Off || len(q.parts.Refused(q.now())) == 0 {
		return nil
	}
	for r := range q.runs {
		if len(r.Parts) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (q *Quarantine) refusedRuns() []*Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	return slices.DeleteFunc(q.runsWithParts(), func(r *Run) bool {
		return q.parts.Assess(now, r.features()).Verdict != blame.Refused
	})
}

// runsToHold returns runs whose parts may be the cause of crashes. Unlike those to cancel they need
// not wait for the reports of all instances.
func (q *Quarantine) runsToHold() []*Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := q.runsWithParts()
	features := make([]blame.Run, len(runs))
	for i, r := range runs {
		features[i] = r.features()
	}
	q.parts.SetInProgress(features)
	now := q.now()
	return slices.DeleteFunc(runs, func(r *Run) bool { return !q.parts.ShouldHold(now, r.features()) })
}

// sendCrashes sends what is known of crashes and what the store holds; zero stands for nothing to tell.
func (q *Quarantine) sendCrashes(peer string, c blame.Changes, stored uint64) {
	if c.Empty() && stored == 0 {
		return
	}
	report := encodeCrashes(q.now(), c)
	report.Stored = stored
	q.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_CrashReport{CrashReport: report}})
}

func (q *Quarantine) mergeCrashes(in *peerpb.CrashReport) {
	q.withParts(func(t *blame.Table) {
		now := q.now()
		c := decodeCrashes(now, in)
		for _, u := range c.Crashes {
			t.Merge(now, u)
		}
		for _, tr := range c.Trials {
			t.MergeTrial(now, tr)
		}
		for _, u := range c.Used {
			t.MergeUsed(now, u)
		}
		q.hearStored(in.Stored)
	})
}
