// Package away tracks backend servers that rejected work although they should have had
// capacity for it. Such a server is usually leaving, which the store reports about a
// second later, or not at all while it is down. Instances share these observations, so
// that a server that leaves costs a few requests in all rather than a few at each
// instance.
//
// The package does no I/O and reads no clock.
package away

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// Parameters of the pause in which a server is passed over.
const (
	// InitialPause is about how long the store takes to report that a server leaves: a heartbeat
	// of 1.2 s and the delay of the list.
	InitialPause = 1500 * time.Millisecond
	// maxPause bounds the pauses, which double while the store is silent. A server that
	// only lacked capacity stays unused for that long.
	maxPause = 6 * time.Second
	// jitterShare is the largest share by which peers lengthen a pause at random, so that
	// one instance tries the server first and informs the others.
	jitterShare = 0.25
	// backoffMemory is how long after the end of a pause another rejection doubles it.
	backoffMemory = 3 * time.Second
)

// Key is a hash that identifies one life of a server, from its start to its end.
type Key uint32

// KeyOf returns the key of a server in its present life. A restarted server has another
// key.
func KeyOf(s backends.Server) Key {
	return Key(xxhash.Sum64String(s.ID + "\x00" + strconv.FormatInt(int64(s.Life), 10)))
}

// Table holds the servers that rejected work, as one instance knows them. It is not safe
// for concurrent use.
type Table struct {
	entries map[Key]entry
	// draw returns a uniform random number from [0, 1).
	draw func() float64
}

type entry struct {
	until, pause time.Duration
	// observed is set if this instance saw the rejection itself and reports it to peers.
	observed bool
}

// NewTable returns an empty table.
func NewTable(draw func() float64) *Table { return &Table{entries: map[Key]entry{}, draw: draw} }

// RecordRejection records that a server rejected work of this instance. storeSilent
// reports that the store has not answered for a while: only then does a repeated rejection
// lengthen the pause. It returns the pause, and whether the server was not yet passed
// over.
func (t *Table) RecordRejection(now time.Duration, server Key, storeSilent bool) (pause time.Duration, fresh bool) {
	e, known := t.entries[server]
	pause, fresh = InitialPause, true
	if known && storeSilent && now <= e.until+backoffMemory {
		pause = min(2*max(e.pause, InitialPause), maxPause)
	}
	if known && now < e.until {
		// The request was already on its way when an earlier one was rejected.
		pause, fresh = max(e.pause, InitialPause), false
	}
	t.entries[server] = entry{until: now + pause, pause: pause, observed: true}
	return pause, fresh
}

// ApplyReport records what a peer observed, and for how long it still passes over the
// server.
func (t *Table) ApplyReport(now time.Duration, server Key, left time.Duration) {
	left = min(left, maxPause)
	if e := t.entries[server]; left <= 0 || now+left <= e.until {
		return
	}
	pause := time.Duration(float64(left) * (1 + jitterShare*t.draw()))
	t.entries[server] = entry{until: now + pause, pause: left}
}

// minPresentShare is the least share of a service's servers that must remain. If more than
// half reject work, they lack capacity rather than leave.
const minPresentShare = 0.5

// Available returns the servers that are not passed over, or all of them if too few would
// remain.
func (t *Table) Available(now time.Duration, servers []backends.Server) []backends.Server {
	if len(t.entries) == 0 {
		return servers
	}
	present := slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return t.PassedOver(now, KeyOf(s)) })
	if len(present) < int(math.Ceil(minPresentShare*float64(len(servers)))) {
		return servers
	}
	return present
}

// PassedOver reports whether a server is passed over.
func (t *Table) PassedOver(now time.Duration, server Key) bool { return now < t.entries[server].until }

// Observed returns the servers that rejected work of this instance, and for how long it
// still passes over them.
func (t *Table) Observed(now time.Duration) map[Key]time.Duration {
	var out map[Key]time.Duration
	for server, e := range t.entries {
		switch {
		case now > e.until+backoffMemory:
			delete(t.entries, server)
		case e.observed && now < e.until:
			if out == nil {
				out = map[Key]time.Duration{}
			}
			out[server] = e.until - now
		}
	}
	return out
}
