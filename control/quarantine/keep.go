package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/durable"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/evidence"
)

const (
	// recordTimeout bounds one call to the store.
	recordTimeout = 800 * time.Millisecond
	// minReadPause and maxReadPause bound the pause after a failed read.
	minReadPause, maxReadPause = 100 * time.Millisecond, 5 * time.Second
	// maxRecordWait is how long after the start of the instance requests wait for the record. The
	// requests of instances that cannot read it are served: the store is away more often than requests
	// crash servers.
	maxRecordWait = 1500 * time.Millisecond
	// catchUpTime is how long after its start an instance reads the record because another one tells of
	// a newer one, catchUpDelay how long it waits before for what peers tell of crashes.
	catchUpTime  = 10 * time.Second
	catchUpDelay = 300 * time.Millisecond
	// maxConflicts bounds the repetitions of a write that met another one.
	maxConflicts = 4
)

// Errors of a write of the record.
var (
	errTrialTaken = errors.New("the part was tried by another instance")
	errConflicts  = errors.New("other instances write the record all the time")
)

// recordKeeper keeps the record of crashes in the store.
type recordKeeper struct {
	store evidence.Store
	// day returns the time of day, place the place of this instance in the list of members.
	day   func() time.Time
	place func() int
	// maxBytes bounds the record.
	maxBytes int
	// due signals that the record has to be written.
	due chan struct{}
	// read is closed once the record was read.
	read chan struct{}
	// behind signals that the store has a newer record than this instance has read.
	behind chan struct{}

	// writer, told and era are guarded by the mutex of the module.
	writer *durable.Writer
	// told is set once other instances were told what the store holds.
	told bool
	// era is that of the store when the record was read or written last.
	era uint64
}

func newRecordKeeper(store evidence.Store, place func() int) *recordKeeper {
	return &recordKeeper{
		store: store, day: time.Now, place: place, maxBytes: maxRecordBytes, writer: durable.NewWriter(), told: true,
		due: make(chan struct{}, 1), read: make(chan struct{}), behind: make(chan struct{}, 1),
	}
}

// AwaitRecord waits until the record of crashes was read after the start of the instance, for a bounded
// time.
func (q *Quarantine) AwaitRecord(ctx context.Context) {
	if q.record == nil {
		return
	}
	select {
	case <-q.record.read:
		return
	default:
	}
	timeout := time.NewTimer(maxRecordWait - q.now())
	defer timeout.Stop()
	select {
	case <-q.record.read:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// keepRecord reads the record and writes it when this instance has to.
func (q *Quarantine) keepRecord(ctx context.Context) {
	q.readUntilDone(ctx, true)
	close(q.record.read)
	go q.catchUp(ctx)
	for ctx.Err() == nil {
		after, due := q.recordDue()
		if !due {
			select {
			case <-ctx.Done():
			case <-q.record.due:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-q.record.due:
			continue
		case <-time.After(after):
		}
		if _, due = q.recordDue(); due {
			q.logWrite(q.writeRecord(ctx, nil))
		}
	}
}

// catchUp reads the newest record, as the one read first may be some seconds old: an instance that calls
// the store for others once it knows them, and any other one if it is told of a newer record.
func (q *Quarantine) catchUp(ctx context.Context) {
	for !q.members.Settled() {
		if !wait.For(ctx, catchUpDelay) {
			return
		}
	}
	if q.members.Standing().Primary() {
		q.readUntilDone(ctx, false)
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-q.record.behind:
	case <-time.After(catchUpTime - q.now()):
		return
	}
	wait.For(ctx, catchUpDelay+rand.N(catchUpDelay))
	if _, due := q.recordDue(); due {
		q.readUntilDone(ctx, false)
	}
}

// readUntilDone reads the record, again after failures.
func (q *Quarantine) readUntilDone(ctx context.Context, staleOK bool) {
	for pause := minReadPause; ctx.Err() == nil; pause = min(maxReadPause, 2*pause) {
		_, _, err := q.readRecord(ctx, staleOK)
		if err == nil {
			return
		}
		q.log.Info("record of crashes cannot be read", eventlog.Error(err))
		wait.For(ctx, pause)
	}
}

// readRecord reads the record and adds it to what is known. What cannot be read of it counts as not there.
func (q *Quarantine) readRecord(ctx context.Context, staleOK bool) (evidence.Record, record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	raw, err := q.record.store.Read(ctx, staleOK)
	if err != nil {
		return raw, record{}, err
	}
	r, err := decodeRecord(q.now(), q.record.day(), raw.Content)
	if err != nil {
		q.scope.Counter("crash_records_unreadable_total").Inc(1)
		q.log.Warn("part of the record of crashes in the store cannot be read and will be replaced", eventlog.Error(err))
	}
	q.restore(r)
	return raw, r, nil
}

// restore adds a record that was read to what is known.
func (q *Quarantine) restore(r record) {
	q.withTable(func(t *poison.Table) {
		now := q.now()
		t.Restore(now, r.requests)
		q.parts.Restore(now, r.parts)
		q.record.era = q.record.store.Era()
		q.setStored(r.digest(now))
		q.want()
	})
	wake(q.crashed)
}

// setStored records what the store holds; q.mu must be held.
func (q *Quarantine) setStored(digest uint64) {
	if digest == q.record.writer.Stored() {
		return
	}
	// That nothing is stored, as at most starts, is no news.
	q.record.told = q.record.writer.Stored() == 0 && digest == durable.Nothing
	q.record.writer.SetStored(q.now(), digest)
	wake(q.changed)
}

// takeStored returns what other instances have to be told of the store, zero for nothing; q.mu must be
// held.
func (q *Quarantine) takeStored() uint64 {
	if q.record == nil || q.record.told {
		return 0
	}
	q.record.told = true
	return q.record.writer.Stored()
}

// hearStored records what another instance tells of the store; q.mu must be held.
func (q *Quarantine) hearStored(digest uint64) {
	if q.record == nil || digest == 0 || digest == q.record.writer.Stored() {
		return
	}
	if contentOf(q.table, q.parts).Digest == digest {
		q.setStored(digest)
		return
	}
	wake(q.record.behind)
}

// want sets what the store has to hold by what is known now; q.mu must be held.
func (q *Quarantine) want() {
	if q.record == nil {
		return
	}
	now := q.now()
	if era := q.record.store.Era(); era > q.record.era {
		q.record.era = era
		q.record.writer.Forget(now)
	}
	q.record.writer.Want(now, contentOf(q.table, q.parts))
	wake(q.record.due)
}

// recordDue returns the time until this instance has to write the record, false if it need not.
func (q *Quarantine) recordDue() (time.Duration, bool) {
	place := q.record.place()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.record.writer.Due(q.now(), place)
}

// place is the place of this instance in the list of members that do not leave.
func (q *Quarantine) place() (n int) {
	for _, m := range q.members.View().Alive {
		if !m.Leaving && m.Name < q.self {
			n++
		}
	}
	return n
}

// writeRecord merges what is known with the record and writes it, unless the record has it all. With a
// trial it fails if the part cannot be tried.
func (q *Quarantine) writeRecord(ctx context.Context, trial *blame.UsedTrial) error {
	defer q.recordTried()
	for range maxConflicts {
		raw, stored, err := q.readRecord(ctx, false)
		if err != nil {
			return err
		}
		next, err := q.nextRecord(stored, trial)
		if err != nil || next.content == nil {
			return err
		}
		err = q.storeRecord(ctx, next, raw)
		if errors.Is(err, evidence.ErrConflict) {
			continue
		}
		if trial != nil && !errors.Is(err, evidence.ErrNotWritten) {
			// A write without an answer may take effect.
			q.withParts(func(t *blame.Table) { t.MergeUsed(q.now(), *trial) })
		}
		return err
	}
	return errConflicts
}

// storeRecord writes content over the record that was read.
func (q *Quarantine) storeRecord(ctx context.Context, next nextRecord, read evidence.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := q.record.store.Write(ctx, next.content, read); err != nil {
		return err
	}
	q.scope.Counter("crash_records_written_total").Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setStored(next.digest)
	return nil
}

func (q *Quarantine) recordTried() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record.writer.Tried(q.now())
}

// nextRecord is content to write with its digest; no content if the store has it already.
type nextRecord struct {
	content []byte
	digest  uint64
}

func (q *Quarantine) nextRecord(stored record, trial *blame.UsedTrial) (next nextRecord, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	next.digest = contentOf(q.table, q.parts).Digest
	if trial != nil {
		if !q.parts.MayUse(now, *trial) {
			return next, errTrialTaken
		}
		next.digest += trial.ID
	}
	if next.digest == q.record.writer.Stored() {
		return next, nil
	}
	requests := q.table.Durable(stored.requests)
	for most := blame.MaxDurableCrashes; ; most /= 2 {
		r := record{parts: q.parts.Durable(stored.parts, most), requests: requests}
		if trial != nil {
			r.parts.Used = append(r.parts.Used, *trial)
		}
		next.content, err = encodeRecord(now, q.record.day(), r, q.record.maxBytes)
		if !errors.Is(err, errRecordTooLarge) || most == 0 {
			return next, err
		}
	}
}

func (q *Quarantine) logWrite(err error) {
	if err != nil {
		q.log.Warn("record of crashes not written", eventlog.Error(err))
		return
	}
	q.log.Info("record of crashes written")
}

// useTrial counts a trial of a part in the store before it is run, so that it is counted whatever is
// lost, and reports whether it may be run.
func (q *Quarantine) useTrial(ctx context.Context, part blame.Key) bool {
	var trial blame.UsedTrial
	q.withParts(func(t *blame.Table) {
		trial = t.NewTrial(q.now(), rand.Uint64(), part)
		if q.record == nil {
			t.MergeUsed(q.now(), trial)
		}
	})
	if q.record == nil {
		return true
	}
	err := q.writeRecord(ctx, &trial)
	if err != nil {
		q.log.Info("trial of a refused part not run, it cannot be counted in the store", zap.Stringer("part", part), eventlog.Error(err))
		return false
	}
	return true
}
