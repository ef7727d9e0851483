package suspects

import (
	"fmt"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
)

// Prompts configure the parts of prompts. The zero value stands for requests without any.
type Prompts struct {
	// Parts is the number of shared parts of a prompt: the first is the same in all, the others are
	// drawn from Documents, the first of which are the most frequent.
	Parts, Documents int
	// DeadlyShare is the share of requests with a deadly part, Deadly the number of such parts.
	// BothShare is the share of these requests that have two.
	DeadlyShare, BothShare float64
	Deadly                 int
	// Companion is the share of sound requests that have the part which goes with every deadly
	// one; zero for no such part.
	Companion float64
	// From and Until are when the parts crash servers; before and after they are sound.
	From, Until time.Duration
	// Slots is the number of requests that a server runs at once.
	Slots int
	// Alone refuses a part for itself; for comparison.
	Alone bool
}

// PartResult holds the counts of the prompts with deadly parts.
type PartResult struct {
	// Runs counts the runs of the simulation, Crashes the servers that deadly parts ended, and
	// MostCrashes the most in a run.
	Runs, Crashes, MostCrashes int
	// Late counts the requests with a deadly part that were sent to servers later than
	// partDelay after the fifth crash, deliberate trials left out; Trials counts these.
	Late, Trials int
	// AfterFifth counts the requests with a deadly part, trials too, that were sent to servers later than
	// partDelay after the fifth crash itself.
	AfterFifth int
	// Sound counts the requests without a deadly part that arrived later than soundDelay after the
	// fifth crash, SoundServed those of them that were answered at their first attempt.
	Sound, SoundServed int
	// Refused counts the requests without a deadly part that were refused for one.
	Refused int
	// Spread holds, for each run, the time from the last crash before it to the refusal by all.
	Spread []time.Duration
	// Undecided counts the runs in which not all instances refused in the end.
	Undecided int
	// ServedAgain counts the requests with the part that were answered after it was sound again.
	ServedAgain int
	// Writes counts the writes of the store by all instances.
	Writes int
}

func (r *PartResult) add(o PartResult) {
	r.Runs += o.Runs
	r.Crashes += o.Crashes
	r.MostCrashes = max(r.MostCrashes, o.Crashes)
	r.Late += o.Late
	r.Trials += o.Trials
	r.AfterFifth += o.AfterFifth
	r.Sound += o.Sound
	r.SoundServed += o.SoundServed
	r.Refused += o.Refused
	r.Spread = append(r.Spread, o.Spread...)
	r.Undecided += o.Undecided
	r.ServedAgain += o.ServedAgain
	r.Writes += o.Writes
}

const (
	// decidingCrashes is the number of crashes after which a part has to be known, partDelay the
	// time until then, soundDelay that until sound requests are served as ever.
	decidingCrashes = 5
	partDelay       = time.Second
	soundDelay      = 2 * time.Second
	// checkDelay is when an instance looks at its runs in progress after a change.
	checkDelay = 45 * time.Millisecond
	// cutTime is how long a partition lasts.
	cutTime = 4 * time.Second
	// keyBytes is the size of an encoded key of a crash.
	keyBytes = 8
)

// prompt is what a request has that may crash servers.
type prompt struct {
	run    blame.Run
	deadly bool
	// sent is when the request first arrived.
	sent time.Duration
	// counted is set if the request is one of Sound.
	counted bool
}

// partWorld is the state of the simulation of prompts.
type partWorld struct {
	deadly []blame.Key
	// fifth is the time of the deciding crash, the last one if all instances refuse before it.
	fifth time.Duration
	// lastCrash is the time of the newest crash by a deadly part, refused is set once an instance
	// has refused a request for one.
	lastCrash time.Duration
	refused   bool
	crashes   int
}

func partKey(kind string, n int) blame.Key { return blame.PartKey("model", fmt.Sprint(kind, n)) }

func (w *world) startPrompts() {
	p := w.o.Prompts
	if p.Parts == 0 {
		return
	}
	w.res.Parts.Runs = 1
	for n := range p.Deadly {
		w.parts.deadly = append(w.parts.deadly, partKey("deadly", n))
	}
	if w.o.CutEvery > 0 {
		w.poisson(float64(w.o.CutEvery), w.cut)
	}
}

// cut partitions the instances into halves for cutTime.
func (w *world) cut() {
	for _, i := range w.instances {
		i.side = w.rand.IntN(2)
	}
	w.after(cutTime, func() {
		for _, i := range w.instances {
			i.side = 0
		}
	})
}

// drawPrompt draws the parts of a request.
func (w *world) drawPrompt(r *request) {
	p := w.o.Prompts
	if p.Parts == 0 {
		return
	}
	r.prompt.sent = w.now()
	r.prompt.deadly = w.rand.Float64() < p.DeadlyShare
	parts := []blame.Key{partKey("common", 0)}
	for len(parts) < p.Parts {
		// The square makes the first documents the most frequent.
		draw := w.rand.Float64()
		parts = append(parts, partKey("document", int(draw*draw*float64(p.Documents))))
	}
	if r.prompt.deadly {
		one := w.rand.IntN(p.Deadly)
		parts[w.rand.IntN(len(parts))] = w.parts.deadly[one]
		if w.rand.Float64() < p.BothShare {
			parts = append(parts, w.parts.deadly[(one+1)%p.Deadly])
		}
	}
	if r.prompt.deadly && p.Companion > 0 || w.rand.Float64() < p.Companion {
		parts = append(parts, partKey("companion", 0))
	}
	r.prompt.run.Parts = parts
}

// crashing reports whether a server that begins to write on a request crashes.
func (w *world) crashing(r *request) bool {
	p := w.o.Prompts
	return r.prompt.deadly && w.now() >= p.From && (p.Until == 0 || w.now() < p.Until)
}

// beginWriting lets a server write an answer, or crash.
func (w *world) beginWriting(x *run, alive func() bool) {
	if w.crashing(x.req) {
		w.after(crashAfter, func() {
			if alive() {
				w.crashByPart(x)
			}
		})
		return
	}
	w.after(blame.FreshFor, func() {
		if alive() {
			x.at.parts.Clear(x.at.localTime(x.firstEvent), x.featuresAt(x.srv.version))
			w.scheduleSend(x.at)
		}
	})
	w.after(w.exp(meanDecode), func() {
		if alive() {
			w.completeRun(x)
		}
	})
}

func (w *world) crashByPart(x *run) {
	w.parts.crashes++
	w.parts.lastCrash = w.now()
	w.res.Parts.Crashes++
	if w.parts.crashes == decidingCrashes {
		w.parts.fifth = w.now()
	}
	w.stopServer(x.srv)
}

// addCrashOfParts records that a run was in a crash, if it was fresh.
func (w *world) addCrashOfParts(x *run, id uint64, at time.Duration) {
	if w.o.Prompts.Parts == 0 {
		return
	}
	var fresh blame.Run
	if x.firstEvent == 0 || at-x.firstEvent < blame.FreshFor {
		fresh = x.features()
	}
	x.at.parts.AddCrash(x.at.localTime(w.now()), blame.Exit{Server: id, At: x.at.localTime(at)}, len(w.servers), fresh)
}

// features returns what the request of a run has that may crash the server that it is at.
func (x *run) features() blame.Run { return x.featuresAt(x.srv.version) }

// featuresAt returns the same for servers of a version.
func (x *run) featuresAt(version int) blame.Run {
	r := x.req.prompt.run
	r.Version, r.Probes = versionKey(version), x.probe.Part
	if version == x.triesAt {
		r.Tries = x.tries
	}
	return r
}

// assessParts assesses the parts of a request at servers of each version: how long it waits, or that it is
// refused at all of them.
func (w *world) assessParts(x *run) (pause time.Duration, refused bool) {
	x.refusedAt = map[int]bool{}
	versions := w.versions()
	for _, v := range versions {
		p, r := w.assessAt(x, v)
		if p == 0 && !r {
			continue
		}
		x.refusedAt[v] = true
		if p > 0 && (pause == 0 || p < pause) {
			pause = p
		}
	}
	if len(x.refusedAt) < len(versions) || len(versions) == 0 {
		return 0, false
	}
	return pause, pause == 0
}

func (w *world) assessAt(x *run, version int) (pause time.Duration, refused bool) {
	i := x.at
	now := i.localTime(w.now())
	a := i.parts.Assess(now, x.featuresAt(version))
	switch a.Verdict {
	case blame.Refused:
		return 0, true
	case blame.Due:
		p := i.parts.TryPart(now, a.Part)
		w.scheduleSend(i)
		if p.Granted && !w.useTrial(i, a.Part) {
			return 0, true
		}
		if p.Granted {
			x.tries, x.triesAt = a.Part, version
		}
		return p.Wait, !p.Granted && p.Wait == 0
	case blame.Probe:
		p := i.parts.TryPart(now, a.Part)
		w.scheduleSend(i)
		if p.Granted {
			x.probe = p.Trial
			return w.assessAt(x, version)
		}
		return p.Wait, false
	default:
		return a.Wait, false
	}
}

// countSend counts a request that reaches a server.
func (w *world) countSend(x *run) {
	if x.req.prompt.deadly && w.parts.crashes >= decidingCrashes && w.now() > w.parts.fifth+partDelay && w.crashing(x.req) {
		w.res.Parts.AfterFifth++
	}
	switch {
	case !x.req.prompt.deadly:
	case x.tries != 0:
		w.res.Parts.Trials++
	case w.parts.fifth > 0 && w.now() > w.parts.fifth+partDelay && w.crashing(x.req):
		w.res.Parts.Late++
	}
}

func (w *world) countAnswered(x *run) {
	p := x.req.prompt
	switch {
	case p.deadly && w.o.Prompts.Until > 0 && w.now() > w.o.Prompts.Until:
		w.res.Parts.ServedAgain++
	case p.counted && x.req.attemptCount == 1 && x.placements == 0:
		w.res.Parts.SoundServed++
	}
}

func (w *world) decidedBefore(at time.Duration) bool {
	return w.parts.fifth > 0 && at > w.parts.fifth+soundDelay && at < w.o.Duration-soundTail
}

// soundTail is the time before the end in which requests may still be running.
const soundTail = 10 * time.Second

func (w *world) countRefused(x *run) {
	switch {
	case !x.req.prompt.deadly:
		w.res.Refused++
		w.res.Parts.Refused++
	case !w.parts.refused:
		w.parts.refused = true
		w.awaitRefusal()
	}
}

// awaitRefusal records when all instances refuse what the first one has refused.
func (w *world) awaitRefusal() {
	refusing := func(i *instance) bool {
		return slices.ContainsFunc(i.parts.Refused(i.localTime(w.now())), func(r blame.RefusedPart) bool { return slices.Contains(w.parts.deadly, r.Part) })
	}
	if !slices.ContainsFunc(w.instances, func(i *instance) bool { return !refusing(i) }) {
		if w.parts.fifth == 0 {
			w.parts.fifth = w.parts.lastCrash
		}
		w.res.Parts.Spread = append(w.res.Parts.Spread, w.now()-w.parts.lastCrash)
		return
	}
	w.after(5*time.Millisecond, w.awaitRefusal)
}

// scheduleCheck has an instance hold back runs at once whose parts may be the cause of crashes, and
// take back those whose parts are refused meanwhile.
func (w *world) scheduleCheck(i *instance) {
	if w.o.Prompts.Parts == 0 {
		return
	}
	w.holdBack(i)
	if i.checkPending {
		return
	}
	i.checkPending = true
	w.after(checkDelay, func() {
		i.checkPending = false
		w.takeBack(i)
		if i.parts.Deciding(i.localTime(w.now())) {
			w.scheduleCheck(i)
		}
	})
}

// holdBack takes back runs that have no event yet and places them again, which waits.
func (w *world) holdBack(i *instance) {
	if len(i.parts.Refused(i.localTime(w.now()))) == 0 {
		return
	}
	i.parts.SetInProgress(featuresOf(w.runsAt(i, func(*run) bool { return true })))
	now := i.localTime(w.now())
	toHold := func(x *run) bool { return x.mayBeHeld() && w.awaitsEvent(x) && i.parts.ShouldHold(now, x.features()) }
	for _, x := range w.runsAt(i, toHold) {
		w.removeRun(x)
		x.placements++
		w.place(x)
	}
}

// mayBeHeld reports whether a run may be placed once more. A server that crashed under the request does
// not count.
func (x *run) mayBeHeld() bool {
	limit := maxPlacements
	if x.sawCrash {
		limit++
	}
	return x.placements+1 < limit
}

// awaitsEvent reports whether a run has no event yet; a server that crashes under it sends none.
func (w *world) awaitsEvent(x *run) bool { return x.firstEvent == 0 || w.crashing(x.req) }

func featuresOf(runs []*run) (out []blame.Run) {
	for _, x := range runs {
		out = append(out, x.features())
	}
	return out
}

// runsAt returns the runs of an instance that a filter keeps, in a fixed order.
func (w *world) runsAt(i *instance, keep func(*run) bool) (out []*run) {
	for _, s := range w.servers {
		for x := range s.runs {
			if x.at == i && keep(x) {
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return slices.Compare(a.req.key[:], b.req.key[:]) })
	return out
}

func (w *world) takeBack(i *instance) {
	if len(i.parts.Refused(i.localTime(w.now()))) == 0 {
		return
	}
	now := i.localTime(w.now())
	refused := func(x *run) bool { return i.parts.Assess(now, x.features()).Verdict == blame.Refused }
	for _, x := range w.runsAt(i, refused) {
		w.removeRun(x)
		w.endAttempt(x, true)
	}
}
