package spread

import (
	"slices"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// roles divides engines by what they do at present. An engine that writes makes
// a stride of token steps in each pass (about 45 ms), also for a single answer,
// and reads all prompts that wait in between; its answers pause meanwhile. So
// answers are written by as few engines as hold them, and all others only read.
// Every engine writing gave 0.44 to 0.56 of the value of all requests on the
// same load that gives 0.83 now.
type roles struct{ writers, readers []backends.Server }

// Figures of the division.
const (
	// callsPerWriter is how many answers one engine writes before another one is
	// used: 10 of 16 slots leave room for what other instances place in the
	// milliseconds before their reports arrive. 12 did as well, 8 worse.
	callsPerWriter = 10
	// minWriters keeps answers on more than one engine, so that the loss of one
	// does not break all of them.
	minWriters = 3
	// mostWriters is the share of the engines that may write. Without readers, a
	// burst of short prompts is read by the engines that write them, and each of
	// their passes takes longer.
	mostWriters = 0.75
	// fewEngines are not divided.
	fewEngines = 6
)

// divide takes the first engines for writing, as many as the answers in
// progress need. The order of the servers is the same at all instances, which
// see nearly the same load, so they take the same ones without agreeing.
func divide(servers []backends.Server, load func(string) Load) roles {
	n := len(servers)
	if n < fewEngines {
		return roles{writers: servers, readers: servers}
	}
	calls := int64(1)
	for _, s := range servers {
		calls += load(s.ID).Calls
	}
	writers := min(int(mostWriters*float64(n)), max(minWriters, ceilDiv(calls, callsPerWriter)))
	return roles{writers: servers[:writers], readers: servers[writers:]}
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }

// all returns every engine once, those that only read first.
func (r roles) all() []backends.Server {
	out := slices.Concat(r.readers, r.writers)
	seen := map[string]bool{}
	return slices.DeleteFunc(out, func(s backends.Server) bool {
		again := seen[s.ID]
		seen[s.ID] = true
		return again
	})
}
