package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameExit is the time within which two reported exits of one server are the same exit.
	// A server takes at least a second to restart, and instances detect its exit within
	// milliseconds of each other.
	sameExit = time.Second
	// clockError bounds the error of a time reported by another instance, which is the
	// latency of its message.
	clockError = 5 * time.Millisecond
	// maxCrashes bounds the crashes kept for one request.
	maxCrashes = 16
)

// Crash is the exit of a server while it ran a request.
type Crash struct {
	// Server is a hash of the server's ID.
	Server uint64
	// Began is when the request was sent to the server, Ended when its connection broke.
	Began, Ended time.Duration
}

// ServerHash returns the hash that identifies a server in a crash.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

func (c Crash) exit() ServerExit { return ServerExit{Server: c.Server, At: c.Ended} }

// containsExit reports whether one of the crashes is the given exit.
func containsExit(crashes []Crash, e ServerExit) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.exit().matches(e) })
}

// insertCrash returns crashes, sorted by time of exit, with c inserted. It leaves them
// unchanged if they contain c already or are at maxCrashes.
func insertCrash(crashes []Crash, c Crash) (out []Crash, isNew bool) {
	if len(crashes) >= maxCrashes || containsExit(crashes, c.exit()) {
		return crashes, false
	}
	at, _ := slices.BinarySearchFunc(crashes, c, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.Server, b.Server))
	})
	return slices.Insert(slices.Clone(crashes), at, c), true
}

// countSuccessive counts the crashes in which the request was sent only after the previous
// counted crash. The list is sorted by time of exit.
func countSuccessive(crashes []Crash) (n int) {
	var last time.Duration
	for _, c := range crashes {
		if n == 0 || c.Began+clockError >= last {
			n++
			last = c.Ended
		}
	}
	return n
}
