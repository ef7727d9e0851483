package claim

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// minObserved is how long an owner must itself have seen a segment before it
// may expire, so that a clock that jumps ahead at the owner's start does not
// make it forget keys at once.
const minObserved = 10 * time.Minute

// listed takes over what the store holds: the fate of a write in flight, or
// the ledger of a former owner.
func (s *shard) listed(now time.Duration, ev Listed) {
	if !s.owned || s.state != listing {
		return
	}
	if ev.Err != nil || ev.Era < s.m.era {
		s.pause(now, retryPause)
		return
	}
	segs, err := decodeSegments(ev.Objects)
	if err != nil {
		s.pause(now, time.Second)
		return
	}
	last := lastSegment(segs)
	if s.pending != nil && last != nil && last.seg.WriteId == s.pending.WriteId {
		s.resolved(now, last)
		return
	}
	s.takeOver(now, segs, last)
}

type stored struct {
	key     string
	version uint64
	seg     *peerpb.LedgerSegment
}

func decodeSegments(objects []objectapi.Object) ([]stored, error) {
	var out []stored
	for _, o := range objects {
		seg := &peerpb.LedgerSegment{}
		if err := proto.Unmarshal(o.Value, seg); err != nil {
			return nil, err
		}
		out = append(out, stored{key: o.Key, version: o.Version, seg: seg})
	}
	slices.SortFunc(out, func(a, b stored) int { return cmp.Compare(a.key, b.key) })
	return out, nil
}

func lastSegment(segs []stored) *stored {
	if len(segs) == 0 {
		return nil
	}
	return &segs[len(segs)-1]
}

// resolved continues after a write whose reply was lost but that took effect.
func (s *shard) resolved(now time.Duration, last *stored) {
	s.state = s.pendingState
	s.confirmed(now, last.version)
}

// takeOver rebuilds the keys from the ledger and fences its last segment. The
// fence is a conditional update: it fails if the former owner wrote in
// between, and once it holds, the former owner's next update fails. Only then
// is the list known to be complete.
func (s *shard) takeOver(now time.Duration, segs []stored, last *stored) {
	old := s.keys
	s.keys, s.segments, s.batch, s.dirty, s.answers = map[Key]*record{}, nil, nil, nil, 0
	s.epoch = 1
	for _, st := range segs {
		s.epoch = max(s.epoch, st.seg.Epoch+1)
		s.noteSegment(now, st.key, st.version, st.seg)
		for _, e := range st.seg.Entries {
			s.apply(e, st.key)
		}
	}
	s.restore(old)
	if last == nil && s.m.era > objectapi.FirstEra || last != nil && last.seg.Era < s.m.era {
		s.grantFrom = max(s.grantFrom, now+reclaimFor)
	}
	s.state = fencing
	if last == nil || last.seg.Sealed {
		number := 1
		if last != nil {
			number = segmentNumber(last.key) + 1
		}
		s.tail = &peerpb.LedgerSegment{OpenedUnix: s.m.unix}
		s.write(now, s.segmentKey(number), s.nextSegment(), 0)
		return
	}
	s.tail = last.seg
	s.write(now, last.key, s.nextSegment(), last.version)
}

// reclaimFor is the time after the store came back from an older copy in which no key is
// granted that the ledger does not hold. Claims that the copy lacks are lost; whoever they
// were granted to tells of them within that time, and a claim that its holder does not
// tell of any more is of an instance that ended too.
const reclaimFor = 3 * time.Second

// beginEra reads the ledger again.
func (s *shard) beginEra(now time.Duration) {
	s.grantFrom = now + reclaimFor
	if s.owned {
		s.pending = nil
		s.recover(now)
	}
}

// reclaim takes over a claim that was granted in an earlier era of the store.
func (s *shard) reclaim(now time.Duration, c *peerpb.Reclaim) {
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

// restore keeps what only this process knows over its own recovery: answers in
// memory, grants never offered and results not committed yet, and claims that the store
// lost when it came back from an older copy.
func (s *shard) restore(old map[Key]*record) {
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
		r.unoffered = o.unoffered
		if o.answer != nil {
			r.answer, r.answeredAt = o.answer, o.answeredAt
			s.answers += len(o.answer.Answer)
		}
		if o.entry.State > r.entry.State || (o.entry.Stream != "" && r.entry.Stream == "") {
			r.entry = o.entry
			s.dirty = append(s.dirty, o.entry)
		}
	}
}

func (s *shard) noteSegment(now time.Duration, key string, version uint64, seg *peerpb.LedgerSegment) {
	i := slices.IndexFunc(s.segments, func(o segment) bool { return o.key == key })
	if i < 0 {
		s.segments = append(s.segments, segment{key: key, seen: now})
		i = len(s.segments) - 1
	}
	g := &s.segments[i]
	g.version, g.opened = version, seg.OpenedUnix
	for _, e := range seg.Entries[len(g.keys):] {
		g.keys = append(g.keys, Key{Hi: e.KeyHi, Lo: e.KeyLo})
	}
}

// expireSegments removes the oldest segment once all its keys are older than
// keys are remembered: they are no newer than the opening of the next one.
func (s *shard) expireSegments(now time.Duration) {
	if len(s.segments) < 2 {
		return
	}
	first, second := s.segments[0], s.segments[1]
	old := second.opened > 0 && s.m.unix-second.opened > int64(s.m.cfg.KeepKeys.Seconds())
	if !old || now-first.seen < minObserved {
		return
	}
	s.segments = s.segments[1:]
	for _, k := range first.keys {
		if r := s.keys[k]; r != nil && r.segment == first.key {
			delete(s.keys, k)
		}
	}
	s.m.act(Remove{Key: first.key, Expect: first.version})
}
