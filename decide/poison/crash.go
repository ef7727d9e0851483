package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameCrash is the time within which two ends of one server are the same one. A
	// server is back after a second at the least, and instances notice its end within
	// milliseconds of each other.
	sameCrash = time.Second
	// clockError is the error of a time that another instance told: what its message
	// took on the way.
	clockError = 5 * time.Millisecond
	// maxCrashes bounds the ends kept for one request.
	maxCrashes = 16
)

// Crash is the end of a server while it ran a request.
type Crash struct {
	// Server is a hash of the server's ID.
	Server uint64
	// Began is when the request was sent there, Ended when it broke.
	Began, Ended time.Duration
}

// ServerHash is the hash by which a crash names its server.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

func (c Crash) end() End { return End{Server: c.Server, At: c.Ended} }

// contains reports whether one of crashes is the end of a server.
func contains(crashes []Crash, e End) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.end().same(e) })
}

// add returns crashes, which are in the order of their ends, with another one.
func add(crashes []Crash, c Crash) (out []Crash, isNew bool) {
	if len(crashes) >= maxCrashes || contains(crashes, c.end()) {
		return crashes, false
	}
	at, _ := slices.BinarySearchFunc(crashes, c, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.Server, b.Server))
	})
	return slices.Insert(slices.Clone(crashes), at, c), true
}

// successive counts the crashes that follow on each other, of a list in the order of
// their ends.
func successive(crashes []Crash) (n int) {
	var last time.Duration
	for _, c := range crashes {
		if n == 0 || c.Began+clockError >= last {
			n++
			last = c.Ended
		}
	}
	return n
}
