package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// FreshFor is how long after its first event a run can be the cause of a crash, and after
	// which it is not. Servers crash when they begin to write.
	FreshFor = 300 * time.Millisecond
	// clockError bounds the error of times that other instances report.
	clockError = 5 * time.Millisecond
	// suspectPause is how long requests with a suspected part wait after its last crash.
	suspectPause = 300 * time.Millisecond
	// probeTime is how long after that only one request of the fleet at a time is run.
	probeTime = time.Second
	// holdTime is how long after its last crash requests with a rare part wait for another request to
	// clear the parts beside it: it begins to write, and writes for FreshFor.
	holdTime = 600 * time.Millisecond
	// maxCrashes bounds the crashes kept; those of refused parts are kept longest.
	maxCrashes = 192
	// crashRetention is how long a crash is kept, refusedRetention that of a refused part.
	crashRetention   = 10 * time.Minute
	refusedRetention = 24 * time.Hour
	// keptCrashes is the number of crashes of a refused part that are kept beyond crashRetention.
	keptCrashes = 8
)

// Verdict classifies a request. Of the verdicts on its parts the greatest is that on the request.
type Verdict int

// The verdicts.
const (
	// Clean requests may be run.
	Clean Verdict = iota
	// Due requests may be run as a trial, by one instance.
	Due
	// Probe requests may be run one at a time, by one instance.
	Probe
	// Suspect requests wait.
	Suspect
	// Refused requests must not be run.
	Refused
)

// Assessment is a verdict with its reason.
type Assessment struct {
	Verdict Verdict
	// Part is the part that is the reason, Crashes the number of its crashes.
	Part    Key
	Crashes int
	// Wait is how long a suspect waits until it is assessed again.
	Wait time.Duration
	// RetryAfter is the time until a refused part may be tried again.
	RetryAfter time.Duration
}

// Options configure a Table.
type Options struct {
	// Self identifies the instance among those that want to try a part.
	Self uint64
	// Alone refuses a part for itself, without its companions; for comparison.
	Alone bool
}

// Table holds the crashes that one instance knows. It is not safe for concurrent use.
type Table struct {
	o       Options
	crashes []*crash
	// suspects are derived from the crashes; nil after a change.
	suspects map[Key]*suspect
	trials   map[Key]*trial
	// rareUntil maps parts that fewer requests have than others in the same crashes to the time until
	// which requests with them wait.
	rareUntil map[Key]time.Duration
	// used are the trials that were run, by ID.
	used map[uint64]*usedTrial
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{o: o, trials: map[Key]*trial{}, rareUntil: map[Key]time.Duration{}, used: map[uint64]*usedTrial{}}
}

// Len returns the number of crashes in the table.
func (t *Table) Len() int { return len(t.crashes) }

// AddCrash records that a server of a service with the given number of servers exited while it
// ran a fresh run; the zero Run stands for none.
func (t *Table) AddCrash(now time.Duration, e Exit, servers int, r Run) {
	t.Merge(now, Update{Exit: e, Servers: servers, Version: r.Version, Keys: r.keys()})
}

// Merge adds what another instance tells of a crash. A crash that the store told both of is known
// already, or will be read from there.
func (t *Table) Merge(now time.Duration, u Update) {
	c := t.find(u.Exit)
	if c == nil {
		c = t.findRestored(u)
	}
	changed := c == nil
	if c == nil {
		if now-u.At >= refusedRetention || u.Approximate {
			return
		}
		c = newCrash(u)
		t.crashes = insertByTime(t.crashes, c)
	}
	if c.merge(u) || changed {
		t.suspects = nil
		t.evict()
	}
}

func (t *Table) find(e Exit) *crash {
	for _, c := range t.crashes {
		if c.matches(e) {
			return c
		}
	}
	return nil
}

// Clear records that a run was answered, or wrote for longer than FreshFor, since began. Its parts are not
// the cause of earlier crashes of servers of the same version.
func (t *Table) Clear(began time.Duration, r Run) {
	for _, c := range t.crashes {
		if c.At+clockError >= began {
			break
		}
		for _, k := range r.keys() {
			if c.version == r.Version || c.version == 0 {
				t.clear(c, k)
			} else if c.addSound(Sound{k, r.Version}) {
				t.suspects = nil
			}
		}
	}
}

// Free clears a part, and what goes with it, of all crashes, as an operator asks for: requests
// with all of these are sound.
func (t *Table) Free(part Key) {
	freed := []Key{part}
	if s := t.findSuspects()[part]; s != nil {
		freed = append(freed, s.companions...)
	}
	for _, c := range t.crashes {
		for _, k := range freed {
			t.clear(c, k)
		}
	}
}

func (t *Table) clear(c *crash, k Key) {
	if c.live(k) && c.add(k, true) {
		t.suspects = nil
	}
}

// findSuspects returns the suspects of the present crashes.
func (t *Table) findSuspects() map[Key]*suspect {
	if t.suspects == nil {
		t.suspects = findSuspects(t.crashes, t.o.Alone)
		maps.DeleteFunc(t.trials, func(k Key, _ *trial) bool { return t.suspects[k] == nil })
		maps.DeleteFunc(t.used, func(_ uint64, u *usedTrial) bool { return !slices.ContainsFunc(u.Parts, t.isSuspect) })
	}
	return t.suspects
}

// Assess assesses a request that is about to be sent, or is at a server.
func (t *Table) Assess(now time.Duration, r Run) (out Assessment) {
	if len(t.crashes) == 0 {
		return out
	}
	suspects := t.findSuspects()
	for _, p := range r.Parts {
		s := suspects[p]
		if s == nil || s.concerns(r.Tries) {
			continue
		}
		a := t.assessFor(now, s, r)
		if a.Verdict == Probe && s.concerns(r.Probes) {
			continue
		}
		if a.Verdict > out.Verdict || a.Verdict == out.Verdict && a.RetryAfter > out.RetryAfter {
			out = a
		}
	}
	return out
}

// assessFor assesses a request that has the suspect.
func (t *Table) assessFor(now time.Duration, s *suspect, r Run) Assessment {
	switch {
	case s.sound[r.Version]:
		return Assessment{}
	case s.matches(r):
		return t.assess(now, s, r.Version)
	case t.held(now, s):
		return Assessment{Verdict: Suspect, Part: s.part, Crashes: len(s.crashes), Wait: t.rareUntil[s.part] - now}
	default:
		return Assessment{}
	}
}

// held reports whether requests with a suspect wait though they lack a companion of it.
func (t *Table) held(now time.Duration, s *suspect) bool { return now < t.rareUntil[s.part] }

// SetInProgress tells which runs are in progress, to compare how frequent a refused part and its
// companions are. The more requests have one that is not the cause, the likelier it is in crashes
// by chance, so the rarer ones are the likelier cause.
func (t *Table) SetInProgress(runs []Run) {
	for _, s := range t.findSuspects() {
		if !s.refused {
			continue
		}
		group := append(slices.Clone(s.companions), s.part)
		most := 0
		for _, k := range group {
			most = max(most, count(runs, k))
		}
		for _, k := range group {
			switch n := count(runs, k); {
			case n < most:
				t.rareUntil[k] = s.last() + holdTime
			case most > 0:
				delete(t.rareUntil, k)
			}
		}
	}
}

// count counts the runs that have a key.
func count(runs []Run, k Key) (n int) {
	for _, r := range runs {
		if r.has(k) {
			n++
		}
	}
	return n
}

// ShouldHold reports whether a run in progress that has not begun to write is to be taken back: it
// has a refused part with all its companions, or one of these that is rare.
func (t *Table) ShouldHold(now time.Duration, r Run) bool {
	suspects := t.findSuspects()
	return slices.ContainsFunc(r.Parts, func(p Key) bool {
		s := suspects[p]
		return s != nil && !s.sound[r.Version] && !s.concerns(r.Tries) && (s.refused && s.matches(r) || t.held(now, s))
	})
}

// assess assesses requests with the suspect and all its companions at servers of a version.
func (t *Table) assess(now time.Duration, s *suspect, v Version) Assessment {
	a := Assessment{Part: s.part, Crashes: len(s.crashes)}
	if s.settled(now) {
		a.Verdict = Due
		if due := t.due(now, s, v); now < due {
			a.Verdict, a.RetryAfter = Refused, due-now
		}
		return a
	}
	switch {
	case s.refused:
		a.Verdict, a.Wait = Suspect, settleTime
	case now < s.last()+s.pause():
		a.Verdict, a.Wait = Suspect, s.last()+s.pause()-now
	case s.probed() && now < s.last()+suspectPause+probeTime:
		a.Verdict = Probe
	}
	return a
}

// probed reports whether requests with the part are run one at a time: more crashes than usual are
// needed, and requests that waited would be sent together and end a server each.
func (s *suspect) probed() bool { return s.required > minMoments }

// pause is how long requests wait after the last crash; it takes a probe claimDelay more.
func (s *suspect) pause() time.Duration {
	if s.probed() {
		return suspectPause - claimDelay
	}
	return suspectPause
}

// RefusedPart is a part whose crashes are not chance.
type RefusedPart struct {
	Part Key
	// Crashes is the number of its crashes, Companions that of the keys that are in all of them.
	Crashes, Companions int
	// Trials is the number of requests that were run with it since it is refused.
	Trials int
	// First is the time of its first crash, Due when it may be tried again at servers of the version that
	// crashed last.
	First, Due time.Duration
}

// Refused returns the parts that are refused.
func (t *Table) Refused(now time.Duration) (out []RefusedPart) {
	for _, s := range t.findSuspects() {
		if s.refused {
			out = append(out, RefusedPart{Part: s.part, Crashes: len(s.crashes), Companions: len(s.companions), First: s.first(), Trials: t.countTrials(s), Due: t.due(now, s, s.crashes[len(s.crashes)-1].version)})
		}
	}
	return out
}

// Deciding reports whether a part is about to be refused.
func (t *Table) Deciding(now time.Duration) bool {
	for _, s := range t.findSuspects() {
		if s.refused && !s.settled(now) {
			return true
		}
	}
	return false
}

// Explains reports whether a refused part that a request does not have was in the crash of a
// server, so that the crash is no evidence against the request.
func (t *Table) Explains(e Exit, r Run) bool {
	c := t.find(e)
	if c == nil {
		return false
	}
	for _, s := range t.findSuspects() {
		if s.refused && c.live(s.part) && !s.matches(r) {
			return true
		}
	}
	return false
}

// Take returns the changes since the last call that other instances must receive.
func (t *Table) Take() (out Changes) {
	for _, c := range t.crashes {
		if c.changed() {
			c.told = true
			out.Crashes = append(out.Crashes, c.update(func(k Key) bool { return c.pending[k] }))
			clear(c.pending)
		}
	}
	out.Trials, out.Used = t.takeTrials(), t.takeUsed()
	return out
}

// HasChanges reports whether Take has something to return.
func (t *Table) HasChanges() bool {
	return slices.ContainsFunc(t.crashes, (*crash).changed) || t.hasNewTrials()
}

// All returns all crashes and trials but those crashes that every instance reads from the store.
func (t *Table) All() (out Changes) {
	for _, c := range t.crashes {
		if !c.approximate {
			out.Crashes = append(out.Crashes, c.update(func(Key) bool { return true }))
		}
	}
	for _, u := range t.used {
		out.Used = append(out.Used, u.UsedTrial)
	}
	return out
}

// Digest returns a hash of all crashes, zero if there are none. Crashes that are about to be
// dropped are left out, because instances drop them at slightly different moments.
func (t *Table) Digest(now time.Duration) (sum uint64) {
	for _, c := range t.crashes {
		if now-c.At < crashRetention/2 && !c.approximate {
			sum += c.digest()
		}
	}
	for id := range t.used {
		sum += id
	}
	return sum
}

// Expire drops old crashes.
func (t *Table) Expire(now time.Duration) {
	maps.DeleteFunc(t.rareUntil, func(_ Key, until time.Duration) bool { return now >= until })
	if len(t.crashes) == 0 || now-t.crashes[0].At < crashRetention {
		return
	}
	kept := t.kept()
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		return now-c.At >= refusedRetention || now-c.At >= crashRetention && !kept[c]
	})
	if len(t.crashes) < before {
		t.suspects = nil
	}
}

// kept returns the crashes that the refused parts are kept by: the first ones and the last.
func (t *Table) kept() map[*crash]bool {
	out := map[*crash]bool{}
	for _, s := range t.findSuspects() {
		if !s.refused {
			continue
		}
		out[s.crashes[len(s.crashes)-1]] = true
		for _, c := range s.crashes[:min(keptCrashes, len(s.crashes))] {
			out[c] = true
		}
	}
	return out
}

// evict drops the oldest crash that no refused part is kept by, if there are too many. So a
// customer that sends ever new parts cannot evict a refused one, unless each crashes as many
// servers.
func (t *Table) evict() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	kept := t.kept()
	victim := slices.MinFunc(t.crashes, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(rank(kept[a]), rank(kept[b])), byTime(a, b))
	})
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c == victim })
	t.suspects = nil
}

func rank(kept bool) int {
	if kept {
		return 1
	}
	return 0
}
