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
	// idle waits for retryAt to read the ledger again.
	idle shardState = iota
	// listing reads the ledger, to recover it or to learn the outcome of a write.
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
	// segment is the key of the object that holds the newest entry.
	segment string
	// grantUnsent is set if this process committed the claim but never sent the grant, so
	// that nobody can have run the request.
	grantUnsent bool
	answer      *peerpb.ClaimResult
	answeredAt  time.Duration
}

type waiter struct {
	from     string
	claim    *peerpb.Claim
	deadline time.Duration
}

type segment struct {
	key        string
	version    uint64
	openedUnix int64
	firstSeen  time.Duration
	keys       []Key
}

type shard struct {
	m            *Machine
	index        int
	owned        bool
	state        shardState
	retryAt      time.Duration
	nextCommitAt time.Duration
	epoch        uint64
	writeSeq     uint64

	keys    map[Key]*record
	waiting []waiter
	// batch holds the entries of the commit in flight, dirty those of the next one.
	batch []*peerpb.LedgerEntry
	dirty []*peerpb.LedgerEntry

	segments    []segment
	tail        *peerpb.LedgerSegment
	tailKey     string
	tailVersion uint64
	pending     *peerpb.LedgerSegment
	// pendingKey is the object that the write in flight updates, pendingState the state in
	// which it was issued.
	pendingKey   string
	pendingState shardState

	// grantFrom is the time from which keys that the ledger does not hold may be granted
	// after the store was restored from an older copy.
	grantFrom time.Duration

	answerBytes                                int
	commits, granted, deposed, unknownOutcomes uint64
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
	s.refuseWaiting()
	*s = shard{m: s.m, index: s.index, keys: map[Key]*record{}, commits: s.commits, granted: s.granted, deposed: s.deposed, unknownOutcomes: s.unknownOutcomes}
}

// recover reads the ledger. Nothing is granted before that has succeeded.
func (s *shard) recover(now time.Duration) {
	s.state = listing
	s.retryAt = now + storeCallTimeout
	s.m.emit(List{Shard: s.index, Prefix: s.prefix()})
}

// Timeouts and delays of store calls.
const (
	storeCallTimeout = 6 * time.Second
	retryDelay       = 250 * time.Millisecond
	// deposedDelay keeps two instances that both believe they own a shard from fencing each
	// other off in a tight loop.
	deposedDelay = 500 * time.Millisecond
)

func (s *shard) handleClaim(now time.Duration, ev ClaimRequested) {
	if !s.owned {
		s.reply(ev.From, ev.Claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: retryDelay.Microseconds()})
		return
	}
	if slices.ContainsFunc(s.waiting, func(w waiter) bool { return w.claim.RequestId == ev.Claim.RequestId }) {
		return
	}
	if len(s.waiting) >= s.m.cfg.MaxWaiting {
		s.reply(ev.From, ev.Claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: time.Second.Microseconds()})
		return
	}
	s.waiting = append(s.waiting, waiter{from: ev.From, claim: ev.Claim, deadline: now + s.m.cfg.ClaimTimeout})
	s.advance(now)
}

// advance answers waiting claims that need no commit and starts a commit for the rest.
func (s *shard) advance(now time.Duration) {
	if s.state != ready {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return s.answerFromLedger(w) })
	if now < s.grantFrom && len(s.dirty) == 0 {
		return
	}
	if now < s.nextCommitAt || (len(s.waiting) == 0 && len(s.dirty) == 0) {
		return
	}
	s.commit(now)
}

// answerFromLedger answers a claim whose key is in the ledger, and reports whether it did.
func (s *shard) answerFromLedger(w waiter) bool {
	r := s.keys[KeyOf(w.claim.Customer, w.claim.Key)]
	if r == nil || r.entry.State == peerpb.LedgerState_LEDGER_RELEASED {
		return false
	}
	e := r.entry
	if r.grantUnsent && e.RequestId != w.claim.RequestId {
		return false
	}
	switch {
	case e.BodyHash != w.claim.BodyHash:
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_MISMATCH})
	case e.RequestId == w.claim.RequestId:
		// The reply to this request was lost, so it is granted again.
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
	r.grantUnsent = false
	s.granted++
	s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_GRANTED, Runner: w.claim.RequestId})
}

func (s *shard) reply(to, requestID string, r *peerpb.ClaimReply) {
	r.RequestId = requestID
	s.m.emit(Reply{To: to, Reply: r})
}

// commit writes the last segment with the dirty entries and one waiting claim per key.
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
	next := s.nextVersion()
	next.Entries = append(slices.Clone(s.tail.Entries), s.batch...)
	if now >= s.grantFrom {
		next.Era = s.m.era
	}
	s.state = committing
	s.write(now, s.tailKey, next, s.tailVersion)
}

// nextVersion returns a copy of the last segment with a new write ID.
func (s *shard) nextVersion() *peerpb.LedgerSegment {
	s.writeSeq++
	return &peerpb.LedgerSegment{
		Epoch: s.epoch, Owner: s.m.self, WriteId: fmt.Sprintf("%s/%d/%d", s.m.self, s.epoch, s.writeSeq),
		Entries: s.tail.Entries, OpenedUnix: s.tail.OpenedUnix, Era: s.tail.Era,
	}
}

func (s *shard) write(now time.Duration, key string, seg *peerpb.LedgerSegment, expect uint64) {
	raw, err := proto.Marshal(seg)
	if err != nil {
		panic(err) // generated messages without required fields always marshal
	}
	s.pending, s.pendingKey, s.pendingState = seg, key, s.state
	s.retryAt = now + storeCallTimeout
	s.m.emit(Write{Shard: s.index, ID: seg.WriteId, Key: key, Value: raw, Expect: expect})
}

func (s *shard) handleWritten(now time.Duration, ev Written) {
	if !s.owned || s.state != s.pendingState || s.pending == nil || ev.ID != s.pending.WriteId {
		return
	}
	switch {
	case ev.Err == nil:
		s.completeWrite(now, ev.Version)
	case errors.Is(ev.Err, objectapi.ErrConflict):
		// Another instance wrote the segment and now owns the shard, unless this one takes
		// it back.
		s.deposed++
		s.recoverAfter(now, deposedDelay)
	default:
		s.unknownOutcomes++
		s.recoverAfter(now, retryDelay)
	}
}

// recoverAfter schedules a new read of the ledger, which also shows whether a write of
// unknown outcome took effect.
func (s *shard) recoverAfter(now time.Duration, d time.Duration) {
	s.state = idle
	s.retryAt = now + d
}

// completeWrite makes the segment that was written the current one and continues.
func (s *shard) completeWrite(now time.Duration, version uint64) {
	state := s.state
	seg := s.pending
	s.pending = nil
	s.tail, s.tailKey, s.tailVersion = seg, s.pendingKey, version
	s.trackSegment(now, s.tailKey, version, seg)
	s.state = ready
	switch {
	case state == rolling && seg.Sealed:
		s.openNextSegment(now)
		return
	case state == committing:
		s.commits++
		s.nextCommitAt = now + s.m.cfg.MinCommitInterval
		s.applyBatch()
		if proto.Size(seg) > s.m.cfg.SegmentBytes {
			s.seal(now)
		}
	}
	s.advance(now)
}

// applyBatch adds the committed entries to the known keys and grants their claims.
func (s *shard) applyBatch() {
	for _, e := range s.batch {
		previous := s.keys[Key{Hi: e.KeyHi, Lo: e.KeyLo}]
		isNew := previous == nil || previous.entry.RequestId != e.RequestId
		if r := s.applyEntry(e, s.tailKey); isNew {
			r.grantUnsent = e.State == peerpb.LedgerState_LEDGER_CLAIMED && e.Stream == ""
		}
	}
	s.batch = nil
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return s.answerFromLedger(w) })
}

// applyEntry adds an entry of a segment to the known keys. A later entry of a key replaces
// an earlier one.
func (s *shard) applyEntry(e *peerpb.LedgerEntry, segment string) *record {
	k := Key{Hi: e.KeyHi, Lo: e.KeyLo}
	r := s.keys[k]
	if r == nil {
		r = &record{}
		s.keys[k] = r
	}
	r.segment = segment
	// The result of a request may be known in memory before the commit of its claim is read
	// back.
	if r.entry == nil || r.entry.RequestId != e.RequestId || r.entry.State <= e.State {
		r.entry = e
	}
	return r
}

func (s *shard) seal(now time.Duration) {
	seg := s.nextVersion()
	seg.Sealed = true
	s.state = rolling
	s.write(now, s.tailKey, seg, s.tailVersion)
}

func (s *shard) openNextSegment(now time.Duration) {
	s.state = rolling
	next := s.nextVersion()
	next.Entries, next.OpenedUnix = nil, s.m.unix
	s.write(now, s.segmentKey(segmentNumber(s.tailKey)+1), next, 0)
}

func segmentNumber(key string) int {
	n, _ := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return n
}

// handleResult records the outcome of a claimed request, to be committed with the next
// batch. If it is lost in a crash, the answer is lost but the request is not run again.
func (s *shard) handleResult(now time.Duration, res *peerpb.ClaimResult) {
	k := KeyOf(res.Customer, res.Key)
	r := s.keys[k]
	if res.NotRun {
		// The instance that received the request gave up before the claim was committed.
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
		s.recordAnswer(now, r, e, res)
	}
	r.entry = e
	s.dirty = append(s.dirty, e)
	s.advance(now)
}

func (s *shard) recordAnswer(now time.Duration, r *record, e *peerpb.LedgerEntry, res *peerpb.ClaimResult) {
	e.State, e.Status, e.ContentType = peerpb.LedgerState_LEDGER_DONE, res.Status, res.ContentType
	if len(res.Answer) <= s.m.cfg.MaxLedgerAnswer {
		e.Answer, e.AnswerKept = res.Answer, true
		return
	}
	if s.answerBytes+len(res.Answer) <= s.m.cfg.MaxAnswerMemory {
		s.answerBytes += len(res.Answer)
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
		// A call without a reply has an unknown outcome.
		if now >= s.retryAt {
			s.unknownOutcomes++
			s.recover(now)
		}
	}
}

// expireWaiting refuses claims whose commit takes too long. They did not run because they
// were not granted. If such an entry is committed later, the next request may claim its
// key, because the grant was never sent.
func (s *shard) expireWaiting(now time.Duration) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: time.Second.Microseconds()})
		return true
	})
}

func (s *shard) refuseWaiting() {
	for _, w := range s.waiting {
		s.reply(w.from, w.claim.RequestId, &peerpb.ClaimReply{State: peerpb.ClaimState_CLAIM_UNAVAILABLE, RetryAfterUs: retryDelay.Microseconds()})
	}
	s.waiting = nil
}

func (s *shard) expireAnswers(now time.Duration) {
	if s.answerBytes == 0 {
		return
	}
	for _, r := range s.keys {
		if r.answer != nil && now-r.answeredAt > s.m.cfg.AnswerRetention {
			s.answerBytes -= len(r.answer.Answer)
			r.answer = nil
		}
	}
}

func (s *shard) dump() ShardDump {
	return ShardDump{
		Shard: s.index, Ready: s.state == ready || s.state == committing, Epoch: s.epoch, Keys: len(s.keys), Waiting: len(s.waiting),
		Segments: len(s.segments), Commits: s.commits, Granted: s.granted, Deposed: s.deposed, Unknown: s.unknownOutcomes,
	}
}
