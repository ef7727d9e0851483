// Package orphan finds streams and held KV caches whose instance has failed, so that the
// engine's memory is freed.
//
// The package does no I/O and reads no clock.
package orphan

import (
	"strconv"
	"strings"
	"time"

	"github.com/auburnmoor/auburnmoor/port/engine"
)

// ID holds the fields encoded in a request ID.
type ID struct {
	Instance    string
	Incarnation uint64
	Limit       time.Duration
	// Once marks a request that must not be repeated. Its stream outlives its instance
	// until the time limit, so that the caller can fetch the answer with the same
	// idempotency key.
	Once bool
}

// separator and onceSuffix are parts of request IDs.
const (
	separator  = "~"
	onceSuffix = "k"
)

// Format returns a request ID.
func Format(instance string, incarnation, seq uint64, limit time.Duration, once bool) string {
	s := instance + separator + strconv.FormatUint(incarnation, 16) + separator + strconv.FormatUint(seq, 10) +
		separator + strconv.FormatInt(int64((limit+time.Second-1)/time.Second), 10)
	if once {
		s += onceSuffix
	}
	return s
}

// Parse parses a request ID, or the name of a stream or part that begins with one. It fails
// on names that were not made by Format.
func Parse(name string) (ID, bool) {
	if i := strings.IndexAny(name, "#"); i >= 0 {
		name = name[:i]
	} else if i := strings.LastIndexByte(name, '.'); i > strings.LastIndex(name, separator) {
		name = name[:i]
	}
	fields := strings.Split(name, separator)
	if len(fields) != 4 {
		return ID{}, false
	}
	inc, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return ID{}, false
	}
	limit, once := strings.CutSuffix(fields[3], onceSuffix)
	sec, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || sec < 0 {
		return ID{}, false
	}
	return ID{Instance: fields[0], Incarnation: inc, Limit: time.Duration(sec) * time.Second, Once: once}, true
}

// GracePeriod is how long an instance must have been gone before its streams are cancelled.
// Load reports lag and a new membership view may be incomplete; a stream of a live instance
// must not be taken for an orphan.
const GracePeriod = 10 * time.Second

// overrunTolerance is how far a stream of a live instance may exceed its time limit.
const overrunTolerance = 15 * time.Second

// Tracker tracks the streams of the engines that this instance owns.
type Tracker struct {
	// suspects maps a stream to when its instance was first missing.
	suspects map[string]time.Duration
	found    uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{suspects: map[string]time.Duration{}} }

// Found returns the number of orphans found.
func (t *Tracker) Found() uint64 { return t.found }

// Observe processes a load report and returns the streams to cancel. alive reports whether
// the process with the given name and incarnation is a live member.
func (t *Tracker) Observe(now time.Duration, r engine.Report, alive func(instance string, incarnation uint64) bool) []string {
	var out []string
	for _, s := range r.Streams {
		if t.isOrphan(now, r.Engine, s, alive) {
			t.found++
			out = append(out, s.ID)
		}
	}
	t.expireSuspects(now)
	return out
}

func (t *Tracker) isOrphan(now time.Duration, engineName string, s engine.StreamState, alive func(string, uint64) bool) bool {
	id, ok := Parse(s.ID)
	if !ok {
		return false
	}
	age := time.Duration(s.AgeMS) * time.Millisecond
	key := engineName + "/" + s.ID
	if alive(id.Instance, id.Incarnation) {
		delete(t.suspects, key)
		return age > id.Limit+overrunTolerance
	}
	first, ok := t.suspects[key]
	if !ok {
		t.suspects[key] = now
		return false
	}
	if id.Once && age < id.Limit {
		return false
	}
	return now-first >= GracePeriod
}

// expireSuspects drops suspects whose streams are long gone.
func (t *Tracker) expireSuspects(now time.Duration) {
	const keep = time.Hour
	for k, at := range t.suspects {
		if now-at > keep {
			delete(t.suspects, k)
		}
	}
}
