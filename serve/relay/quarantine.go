package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// examiner finds out why attempts broke. Those that broke at one server at once share an
// examination.
type examiner struct {
	examine func(ctx context.Context, to backend.Endpoint) backend.Condition
	crashes tally.Counter
	shared  singleflight.Group
}

func (e *examiner) condition(s backends.Server) backend.Condition {
	c, _, _ := e.shared.Do(s.ID, func() (any, error) {
		c := e.examine(context.Background(), backend.Endpoint{Server: s.ID, Life: s.Life, Addr: s.Addr})
		if c == backend.ServerEnded {
			e.crashes.Inc(1)
		}
		return c, nil
	})
	return c.(backend.Condition)
}

// examine returns the condition of the server of an attempt that broke with an error. A
// server that is leaving ends with whatever it still runs.
func (x *exchange) examine(s backends.Server, err error) backend.Condition {
	if errors.Is(err, backend.ErrPathLost) {
		return backend.PathLost
	}
	listed, ok := x.relay.catalog.Servers().Get(s.ID)
	if !ok || listed.Leaving {
		return backend.ConditionUnknown
	}
	return x.relay.examiner.condition(s)
}

// features returns the request as the quarantine knows it, at servers of one version.
func (x *exchange) features(version string) *quarantine.Run {
	x.runsMu.Lock()
	defer x.runsMu.Unlock()
	r := x.runs[version]
	if r == nil {
		r = x.newRun(version)
		if x.runs == nil {
			x.runs = map[string]*quarantine.Run{}
		}
		x.runs[version] = r
	}
	if tries := x.triesWith(version); r.Tries != tries {
		// It changes only while no standby runs.
		r.Tries = tries
	}
	return r
}

// triesWith returns the refused part that the request is the trial of at servers of a version, zero for none.
func (x *exchange) triesWith(version string) blame.Key {
	if version != x.triesAt {
		return 0
	}
	return x.tries
}

func (x *exchange) newRun(version string) *quarantine.Run {
	return &quarantine.Run{Service: x.service.Name, Version: version, Parts: x.req.SharedParts, Identity: x.identity}
}

// versions returns the software versions of the service's servers.
func (x *exchange) versions() (out []string) {
	for _, s := range x.relay.catalog.Servers().Ready(x.service.Name) {
		if !slices.Contains(out, s.Version) {
			out = append(out, s.Version)
		}
	}
	return out
}

// withoutRefusing returns the servers of versions that do not crash under the parts of the
// prompt, as far as is known.
func (x *exchange) withoutRefusing(servers []backends.Server) []backends.Server {
	if len(x.refusedVersions) == 0 {
		return servers
	}
	return filterChain{versionFilter{x.refusedVersions}}.apply(servers)
}

// checkQuarantine reports whether the request may be sent. A request that is known to
// crash servers is refused before it takes down another one. A suspect of a recent
// crash first waits for the reports of other instances.
func (x *exchange) checkQuarantine(ctx context.Context) bool {
	q := x.relay.quarantine
	q.AwaitRecord(ctx)
	for !q.Empty() {
		pause, refusal := x.assess(ctx)
		if refusal != nil {
			x.relay.log.Warn("request quarantined, servers crashed while running it", zap.String("request", x.req.ID), zap.Stringer("identity", x.identity()),
				zap.Stringer("code", refusal.Code), zap.String("why", refusal.Message), zap.Duration("retry_after", refusal.RetryAfter))
			x.endWithError(refusal)
			return false
		}
		if pause == 0 {
			return true
		}
		if !wait.For(ctx, pause) {
			x.endInterrupted(ctx, backend.ErrNotSent)
			return false
		}
	}
	return true
}

// assess assesses the request and the parts of its prompt: how long it waits before it is assessed
// again, or why it is refused.
func (x *exchange) assess(ctx context.Context) (pause time.Duration, refusal *result.Error) {
	ruling := x.assessRequest()
	x.suspect = ruling.Verdict == poison.Suspect
	if ruling.Verdict == poison.Poisonous {
		return 0, result.New(result.Quarantined, "%d servers that ran this request crashed, one after the other", ruling.Crashes).WithRetryAfter(ruling.RetryAfter)
	}
	pause, refusal = x.assessParts(ctx)
	return max(pause, ruling.Wait), refusal
}

func (x *exchange) assessRequest() poison.Assessment {
	return x.relay.quarantine.Assess(x.identity(), x.features(""), x.relay.readyCount(x.service.Name))
}

// assessParts assesses the parts of the prompt for each version of the servers. The request goes
// to versions that do not crash under them; if there are none, it waits or is refused.
func (x *exchange) assessParts(ctx context.Context) (pause time.Duration, refusal *result.Error) {
	x.refusedVersions = nil
	if len(x.req.SharedParts) == 0 {
		return 0, nil
	}
	versions := x.versions()
	for _, v := range versions {
		p, r := x.assessAt(ctx, v)
		if p == 0 && r == nil {
			continue
		}
		x.refusedVersions = append(x.refusedVersions, v)
		if r != nil && (refusal == nil || r.RetryAfter < refusal.RetryAfter) {
			refusal = r
		}
		if p > 0 && (pause == 0 || p < pause) {
			pause = p
		}
	}
	if len(x.refusedVersions) < len(versions) {
		return 0, nil
	}
	if pause > 0 {
		return pause, nil
	}
	return 0, refusal
}

// assessAt assesses the parts of the prompt at servers of one version.
func (x *exchange) assessAt(ctx context.Context, version string) (pause time.Duration, refusal *result.Error) {
	q, run := x.relay.quarantine, x.features(version)
	a := q.AssessParts(run)
	switch a.Verdict {
	case blame.Due:
		p := q.TryPart(ctx, a.Part)
		if p.Granted || p.Wait > 0 {
			if p.Granted {
				x.tries, x.triesAt = a.Part, version
			}
			return p.Wait, nil
		}
		a.RetryAfter = p.RetryAfter
	case blame.Probe:
		p := q.ProbePart(run, a.Part)
		if p.Granted {
			// Another part may have to be tried as well.
			return x.assessAt(ctx, version)
		}
		return p.Wait, nil
	case blame.Refused:
	default:
		return a.Wait, nil
	}
	why := "%d servers that began to answer prompts with the part %s crashed"
	return 0, result.New(result.PartQuarantined, why, a.Crashes, q.PartID(run, a.Part)).WithRetryAfter(a.RetryAfter)
}

// quarantined reports whether the request, or a part of its prompt at servers of the given
// version, is by now known to crash servers.
func (x *exchange) quarantined(version string) bool {
	q := x.relay.quarantine
	if q.Empty() {
		return false
	}
	if q.AssessParts(x.features(version)).Verdict == blame.Refused {
		return true
	}
	return x.assessRequest().Verdict == poison.Poisonous
}

// quarantinedEverywhere reports the same for all versions.
func (x *exchange) quarantinedEverywhere() bool {
	return !x.relay.quarantine.Empty() && !slices.ContainsFunc(x.versions(), func(v string) bool { return !x.quarantined(v) })
}

// errPartRefused ends an attempt at a server when a part of the prompt is refused.
var errPartRefused = errors.New("servers crash under a part of the prompt")

// errPartSuspected ends an attempt at a server when a part of the prompt may crash it. The request
// is assessed again and sent once more.
var errPartSuspected = errors.New("servers may crash under a part of the prompt")

// watch has the attempt taken back if a part of its prompt is refused, or suspected, meanwhile.
func (x *exchange) watch(t *try) (end func()) {
	run := x.newRun(t.plan.Writer().Version)
	run.Tries, run.Cancel, run.Hold = x.triesWith(run.Version), func() { t.cancel(errPartRefused) }, func() {}
	if x.state.MayHoldBack() {
		run.Hold = sync.OnceFunc(func() { go x.holdBack(t) })
	}
	return x.relay.quarantine.Begin(run)
}

// holdBack ends an attempt whose answer has not begun, if the retry budget allows another one.
func (x *exchange) holdBack(t *try) {
	if t.answering.Load() || !x.relay.takeRetry(t.ctx, x.service.Name) {
		return
	}
	x.relay.scope.Counter("runs_held_back_total").Inc(1)
	t.cancel(errPartSuspected)
}

// recordWriting tells the quarantine once of an attempt that its server has written for longer
// than it would before a crash.
func (x *exchange) recordWriting(t *try) {
	if t.wroteOn || x.lastEvent-t.firstEventAt < blame.FreshFor {
		return
	}
	t.wroteOn = true
	if q := x.relay.quarantine; !q.Empty() {
		q.RecordWriting(t.firstEventAt, x.features(t.plan.Writer().Version))
	}
}

// recordCrash reports to the quarantine that the server of a broken attempt crashed while it
// ran the request.
func (x *exchange) recordCrash(t *try) {
	x.tries = 0
	defer x.endProbes()
	t.crashed = t.condition == backend.ServerEnded
	if !t.crashed {
		return
	}
	x.anyCrash = true
	x.state.RecordServerEnd()
	id := t.plan.Writer().ID
	c := poison.Crash{Server: poison.ServerHash(id), Began: t.sentAt, Ended: t.brokeAt}
	var fresh *quarantine.Run
	if t.writingTime() < blame.FreshFor {
		fresh = x.features(t.plan.Writer().Version)
	}
	x.relay.quarantine.RecordCrash(x.identity(), c, id, x.relay.readyCount(x.service.Name), fresh)
}

// writingTime is how long events had arrived when the attempt broke.
func (t *try) writingTime() time.Duration {
	if t.firstEventAt == 0 || t.brokeAt < t.firstEventAt {
		return 0
	}
	return t.brokeAt - t.firstEventAt
}

// readyCount counts the servers of a service that may get requests.
func (r *Relay) readyCount(service string) int { return len(r.catalog.Servers().Ready(service)) }

// isolateSuspect restricts a suspect request to the servers with the fewest calls: if
// it crashes one, few other requests are lost and the evidence is clearer. Deep prompts
// are exempt, as they may need several engines.
func (x *exchange) isolateSuspect(servers []backends.Server, load func(string) spread.Load) []backends.Server {
	if !x.suspect || x.isDeep() || len(servers) == 0 {
		return servers
	}
	minCalls := load(servers[0].ID).Calls
	for _, s := range servers {
		minCalls = min(minCalls, load(s.ID).Calls)
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return load(s.ID).Calls > minCalls })
}

// endProbes gives back the permissions of the request to run suspected parts.
func (x *exchange) endProbes() {
	x.runsMu.Lock()
	defer x.runsMu.Unlock()
	for _, r := range x.runs {
		x.relay.quarantine.EndProbe(r)
	}
}

// reportToQuarantine reports how the request ended.
func (x *exchange) reportToQuarantine() {
	defer x.endProbes()
	q := x.relay.quarantine
	switch {
	case x.answered && !q.Empty():
		q.RecordAnswer(x.identity())
		q.RecordWriting(x.last.answerBegan(), x.features(x.answeredBy))
	case x.anyCrash:
		q.RecordFailure(x.identity())
	}
}

// answerBegan is when the server of the attempt began to write its answer, or a time before.
func (t *try) answerBegan() time.Duration {
	if t.firstEventAt > 0 {
		return t.firstEventAt
	}
	return t.sentAt
}
