// Package orphan finds streams and held KV caches whose instance died, so that
// no engine loses memory for good.
//
// The package does no I/O and reads no clock.
package orphan

import (
	"strconv"
	"strings"
	"time"

	"github.com/auburnmoor/auburnmoor/port/engine"
)

// ID is what a stream's name says of its request.
type ID struct {
	Instance    string
	Incarnation uint64
	Limit       time.Duration
	// Once marks a request that may not be repeated. Its stream outlives its
	// instance until the time limit, so that a repeat can pick the answer up.
	Once bool
}

// separator and onceMark build request ids.
const (
	separator = "~"
	onceMark  = "k"
)

// Format renders a request id.
func Format(instance string, incarnation, seq uint64, limit time.Duration, once bool) string {
	s := instance + separator + strconv.FormatUint(incarnation, 16) + separator + strconv.FormatUint(seq, 10) +
		separator + strconv.FormatInt(int64((limit+time.Second-1)/time.Second), 10)
	if once {
		s += onceMark
	}
	return s
}

// Parse reads a request id or the name of a stream or part that begins with
// one. It fails on names that auburnmoor did not give.
func Parse(name string) (ID, bool) {
	if i := strings.IndexAny(name, "#"); i >= 0 {
		name = name[:i]
	} else if i := strings.LastIndexByte(name, '.'); i > strings.LastIndex(name, separator) {
		name = name[:i]
	}
	f := strings.Split(name, separator)
	if len(f) != 4 {
		return ID{}, false
	}
	inc, err := strconv.ParseUint(f[1], 16, 64)
	if err != nil {
		return ID{}, false
	}
	limit, once := strings.CutSuffix(f[3], onceMark)
	sec, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || sec < 0 {
		return ID{}, false
	}
	return ID{Instance: f[0], Incarnation: inc, Limit: time.Duration(sec) * time.Second, Once: once}, true
}

// Grace is how long an instance must be gone before its streams are cancelled.
// A report lags and a view may be young; a stream of a live instance must not
// be taken for an orphan.
const Grace = 10 * time.Second

// overdue is how far past its limit a stream of a live instance may go.
const overdue = 15 * time.Second

// Tracker follows the streams of the engines that this instance owns.
type Tracker struct {
	// suspects maps a stream to when its instance was first missing.
	suspects map[string]time.Duration
	found    uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{suspects: map[string]time.Duration{}} }

// Found counts the orphans found.
func (t *Tracker) Found() uint64 { return t.found }

// Observe takes a load report and returns the streams to cancel. Alive tells
// whether a process of that name and incarnation is a live member.
func (t *Tracker) Observe(now time.Duration, r engine.Report, alive func(instance string, incarnation uint64) bool) []string {
	var out []string
	for _, s := range r.Streams {
		if t.orphaned(now, r.Engine, s, alive) {
			t.found++
			out = append(out, s.ID)
		}
	}
	t.forget(now)
	return out
}

func (t *Tracker) orphaned(now time.Duration, engineName string, s engine.StreamState, alive func(string, uint64) bool) bool {
	id, ok := Parse(s.ID)
	if !ok {
		return false
	}
	age := time.Duration(s.AgeMS) * time.Millisecond
	key := engineName + "/" + s.ID
	if alive(id.Instance, id.Incarnation) {
		delete(t.suspects, key)
		return age > id.Limit+overdue
	}
	first, ok := t.suspects[key]
	if !ok {
		t.suspects[key] = now
		return false
	}
	if id.Once && age < id.Limit {
		return false
	}
	return now-first >= Grace
}

// forget drops suspects whose streams are long gone.
func (t *Tracker) forget(now time.Duration) {
	const keep = time.Hour
	for k, at := range t.suspects {
		if now-at > keep {
			delete(t.suspects, k)
		}
	}
}
