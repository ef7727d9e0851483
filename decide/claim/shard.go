package claim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

type shardState int

const (
	idle shardState = iota
	// listing reads the ledger, to recover it or to learn the fate of a write.
	listing
	// fencing writes the last segment with a new epoch.
	fencing
	ready
	// committing writes the last segment with new entries.
	committing
	// rolling seals the last segment or creates the next one.
	rolling
)

type record struct {
	entry *peerpb.LedgerEntry
	// segment is the object that holds the newest entry.
	segment string
	// unoffered tells that this process committed the claim and never sent its
	// grant, so nobody can have run the request.
	unoffered  bool
	answer     *peerpb.ClaimResult
	answeredAt time.Duration
}

type waiter struct {
	from  string
	claim *peerpb.Claim
	until time.Duration
}

type segment struct {
	key     string
	version uint64
	opened  int64
	seen    time.Duration
	keys    []Key
}

type shard struct {
	m       *Machine
	index   int
	owned   bool
	state   shardState
	retryAt time.Duration
	nextAt  time.Duration
	epoch   uint64
	writes  uint64

	keys    map[Key]*record
	waiting []waiter
	// batch is what the commit in flight adds, dirty what the next one adds.
	batch []*peerpb.LedgerEntry
	dirty []*peerpb.LedgerEntry

	segments []segment
	tail     *peerpb.LedgerSegment
	tailKey  string
	version  uint64
	pending  *peerpb.LedgerSegment
	// pendingKey and pendingState are the object that the write in flight
	// updates and the state that it was issued in.
	pendingKey   string
	pendingState shardState

	// grantFrom is when keys that the ledger does not hold may be granted again after the
	// store came back from an older copy.
	grantFrom time.Duration

	answers                            int
	commits, granted, deposed, unknown uint64
}

func newShard(i int, m *Machine) *shard { return &shard{m: m, index: i, keys: map[Key]*record{}} }

func (s *shard) prefix() string { return ShardName(s.index) + "/" }

func (s *shard) segmentKey(n int) string { return fmt.Sprintf("%s%08d", s.prefix(), n) }

func (s *shard) setOwned(now time.Duration, owned bool) {
	if owned == s.owned {
		return
	}
	s.owned = owned
	if owned {
		s.recover(now)
		return
	}
	s.refuseAll()
	*s = shard{m: s.m, index: s.index, keys: map[Key]*record{}, commits: s.commits, granted: s.granted, deposed: s.deposed, unknown: s.unknown}
}

// recover reads the ledger before anything is granted.
func (s *shard) recover(now time.Duration) {
	s.state = listing
	s.retryAt = now + listTimeout
	s.m.act(List{Shard: s.index, Prefix: s.prefix()})
}

// Delays of the ledger.
const (
	listTimeout = 6 * time.Second
	retryPause  = 250 * time.Millisecond
	// deposedPause keeps two instances that both believe they own a shard from
	// fencing each other without end.
	deposedPause = 500 * time.Millisecond
)

func (s *shard) claim(now time.Duration, ev Claimed) {
	if !s.owned {
		s.reply(ev.From, ev.Claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: retryPause.Microseconds()})
		return
	}
	if slices.ContainsFunc(s.waiting, func(w waiter) bool { return w.claim.RequestId == ev.Claim.RequestId }) {
		return
	}
	if len(s.waiting) >= s.m.cfg.MaxWaiting {
		s.reply(ev.From, ev.Claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: time.Second.Microseconds()})
		return
	}
	s.waiting = append(s.waiting, waiter{from: ev.From, claim: ev.Claim, until: now + s.m.cfg.Patience})
	s.advance(now)
}

// advance answers the waiting claims that need no commit and starts a commit
// for the rest.
func (s *shard) advance(now time.Duration) {
	if s.state != ready {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return s.settle(w) })
	if now < s.grantFrom && len(s.dirty) == 0 {
		return
	}
	if now < s.nextAt || (len(s.waiting) == 0 && len(s.dirty) == 0) {
		return
	}
	s.commit(now)
}

// settle answers a claim on a key that the ledger knows.
func (s *shard) settle(w waiter) bool {
	r := s.keys[KeyOf(w.claim.Customer, w.claim.Key)]
	if r == nil || r.entry.State == peerpb.LedgerState_LEDGER_RELEASED {
		return false
	}
	e := r.entry
	if r.unoffered && e.RequestId != w.claim.RequestId {
		return false
	}
	switch {
	case e.BodyHash != w.claim.BodyHash:
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_MISMATCH})
	case e.RequestId == w.claim.RequestId:
		// The grant's reply was lost; the same request may have it again.
		s.grant(w, r)
	case e.State == peerpb.LedgerState_LEDGER_DONE:
		s.reply(w.from, w.claim.RequestId, doneReply(r))
	default:
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{
			State: peerpb.ClaimState_CLAIM_RUNNING, Runner: e.RequestId, RetryAfterUs: time.Second.Microseconds(),
			Engine: e.Engine, Stream: e.Stream,
		})
	}
	return true
}

func doneReply(r *record) *peerpb.ClaimReply {
	out := &peerpb.ClaimReply{
		State: peerpb.ClaimState_CLAIM_DONE, Runner: r.entry.RequestId, Status: r.entry.Status,
		ContentType: r.entry.ContentType, Answer: r.entry.Answer, AnswerKept: r.entry.AnswerKept,
	}
	if r.answer != nil {
		out.Answer, out.AnswerKept = r.answer.Answer, true
	}
	return out
}

func (s *shard) grant(w waiter, r *record) {
	r.unoffered = false
	s.granted++
	s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_GRANTED, Runner: w.claim.RequestId})
}

func (s *shard) reply(to, requestID string, r *peerpb.ClaimReply) {
	r.RequestId = requestID
	s.m.act(Reply{To: to, Reply: r})
}

// commit writes the last segment with the waiting claims, one for each key.
func (s *shard) commit(now time.Duration) {
	s.batch = s.dirty
	s.dirty = nil
	claimed := map[Key]bool{}
	waiting := s.waiting
	if now < s.grantFrom {
		waiting = nil
	}
	for _, w := range waiting {
		k := KeyOf(w.claim.Customer, w.claim.Key)
		if claimed[k] {
			continue
		}
		claimed[k] = true
		s.batch = append(s.batch, &peerpb.LedgerEntry{KeyHi: k.Hi, KeyLo: k.Lo, BodyHash: w.claim.BodyHash, RequestId: w.claim.RequestId})
	}
	next := s.nextSegment()
	next.Entries = append(slices.Clone(s.tail.Entries), s.batch...)
	if now >= s.grantFrom {
		next.Era = s.m.era
	}
	s.state = committing
	s.write(now, s.tailKey, next, s.version)
}

// nextSegment copies the header of the last segment with a new write id.
func (s *shard) nextSegment() *peerpb.LedgerSegment {
	s.writes++
	return &peerpb.LedgerSegment{
		Epoch: s.epoch, Owner: s.m.self, WriteId: fmt.Sprintf("%s/%d/%d", s.m.self, s.epoch, s.writes),
		Entries: s.tail.Entries, OpenedUnix: s.tail.OpenedUnix, Era: s.tail.Era,
	}
}

func (s *shard) write(now time.Duration, key string, seg *peerpb.LedgerSegment, expect uint64) {
	raw, err := proto.Marshal(seg)
	if err != nil {
		panic(err) // generated messages without required fields always marshal
	}
	s.pending, s.pendingKey, s.pendingState = seg, key, s.state
	s.retryAt = now + listTimeout
	s.m.act(Write{Shard: s.index, ID: seg.WriteId, Key: key, Value: raw, Expect: expect})
}

func (s *shard) written(now time.Duration, ev Written) {
	if !s.owned || s.state != s.pendingState || s.pending == nil || ev.ID != s.pending.WriteId {
		return
	}
	switch {
	case ev.Err == nil:
		s.confirmed(now, ev.Version)
	case errors.Is(ev.Err, objectapi.ErrConflict):
		// Another instance wrote the segment and owns the shard now, unless this
		// one takes it back.
		s.deposed++
		s.pause(now, deposedPause)
	default:
		s.unknown++
		s.pause(now, retryPause)
	}
}

// pause lists the ledger again after a while: the fate of the last write is
// unknown, and only what the store holds can tell.
func (s *shard) pause(now time.Duration, d time.Duration) {
	s.state = idle
	s.retryAt = now + d
}

// confirmed takes over the write in flight.
func (s *shard) confirmed(now time.Duration, version uint64) {
	state := s.state
	seg := s.pending
	s.pending = nil
	s.tail, s.tailKey, s.version = seg, s.pendingKey, version
	s.noteSegment(now, s.tailKey, version, seg)
	s.state = ready
	switch {
	case state == rolling && seg.Sealed:
		s.openNext(now)
		return
	case state == committing:
		s.commits++
		s.nextAt = now + s.m.cfg.Spacing
		s.applyBatch()
		if proto.Size(seg) > s.m.cfg.SegmentBytes {
			s.seal(now)
		}
	}
	s.advance(now)
}

// applyBatch makes the committed entries known and grants their claims.
func (s *shard) applyBatch() {
	for _, e := range s.batch {
		before := s.keys[Key{Hi: e.KeyHi, Lo: e.KeyLo}]
		isNew := before == nil || before.entry.RequestId != e.RequestId
		if r := s.apply(e, s.tailKey); isNew {
			r.unoffered = e.State == peerpb.LedgerState_LEDGER_CLAIMED && e.Stream == ""
		}
	}
	s.batch = nil
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return s.settle(w) })
}

// apply takes over an entry of a segment. Later entries of a key replace
// earlier ones.
func (s *shard) apply(e *peerpb.LedgerEntry, segment string) *record {
	k := Key{Hi: e.KeyHi, Lo: e.KeyLo}
	r := s.keys[k]
	if r == nil {
		r = &record{}
		s.keys[k] = r
	}
	r.segment = segment
	// The result of a request may be known in memory before the commit of its
	// claim is read back.
	if r.entry == nil || r.entry.RequestId != e.RequestId || r.entry.State <= e.State {
		r.entry = e
	}
	return r
}

func (s *shard) seal(now time.Duration) {
	seg := s.nextSegment()
	seg.Sealed = true
	s.state = rolling
	s.write(now, s.tailKey, seg, s.version)
}

func (s *shard) openNext(now time.Duration) {
	s.state = rolling
	next := s.nextSegment()
	next.Entries, next.OpenedUnix = nil, s.m.unix
	s.write(now, s.segmentKey(segmentNumber(s.tailKey)+1), next, 0)
}

func segmentNumber(key string) int {
	n, _ := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return n
}

// result records what became of a claimed request. It is committed with the
// next group; losing it to a crash costs the answer, not a second run.
func (s *shard) result(now time.Duration, res *peerpb.ClaimResult) {
	k := KeyOf(res.Customer, res.Key)
	r := s.keys[k]
	if res.NotRun {
		// The entry gave up before its claim was committed.
		s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.claim.RequestId == res.RequestId })
	}
	if !s.owned || r == nil || r.entry.RequestId != res.RequestId || r.entry.State != peerpb.LedgerState_LEDGER_CLAIMED {
		return
	}
	e := proto.Clone(r.entry).(*peerpb.LedgerEntry)
	switch {
	case res.NotRun:
		e.State = peerpb.LedgerState_LEDGER_RELEASED
	case res.Stream != "":
		e.Engine, e.Stream = res.Engine, res.Stream
	default:
		s.finished(now, r, e, res)
	}
	r.entry = e
	s.dirty = append(s.dirty, e)
	s.advance(now)
}

func (s *shard) finished(now time.Duration, r *record, e *peerpb.LedgerEntry, res *peerpb.ClaimResult) {
	e.State, e.Status, e.ContentType = peerpb.LedgerState_LEDGER_DONE, res.Status, res.ContentType
	if len(res.Answer) <= s.m.cfg.LedgerAnswer {
		e.Answer, e.AnswerKept = res.Answer, true
		return
	}
	if s.answers+len(res.Answer) <= s.m.cfg.MaxAnswers {
		s.answers += len(res.Answer)
		r.answer, r.answeredAt = res, now
	}
}

func (s *shard) tick(now time.Duration) {
	if !s.owned {
		return
	}
	s.expireWaiting(now)
	switch s.state {
	case idle:
		if now >= s.retryAt {
			s.recover(now)
		}
	case ready:
		s.expireAnswers(now)
		s.expireSegments(now)
		s.advance(now)
	default:
		// A call whose outcome never arrives counts as unknown.
		if now >= s.retryAt {
			s.unknown++
			s.recover(now)
		}
	}
}

// expireWaiting refuses claims whose commit takes too long. They did not run:
// nothing was granted. Should their entry still take effect, it is released,
// because this owner never offered it.
func (s *shard) expireWaiting(now time.Duration) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		if now < w.until {
			return false
		}
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: time.Second.Microseconds()})
		return true
	})
}

func (s *shard) refuseAll() {
	for _, w := range s.waiting {
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: retryPause.Microseconds()})
	}
	s.waiting = nil
}

func (s *shard) expireAnswers(now time.Duration) {
	if s.answers == 0 {
		return
	}
	for _, r := range s.keys {
		if r.answer != nil && now-r.answeredAt > s.m.cfg.KeepAnswers {
			s.answers -= len(r.answer.Answer)
			r.answer = nil
		}
	}
}

func (s *shard) dump() ShardDump {
	return ShardDump{
		Shard: s.index, Ready: s.state == ready || s.state == committing, Epoch: s.epoch, Keys: len(s.keys), Waiting: len(s.waiting),
		Segments: len(s.segments), Commits: s.commits, Granted: s.granted, Deposed: s.deposed, Unknown: s.unknown,
	}
}
