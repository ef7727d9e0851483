package claim

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// minObserved is how long an owner must itself have known a segment before the segment may
// expire. Without it, a wall clock that jumps ahead at the owner's start would make it drop
// keys at once.
const minObserved = 10 * time.Minute

// handleListed completes a write whose outcome was unknown, or takes over the ledger of a
// previous owner.
func (s *shard) handleListed(now time.Duration, ev Listed) {
	if !s.owned || s.state != listing {
		return
	}
	if ev.Err != nil || ev.Era < s.m.era {
		s.recoverAfter(now, retryDelay)
		return
	}
	segs, err := decodeSegments(ev.Objects)
	if err != nil {
		s.recoverAfter(now, time.Second)
		return
	}
	last := lastSegment(segs)
	if s.pending != nil && last != nil && last.seg.WriteId == s.pending.WriteId {
		s.resumeAfterWrite(now, last)
		return
	}
	s.takeOver(now, segs, last)
}

type storedSegment struct {
	key     string
	version uint64
	seg     *peerpb.LedgerSegment
}

func decodeSegments(objects []objectapi.Object) ([]storedSegment, error) {
	var out []storedSegment
	for _, o := range objects {
		seg := &peerpb.LedgerSegment{}
		if err := proto.Unmarshal(o.Value, seg); err != nil {
			return nil, err
		}
		out = append(out, storedSegment{key: o.Key, version: o.Version, seg: seg})
	}
	slices.SortFunc(out, func(a, b storedSegment) int { return cmp.Compare(a.key, b.key) })
	return out, nil
}

func lastSegment(segs []storedSegment) *storedSegment {
	if len(segs) == 0 {
		return nil
	}
	return &segs[len(segs)-1]
}

// resumeAfterWrite continues after a write that took effect although its reply was lost.
func (s *shard) resumeAfterWrite(now time.Duration, last *storedSegment) {
	s.state = s.pendingState
	s.completeWrite(now, last.version)
}

// takeOver rebuilds the keys from the ledger and fences off the previous owner by a
// conditional update of the last segment. The update fails if the previous owner wrote
// after the list was read; once it succeeds, the previous owner's next update fails. Only
// then is the list known to be complete.
func (s *shard) takeOver(now time.Duration, segs []storedSegment, last *storedSegment) {
	previous := s.keys
	s.keys, s.segments, s.batch, s.dirty, s.answerBytes = map[Key]*record{}, nil, nil, nil, 0
	s.epoch = 1
	for _, st := range segs {
		s.epoch = max(s.epoch, st.seg.Epoch+1)
		s.trackSegment(now, st.key, st.version, st.seg)
		for _, e := range st.seg.Entries {
			s.applyEntry(e, st.key)
		}
	}
	s.restoreLocal(previous)
	if last == nil && s.m.era > objectapi.FirstEra || last != nil && last.seg.Era < s.m.era {
		s.grantFrom = max(s.grantFrom, now+reclaimGrace)
	}
	s.state = fencing
	if last == nil || last.seg.Sealed {
		number := 1
		if last != nil {
			number = segmentNumber(last.key) + 1
		}
		s.tail = &peerpb.LedgerSegment{OpenedUnix: s.m.unix}
		s.write(now, s.segmentKey(number), s.nextVersion(), 0)
		return
	}
	s.tail = last.seg
	s.write(now, last.key, s.nextVersion(), last.version)
}

// reclaimGrace is the time after a restore of the store from an older copy during which no
// key is granted that the ledger does not hold. Instances repeat the claims that the copy
// lacks within that time; a claim that is not repeated belonged to an instance that has
// failed too.
const reclaimGrace = 3 * time.Second

// beginEra reads the ledger again after the store was restored from an older copy.
func (s *shard) beginEra(now time.Duration) {
	s.grantFrom = now + reclaimGrace
	if s.owned {
		s.pending = nil
		s.recover(now)
	}
}

// handleReclaim adds a claim of an earlier era that is missing in the ledger.
func (s *shard) handleReclaim(now time.Duration, c *peerpb.Reclaim) {
	k := KeyOf(c.Customer, c.Key)
	if !s.owned || s.keys[k] != nil {
		return
	}
	e := &peerpb.LedgerEntry{
		KeyHi: k.Hi, KeyLo: k.Lo, BodyHash: c.BodyHash, RequestId: c.RequestId, State: peerpb.LedgerState_LEDGER_CLAIMED,
	}
	s.keys[k] = &record{entry: e, segment: s.tailKey}
	s.dirty = append(s.dirty, e)
	s.advance(now)
}

// restoreLocal carries over what only this process knows: answers in memory, grants that
// were not sent, results that are not committed yet, and claims that the store lost when it
// was restored from an older copy.
func (s *shard) restoreLocal(old map[Key]*record) {
	for k, o := range old {
		r := s.keys[k]
		if r == nil {
			s.keys[k] = o
			s.dirty = append(s.dirty, o.entry)
			continue
		}
		if r.entry.RequestId != o.entry.RequestId {
			continue
		}
		r.grantUnsent = o.grantUnsent
		if o.answer != nil {
			r.answer, r.answeredAt = o.answer, o.answeredAt
			s.answerBytes += len(o.answer.Answer)
		}
		if o.entry.State > r.entry.State || (o.entry.Stream != "" && r.entry.Stream == "") {
			r.entry = o.entry
			s.dirty = append(s.dirty, o.entry)
		}
	}
}

func (s *shard) trackSegment(now time.Duration, key string, version uint64, seg *peerpb.LedgerSegment) {
	i := slices.IndexFunc(s.segments, func(o segment) bool { return o.key == key })
	if i < 0 {
		s.segments = append(s.segments, segment{key: key, firstSeen: now})
		i = len(s.segments) - 1
	}
	g := &s.segments[i]
	g.version, g.openedUnix = version, seg.OpenedUnix
	for _, e := range seg.Entries[len(g.keys):] {
		g.keys = append(g.keys, Key{Hi: e.KeyHi, Lo: e.KeyLo})
	}
}

// expireSegments removes the oldest segment once all its keys have expired. They are no
// newer than the opening of the next segment.
func (s *shard) expireSegments(now time.Duration) {
	if len(s.segments) < 2 {
		return
	}
	first, second := s.segments[0], s.segments[1]
	expired := second.openedUnix > 0 && s.m.unix-second.openedUnix > int64(s.m.cfg.KeyRetention.Seconds())
	if !expired || now-first.firstSeen < minObserved {
		return
	}
	s.segments = s.segments[1:]
	for _, k := range first.keys {
		if r := s.keys[k]; r != nil && r.segment == first.key {
			delete(s.keys, k)
		}
	}
	s.m.emit(Remove{Key: first.key, Expect: first.version})
}
