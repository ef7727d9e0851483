package spread

import (
	"slices"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// An engine that writes reads one chunk of a prompt in a pass of many token
// steps (about 45 ms for 2,048 tokens); one that only reads needs 12 ms for a
// chunk. And a short prompt that shares an engine with a long one waits for its
// reading. Engines are therefore divided by what they do at present, and the
// division follows the work in progress, which all instances see alike.
type roles struct {
	// shortWriters write the answers to short prompts, shortReaders read parts
	// of them.
	shortWriters, shortReaders []backends.Server
	// longReaders read parts of long prompts, longWriters write their answers.
	longReaders, longWriters []backends.Server
}

// Figures of the division.
const (
	// shortPerWriter is how many answers one engine writes before another one is
	// used: 10 of 16 slots leave room for what other instances place in the
	// milliseconds before their reports arrive.
	shortPerWriter = 10
	// minShortWriters keeps short answers on more than one engine, so that the
	// loss of one does not break all of them.
	minShortWriters = 3
	// writersPerReader engines that write short answers need one that reads for
	// them: ten answers in progress come from six prompts a second, 30,000
	// tokens, of which an engine reads 177,000.
	writersPerReader = 4
	// longPerWriter is how many long answers one engine writes.
	longPerWriter = 2
	// longWriterShare is the share of the engines for long prompts that write;
	// the others read for them.
	longWriterShare = 0.25
	// minLong is the least number of engines for long prompts.
	minLong = 3
	// readersPerLong engines that only read must be there for each long prompt in
	// progress before short prompts are read there too.
	readersPerLong = 4
	// fewEngines are not divided.
	fewEngines = 6
)

// divide assigns roles along the order of the servers, which is the same at all
// instances. Those that write are at the two ends, so that an engine which
// begins to write was reading.
func divide(servers []backends.Server, load func(string) Load) roles {
	n := len(servers)
	if n < fewEngines {
		return roles{shortWriters: servers, shortReaders: servers, longReaders: servers, longWriters: servers}
	}
	var calls int64
	for _, s := range servers {
		l := load(s.ID)
		calls += l.Calls
	}
	writers := min(n*3/4, max(minShortWriters, ceilDiv(calls+1, shortPerWriter)))
	w, rest := servers[:writers], servers[writers:]
	return roles{shortWriters: w, shortReaders: rest, longReaders: rest, longWriters: w}
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }

// all returns every engine once, those that only read first.
func (r roles) all() []backends.Server {
	out := slices.Concat(r.longReaders, r.longWriters, r.shortReaders, r.shortWriters)
	seen := map[string]bool{}
	return slices.DeleteFunc(out, func(s backends.Server) bool {
		again := seen[s.ID]
		seen[s.ID] = true
		return again
	})
}
