package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Thresholds and times of the assessments.
const (
	// suspectThreshold is the number of successive crashes from which a request waits for
	// reports of other instances, poisonThreshold that from which it is not run any more.
	suspectThreshold = 2
	poisonThreshold  = 3
	// maxThreshold is the number from which a request is not run even if chance or another
	// request may explain its crashes: three servers more than poisonThreshold.
	maxThreshold = 6
	// exitWindow is the time over which exits of servers are counted. maxChance is the
	// probability below which a number of crashes is not attributed to chance: of a million
	// requests none should be refused because of unrelated exits.
	exitWindow = 10 * time.Second
	maxChance  = 1e-7
	// coincidenceWindow is the time within which exits of servers have a common cause,
	// minCoincident the number of other servers from which they do.
	coincidenceWindow = 50 * time.Millisecond
	minCoincident     = 2
	// propagationTime is the time in which a report of a crash reaches all instances.
	propagationTime = 100 * time.Millisecond
	// initialQuarantine is how long a request is not run after the crash that made it
	// poisonous. Each further crash multiplies the time by quarantineGrowth, up to
	// maxQuarantine. Models and their servers are replaced within hours.
	initialQuarantine = 2 * time.Minute
	quarantineGrowth  = 10
	maxQuarantine     = 4 * time.Hour
	// quarantineRetention is how long a record is kept after its quarantine,
	// suspectRetention how long any other record is kept.
	quarantineRetention = 10 * time.Minute
	suspectRetention    = 2 * time.Minute
	// maxRecords bounds the table, at about 150 bytes a record. maxExits bounds the exits
	// of servers that are kept for exitWindow.
	maxRecords = 512
	maxExits   = 1024
)

// Record holds the crashes of one request.
type Record struct {
	Key Key
	// Round increases with each answer. Reports of an earlier round are obsolete.
	Round uint32
	// Crashes are those since the last answer, sorted by time of exit.
	Crashes []Crash
	// Changed is when the newest crash or answer was recorded.
	Changed time.Duration
}

type record struct {
	Record
	// localOnly is set while other instances need no report: the request has had one crash
	// and is still in progress here. Most such requests are answered by the next server.
	localOnly bool
	// restored is set while the times of its crashes are known from the store only.
	restored bool
}

// Verdict classifies a request.
type Verdict int

// The verdicts.
const (
	// Clean requests may be run.
	Clean Verdict = iota
	// Suspect requests may be run after a wait.
	Suspect
	// Poisonous requests must not be run.
	Poisonous
)

// Assessment is a verdict with its reason.
type Assessment struct {
	Verdict Verdict
	// Crashes is the number of successive crashes attributed to the request.
	Crashes int
	// Wait is how long to wait before the request is assessed again.
	Wait time.Duration
	// RetryAfter is the time until a poisonous request may be run again.
	RetryAfter time.Duration
}

// Table holds the records of the requests that were running when servers crashed, as known
// to one instance. It is not safe for concurrent use.
type Table struct {
	records map[Key]*record
	// changed holds the keys of records that changed since TakeChanged.
	changed map[Key]bool
	// exits are the recent exits of servers, whatever they ran; newExits are those added
	// since TakeChanged.
	exits    []ServerExit
	newExits []ServerExit
}

// ServerExit is the exit of a server.
type ServerExit struct {
	// Server is a hash of the server's ID.
	Server uint64
	At     time.Duration
}

// Changes are the updates to send to other instances.
type Changes struct {
	Records []Record
	Exits   []ServerExit
}

// Empty reports whether there is nothing to send.
func (c Changes) Empty() bool { return len(c.Records) == 0 && len(c.Exits) == 0 }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}, changed: map[Key]bool{}} }

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.records) }

// ExitCount returns the number of recent exits of servers.
func (t *Table) ExitCount() int { return len(t.exits) }

// AddCrash records a crash that this instance detected.
func (t *Table) AddCrash(now time.Duration, k Key, c Crash) {
	t.MergeExit(now, c.exit())
	r := t.records[k]
	if r == nil {
		r = &record{Record: Record{Key: k}, localOnly: true}
		t.records[k] = r
	}
	var isNew bool
	if r.Crashes, isNew = insertCrash(r.Crashes, c); !isNew {
		return
	}
	r.Changed, r.restored = now, false
	r.localOnly = r.localOnly && countSuccessive(r.Crashes) < suspectThreshold
	t.markChanged(r)
	t.evict()
}

// MarkFailed records that a request ended without an answer. The client's next attempt may
// arrive at another instance, so the record is shared.
func (t *Table) MarkFailed(k Key) {
	if r := t.records[k]; r != nil && r.localOnly {
		r.localOnly = false
		t.markChanged(r)
	}
}

// MarkAnswered records that a server answered a request.
func (t *Table) MarkAnswered(now time.Duration, k Key) {
	r := t.records[k]
	switch {
	case r == nil:
	case r.localOnly:
		t.drop(k)
	case len(r.Crashes) > 0:
		r.Round++
		r.Crashes, r.Changed, r.restored = nil, now, false
		t.markChanged(r)
	}
}

// Merge adds a record reported by another instance.
func (t *Table) Merge(now time.Duration, in Record) {
	if now >= expiry(in) {
		return
	}
	r := t.records[in.Key]
	if r == nil {
		r = &record{Record: Record{Key: in.Key, Round: in.Round}}
		t.records[in.Key] = r
		t.markChanged(r)
	}
	if in.Round < r.Round || in.Round == r.Round && r.restored && len(in.Crashes) < len(r.Crashes) {
		return
	}
	if in.Round > r.Round || r.restored {
		// The times of the crashes that the store told are not comparable.
		r.Round, r.Crashes, r.restored = in.Round, nil, false
		t.markChanged(r)
	}
	if r.localOnly {
		r.localOnly = false
		t.markChanged(r)
	}
	r.Changed = max(r.Changed, min(now, in.Changed))
	for _, c := range in.Crashes {
		var isNew bool
		if r.Crashes, isNew = insertCrash(r.Crashes, c); isNew {
			t.markChanged(r)
		}
	}
	t.evict()
}

func (t *Table) markChanged(r *record) {
	if r.isShared() {
		t.changed[r.Key] = true
	}
}

// MergeExit adds an exit of a server, unless it is old or known already.
func (t *Table) MergeExit(now time.Duration, e ServerExit) {
	if now-e.At >= exitWindow || slices.ContainsFunc(t.exits, e.matches) {
		return
	}
	if len(t.exits) >= maxExits {
		t.exits = t.exits[1:]
	}
	t.exits = append(t.exits, e)
	t.newExits = append(t.newExits, e)
}

func (e ServerExit) matches(o ServerExit) bool {
	return e.Server == o.Server && (e.At-o.At).Abs() < sameExit
}

// TakeChanged returns the changes since the last call that other instances must receive.
func (t *Table) TakeChanged() (out Changes) {
	for k := range t.changed {
		if r := t.records[k]; r != nil {
			out.Records = append(out.Records, r.Record)
		}
	}
	clear(t.changed)
	out.Exits, t.newExits = t.newExits, nil
	return out
}

// HasChanges reports whether TakeChanged has something to return.
func (t *Table) HasChanges() bool { return len(t.changed) > 0 || len(t.newExits) > 0 }

// All returns the records that are shared with other instances.
func (t *Table) All() []Record {
	var out []Record
	for _, r := range t.records {
		if r.isShared() {
			out = append(out, r.Record)
		}
	}
	return out
}

// isShared reports whether other instances are told of the record; those that the store told every
// instance reads there.
func (r *record) isShared() bool { return !r.localOnly && !r.restored }

// Digest returns a hash of the records that All returns, or zero if there are none.
// Instances with the same digest know the same. Records that are about to expire are left
// out, because instances drop them at slightly different moments.
func (t *Table) Digest(now time.Duration) (sum uint64) {
	for _, r := range t.records {
		if r.isShared() && now < expiry(r.Record)-suspectRetention/2 {
			sum += r.digest()
		}
	}
	return sum
}

func (r Record) digest() uint64 {
	servers := uint64(0)
	for _, c := range r.Crashes {
		servers += c.Server
	}
	raw := append(r.Key[:], make([]byte, 0, 16)...)
	raw = binary.LittleEndian.AppendUint32(raw, r.Round)
	raw = binary.LittleEndian.AppendUint64(raw, servers)
	return xxhash.Sum64(raw)
}

// Assess assesses a request that is about to be sent to one of the given number of servers.
// Exits that have a known cause outside this table are not counted; explained may be nil.
func (t *Table) Assess(now time.Duration, k Key, servers int, explained func(ServerExit) bool) Assessment {
	r := t.records[k]
	if r == nil {
		return Assessment{}
	}
	crashes, rival := t.unexplainedCrashes(r)
	if explained != nil {
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return explained(c.exit()) })
	}
	crashes = t.withoutCoincident(crashes)
	n := countSuccessive(crashes)
	if n < suspectThreshold {
		return Assessment{Crashes: n}
	}
	last := crashes[len(crashes)-1].Ended
	if propagated := last + propagationTime; now < propagated {
		return Assessment{Verdict: Suspect, Crashes: n, Wait: propagated - now}
	}
	if n < t.requiredCrashes(crashes, servers) || (rival && n < maxThreshold) {
		return Assessment{Verdict: Suspect, Crashes: n}
	}
	if until := last + quarantine(n); now < until {
		return Assessment{Verdict: Poisonous, Crashes: n, RetryAfter: until - now}
	}
	return Assessment{Verdict: Suspect, Crashes: n}
}

// unexplainedCrashes returns the crashes of a request that no other request explains, and
// whether another request was running in all of them and is equally likely the cause.
func (t *Table) unexplainedCrashes(r *record) (crashes []Crash, rival bool) {
	crashes = r.Crashes
	for _, o := range t.records {
		if o == r || len(o.Crashes) < poisonThreshold {
			continue
		}
		count, otherCount := countSuccessive(r.Crashes), countSuccessive(o.Crashes)
		switch {
		case otherCount > count:
			crashes = slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return containsExit(o.Crashes, c.exit()) })
		case otherCount == count:
			rival = rival || !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !containsExit(o.Crashes, c.exit()) })
		}
	}
	return crashes, rival
}

// withoutCoincident returns the crashes without those that coincide with exits of other
// servers, which did not run the request.
func (t *Table) withoutCoincident(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		others := 0
		for _, e := range t.exits {
			if (e.At-c.Ended).Abs() < coincidenceWindow && !containsExit(crashes, e) {
				others++
			}
		}
		return others >= minCoincident
	})
}

// requiredCrashes returns the number of successive crashes that is not attributed to
// chance. It follows from the probability that a request that runs as long as this one
// meets so many exits, given the exits of other servers before its last crash. Later exits
// do not reverse an assessment.
func (t *Table) requiredCrashes(crashes []Crash, servers int) int {
	if servers <= 0 {
		return poisonThreshold
	}
	meanRun, others, last := time.Duration(0), 0, crashes[len(crashes)-1].Ended
	for _, c := range crashes {
		meanRun += (c.Ended - c.Began) / time.Duration(len(crashes))
	}
	for _, e := range t.exits {
		if e.At > last-exitWindow && e.At < last+coincidenceWindow && !containsExit(crashes, e) {
			others++
		}
	}
	chance := min(1, float64(others)/float64(servers)*float64(meanRun)/float64(exitWindow))
	n := poisonThreshold
	for p := chance * chance * chance; p > maxChance && n < maxThreshold; p *= chance {
		n++
	}
	return n
}

// quarantine returns how long a request with the given number of crashes is not run.
func quarantine(crashes int) time.Duration {
	d := initialQuarantine
	for range crashes - poisonThreshold {
		if d = d * quarantineGrowth; d >= maxQuarantine {
			return maxQuarantine
		}
	}
	return d
}

// expiry returns when a record is dropped.
func expiry(r Record) time.Duration {
	if n := countSuccessive(r.Crashes); n >= poisonThreshold {
		return r.Changed + quarantine(n) + quarantineRetention
	}
	return r.Changed + suspectRetention
}

// Expire drops old exits and records.
func (t *Table) Expire(now time.Duration) {
	t.exits = slices.DeleteFunc(t.exits, func(e ServerExit) bool { return now-e.At >= exitWindow })
	for k, r := range t.records {
		if now >= expiry(r.Record) {
			t.drop(k)
		}
	}
}

func (t *Table) drop(k Key) {
	delete(t.records, k)
	delete(t.changed, k)
}

// evict drops the record with the fewest successive crashes, and of these the oldest, if
// there are too many. So a customer that sends ever new bodies cannot evict a poisonous
// request, unless each body crashes as many servers.
func (t *Table) evict() {
	if len(t.records) <= maxRecords {
		return
	}
	victim := slices.MinFunc(slices.Collect(maps.Values(t.records)), func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(countSuccessive(a.Crashes), countSuccessive(b.Crashes)),
			cmp.Compare(a.Changed, b.Changed),
			slices.Compare(a.Key[:], b.Key[:]))
	})
	t.drop(victim.Key)
}
