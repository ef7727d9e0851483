package spread

import "github.com/auburnmoor/auburnmoor/decide/backends"

// roles divides engines by what they do at present. An engine that writes makes
// a stride of token steps in each pass (about 45 ms), also for a single answer,
// and reads all prompts that wait in between; its answers pause meanwhile. So
// answers are written by as few engines as hold them, and the others read.
// The answers to deep prompts are written apart: their own part and their
// context would lengthen every pass of the engines that write short ones. With
// that, 0.89 of the value of short prompts was kept instead of 0.78.
type roles struct {
	// writers answer prompts that are not deep.
	writers []backends.Server
	// readers are all others; the longWriters among them answer deep prompts.
	readers, longWriters []backends.Server
}

// Figures of the division.
const (
	// fullWriter is the share of its slots with which an engine writes before another
	// one is used; the rest is for what other instances place in the milliseconds
	// before their reports arrive. 10 and 14 of 16 kept 0.01 less of the value of all
	// requests; twelve of 24 slots, 0.004 less than 18 (16 seeds in virtual time).
	fullWriter = 0.75
	// minWriters keeps answers on more than one engine, so that the loss of one
	// does not break all of them.
	minWriters = 3
	// mostWriters is the share of the engines that may write. Without readers, a
	// burst of short prompts is read by the engines that write them, and each of
	// their passes takes longer. The share is exceeded once the writers have no
	// free slot: answers that wait for one grow in number until the burst ends. At
	// 1.45 times the sheets' loads 0.79 and 0.71 of the value of all requests are
	// kept with that, 0.74 and 0.62 without (12 seeds in virtual time).
	mostWriters = 0.75
	// longPerWriter is how many deep prompts one engine answers before another
	// one is used. 2 kept 0.01 less of the value of all requests.
	longPerWriter = 3
	// longShare of the engines that answer no short prompts may answer deep ones.
	longShare = 0.5
	// fewEngines are not divided.
	fewEngines = 6
)

// divide takes the first engines for writing, as many as the answers in
// progress need with that number of slots an engine, and the last ones for the
// answers to deep prompts. The order of
// the servers is the same at all instances, which see nearly the same load, so
// they take the same ones without agreeing.
func divide(servers []backends.Server, load func(string) Load, slots int) roles {
	n := len(servers)
	if n < fewEngines {
		return roles{writers: servers, longWriters: servers, readers: servers}
	}
	calls, long := int64(1), int64(1)
	for _, s := range servers {
		l := load(s.ID)
		calls += l.Calls - l.LongCalls
		long += l.LongCalls
	}
	writers := min(int(mostWriters*float64(n)), max(minWriters, ceilDiv(calls, int64(max(1, fullWriter*float64(slots))))))
	writers = min(n-1, max(writers, ceilDiv(calls, int64(max(1, slots)))))
	rest := servers[writers:]
	longWriters := min(ceilDiv(long, longPerWriter), max(1, int(longShare*float64(len(rest)))))
	return roles{writers: servers[:writers], longWriters: rest[len(rest)-longWriters:], readers: rest}
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }
