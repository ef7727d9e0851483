package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of the rulings.
const (
	// suspectAt is the number of successive crashes from which a request waits for what
	// other instances know of it, poisonAt that from which it is not run any more.
	suspectAt = 2
	poisonAt  = 3
	// mostNeeded is the number at which it is not run whatever else speaks for it: three
	// servers more than the least.
	mostNeeded = 6
	// baseSpan is the time over which ends of servers without a request are counted, and
	// byChance the probability below which a number of ends is no chance: of a million
	// requests none should be refused for others' ends.
	baseSpan = 10 * time.Second
	byChance = 1e-7
	// sameMoment is the time within which servers that end have a cause in common, and
	// company the number of others from which they do.
	sameMoment = 50 * time.Millisecond
	company    = 2
	// settleFor is what news of a crash takes to all instances.
	settleFor = 100 * time.Millisecond
	// firstQuarantine is the time after the crash that made a request known until it may
	// be tried again; each further crash makes it quarantineGrowth times as long, up to
	// longestQuarantine. Models and their servers are replaced within hours.
	firstQuarantine   = 2 * time.Minute
	quarantineGrowth  = 10
	longestQuarantine = 4 * time.Hour
	// keepQuarantined is how long a request stays known after its quarantine, and
	// keepSuspect how long one that was not known to crash servers, or was answered.
	keepQuarantined = 10 * time.Minute
	keepSuspect     = 2 * time.Minute
	// maxRecords bounds the table: some 150 bytes each. maxEnds bounds the ends of servers
	// that are remembered for baseSpan.
	maxRecords = 512
	maxEnds    = 1024
)

// Record is what is known of one request.
type Record struct {
	Key Key
	// Round rises with each answer. News of an earlier round is void.
	Round uint32
	// Crashes are those since the last answer, in the order of their ends.
	Crashes []Crash
	// Changed is when the newest crash or answer was noted.
	Changed time.Duration
}

type record struct {
	Record
	// private tells that the request is in progress here for the first time. Most end
	// with an answer from the next server, and nobody else need hear of them.
	private bool
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	// Innocent: it may be run.
	Innocent Verdict = iota
	// Suspect: it may be run, after a wait.
	Suspect
	// Poisonous: it is not to be run.
	Poisonous
)

// Ruling is a verdict with its reason.
type Ruling struct {
	Verdict Verdict
	// Crashes is the number of successive crashes that speak against the request.
	Crashes int
	// Wait is how long to wait before judging again.
	Wait time.Duration
	// RetryAfter is when a poisonous request may be tried again.
	RetryAfter time.Duration
}

// Table is what one instance knows of requests that were part of crashes. It is not safe
// for concurrent use.
type Table struct {
	records map[Key]*record
	// untold are the keys of records that changed since TakeChanged.
	untold map[Key]bool
	// ends are the ends of servers, whatever they ran, untoldEnds those that are new since
	// TakeChanged.
	ends       []End
	untoldEnds []End
}

// End is the end of a server.
type End struct {
	// Server is a hash of the server's ID.
	Server uint64
	At     time.Duration
}

// Changes are what others are told.
type Changes struct {
	Records []Record
	Ends    []End
}

// Empty reports whether there is nothing to tell.
func (c Changes) Empty() bool { return len(c.Records) == 0 && len(c.Ends) == 0 }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}, untold: map[Key]bool{}} }

// Len is the number of requests in the table.
func (t *Table) Len() int { return len(t.records) }

// Ends is the number of servers that ended lately.
func (t *Table) Ends() int { return len(t.ends) }

// Note adds a crash that this instance saw.
func (t *Table) Note(now time.Duration, k Key, c Crash) {
	t.MergeEnd(now, c.end())
	r := t.records[k]
	if r == nil {
		r = &record{Record: Record{Key: k}, private: true}
		t.records[k] = r
	}
	var isNew bool
	if r.Crashes, isNew = add(r.Crashes, c); !isNew {
		return
	}
	r.Changed = now
	r.private = r.private && successive(r.Crashes) < suspectAt
	t.told(r)
	t.bound()
}

// Failed notes that a request ended without an answer: the next attempt may arrive at
// another instance.
func (t *Table) Failed(k Key) {
	if r := t.records[k]; r != nil && r.private {
		r.private = false
		t.told(r)
	}
}

// Answered notes that a server answered a request.
func (t *Table) Answered(now time.Duration, k Key) {
	r := t.records[k]
	switch {
	case r == nil:
	case r.private:
		t.drop(k)
	case len(r.Crashes) > 0:
		r.Round++
		r.Crashes, r.Changed = nil, now
		t.told(r)
	}
}

// Merge takes over what another instance knows.
func (t *Table) Merge(now time.Duration, in Record) {
	if now >= expiry(in) {
		return
	}
	r := t.records[in.Key]
	if r == nil {
		r = &record{Record: Record{Key: in.Key, Round: in.Round}}
		t.records[in.Key] = r
		t.told(r)
	}
	if in.Round < r.Round {
		return
	}
	if in.Round > r.Round {
		r.Round, r.Crashes = in.Round, nil
		t.told(r)
	}
	if r.private {
		r.private = false
		t.told(r)
	}
	r.Changed = max(r.Changed, min(now, in.Changed))
	for _, c := range in.Crashes {
		var isNew bool
		if r.Crashes, isNew = add(r.Crashes, c); isNew {
			t.told(r)
		}
	}
	t.bound()
}

func (t *Table) told(r *record) {
	if !r.private {
		t.untold[r.Key] = true
	}
}

// MergeEnd takes over the end of a server.
func (t *Table) MergeEnd(now time.Duration, e End) {
	if now-e.At >= baseSpan || slices.ContainsFunc(t.ends, e.same) {
		return
	}
	if len(t.ends) >= maxEnds {
		t.ends = t.ends[1:]
	}
	t.ends = append(t.ends, e)
	t.untoldEnds = append(t.untoldEnds, e)
}

func (e End) same(o End) bool { return e.Server == o.Server && (e.At-o.At).Abs() < sameCrash }

// TakeChanged returns what to tell others that changed since the last call.
func (t *Table) TakeChanged() (out Changes) {
	for k := range t.untold {
		if r := t.records[k]; r != nil {
			out.Records = append(out.Records, r.Record)
		}
	}
	clear(t.untold)
	out.Ends, t.untoldEnds = t.untoldEnds, nil
	return out
}

// HasChanges reports whether TakeChanged has something to return.
func (t *Table) HasChanges() bool { return len(t.untold) > 0 || len(t.untoldEnds) > 0 }

// All returns the records that others are told of.
func (t *Table) All() []Record {
	var out []Record
	for _, r := range t.records {
		if !r.private {
			out = append(out, r.Record)
		}
	}
	return out
}

// Digest is a hash of what All returns, zero for nothing. Instances of one digest know
// the same. Records that are about to expire are left out: they do so at slightly
// different moments everywhere.
func (t *Table) Digest(now time.Duration) (sum uint64) {
	for _, r := range t.records {
		if !r.private && now < expiry(r.Record)-keepSuspect/2 {
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

// Judge rules on a request that is about to be sent to one of so many servers.
func (t *Table) Judge(now time.Duration, k Key, servers int) Ruling {
	r := t.records[k]
	if r == nil {
		return Ruling{}
	}
	crashes, rival := t.unexplained(r)
	crashes = t.inCompany(crashes)
	n := successive(crashes)
	if n < suspectAt {
		return Ruling{Crashes: n}
	}
	last := crashes[len(crashes)-1].Ended
	if settled := last + settleFor; now < settled {
		return Ruling{Verdict: Suspect, Crashes: n, Wait: settled - now}
	}
	if n < t.needed(crashes, servers) || (rival && n < mostNeeded) {
		return Ruling{Verdict: Suspect, Crashes: n}
	}
	if until := last + quarantine(n); now < until {
		return Ruling{Verdict: Poisonous, Crashes: n, RetryAfter: until - now}
	}
	return Ruling{Verdict: Suspect, Crashes: n}
}

// unexplained returns the crashes of a request that no other one explains, and whether
// another one was part of all of them and may be the cause as well.
func (t *Table) unexplained(r *record) (crashes []Crash, rival bool) {
	crashes = r.Crashes
	for _, o := range t.records {
		if o == r || len(o.Crashes) < poisonAt {
			continue
		}
		own, others := successive(r.Crashes), successive(o.Crashes)
		switch {
		case others > own:
			crashes = slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return contains(o.Crashes, c.end()) })
		case others == own:
			rival = rival || !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !contains(o.Crashes, c.end()) })
		}
	}
	return crashes, rival
}

// inCompany returns crashes without those at whose moment other servers ended too, that
// did not run the request.
func (t *Table) inCompany(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		others := 0
		for _, e := range t.ends {
			if (e.At-c.Ended).Abs() < sameMoment && !contains(crashes, e) {
				others++
			}
		}
		return others >= company
	})
}

// needed is the number of crashes that is no chance: the probability that a request that
// runs as long as this one meets so many ends of servers, of those that ended without it
// before its last one. What ends later takes no ruling back.
func (t *Table) needed(crashes []Crash, servers int) int {
	if servers <= 0 {
		return poisonAt
	}
	ran, others, last := time.Duration(0), 0, crashes[len(crashes)-1].Ended
	for _, c := range crashes {
		ran += (c.Ended - c.Began) / time.Duration(len(crashes))
	}
	for _, e := range t.ends {
		if e.At > last-baseSpan && e.At < last+sameMoment && !contains(crashes, e) {
			others++
		}
	}
	chance := min(1, float64(others)/float64(servers)*float64(ran)/float64(baseSpan))
	n := poisonAt
	for p := chance * chance * chance; p > byChance && n < mostNeeded; p *= chance {
		n++
	}
	return n
}

// quarantine is how long a request with so many crashes is not run.
func quarantine(crashes int) time.Duration {
	d := firstQuarantine
	for range crashes - poisonAt {
		if d = d * quarantineGrowth; d >= longestQuarantine {
			return longestQuarantine
		}
	}
	return d
}

// expiry is when a record is forgotten.
func expiry(r Record) time.Duration {
	if n := successive(r.Crashes); n >= poisonAt {
		return r.Changed + quarantine(n) + keepQuarantined
	}
	return r.Changed + keepSuspect
}

// Expire forgets what is too old to matter.
func (t *Table) Expire(now time.Duration) {
	t.ends = slices.DeleteFunc(t.ends, func(e End) bool { return now-e.At >= baseSpan })
	for k, r := range t.records {
		if now >= expiry(r.Record) {
			t.drop(k)
		}
	}
}

func (t *Table) drop(k Key) {
	delete(t.records, k)
	delete(t.untold, k)
}

// bound drops the least guilty of too many records, of equals the oldest. A customer
// that sends ever new bodies cannot so have a request forgotten that is known to crash
// servers, unless it crashes as many servers for each of them.
func (t *Table) bound() {
	if len(t.records) <= maxRecords {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Values(t.records)), func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(successive(a.Crashes), successive(b.Crashes)),
			cmp.Compare(a.Changed, b.Changed),
			slices.Compare(a.Key[:], b.Key[:]))
	})
	t.drop(least.Key)
}
