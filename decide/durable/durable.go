// Package durable decides when an instance writes what all instances know alike to the store, so that
// few of them do and one that fails is replaced.
//
// The instance that is first in the list of members writes. The others wait, longer the later they are in
// the list, and write only if they have not heard meanwhile that it is done. Each write is conditional on
// the content that was read before it and merged, so two that write at the same time lose nothing.
//
// The package does no I/O and reads no clock. Times are those of the instance's own clock.
package durable

import "time"

const (
	// undecidedDelay is how long content that is not decided yet waits: most of it is obsolete sooner.
	undecidedDelay = time.Second
	// takeoverStep is how much longer an instance waits than the one before it in the list: a read and a
	// write of the store, and the word that it is done.
	takeoverStep = 500 * time.Millisecond
	// minPause and maxPause bound the time between two writes of an instance; each write, or failure,
	// doubles it until there is nothing to write for calmTime.
	minPause, maxPause = time.Second, time.Minute
	calmTime           = 10 * time.Minute
)

// Nothing is the digest of no content.
const Nothing uint64 = 1

// Content is what an instance wants the store to hold.
type Content struct {
	Digest uint64
	// Decided is set if its loss would cost more than what is still to be decided.
	Decided bool
}

// Writer tells when an instance has to write. It is not safe for concurrent use.
type Writer struct {
	wanted Content
	// since is when the wanted content became different from the stored one.
	since time.Duration
	// stored is what the store holds as far as is known, zero if it is not known.
	stored uint64
	// pause is the present time between two writes, triedAt when the last one was.
	pause   time.Duration
	triedAt time.Duration
	tried   bool
}

// NewWriter returns the Writer of an instance that wants nothing and does not know what is stored.
func NewWriter() *Writer { return &Writer{wanted: Content{Digest: Nothing}, pause: minPause} }

// Want sets what the store has to hold from now on.
func (w *Writer) Want(now time.Duration, c Content) {
	if c == w.wanted {
		return
	}
	if !w.pending() || c.Decided && !w.wanted.Decided {
		w.since = now
	}
	w.wanted = c
}

// SetStored records what the store holds.
func (w *Writer) SetStored(now time.Duration, digest uint64) {
	if digest != w.stored && !w.pending() {
		w.since = now
	}
	w.stored = digest
}

// Stored returns what the store holds as far as is known, zero if it is not known.
func (w *Writer) Stored() uint64 { return w.stored }

// Forget records that the store may hold something else than is known.
func (w *Writer) Forget(now time.Duration) { w.SetStored(now, 0) }

// Tried records that the instance has written, or failed to.
func (w *Writer) Tried(now time.Duration) {
	if w.tried && now-w.triedAt > calmTime {
		w.pause = minPause
	} else if w.tried {
		w.pause = min(maxPause, 2*w.pause)
	}
	w.tried, w.triedAt = true, now
}

// Due returns the time until the instance has to write, given its place in the list of members, and false
// if the store holds what is wanted.
func (w *Writer) Due(now time.Duration, place int) (time.Duration, bool) {
	if !w.pending() {
		return 0, false
	}
	due := w.since + time.Duration(place)*takeoverStep
	if !w.wanted.Decided {
		due += undecidedDelay
	}
	if w.tried {
		due = max(due, w.triedAt+w.pause)
	}
	return max(0, due-now), true
}

// pending reports whether the store does not hold what is wanted. Content that was never stored need not
// be removed.
func (w *Writer) pending() bool {
	if w.stored == 0 {
		return w.wanted.Digest != Nothing
	}
	return w.stored != w.wanted.Digest
}
