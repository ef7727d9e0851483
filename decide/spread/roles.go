package spread

import "github.com/auburnmoor/auburnmoor/decide/backends"

// roles divides engines between decoding and prefill. An engine that decodes runs
// StepsPerPass token steps in each pass (about 45 ms), even for a single answer, and prefills
// all waiting prompts in between, while its answers pause. So as few engines as can hold
// the answers decode, and the others prefill.
//
// Answers to deep prompts are decoded on separate engines: their prefill and their context
// would lengthen every pass of the engines that decode short ones. This raised the share
// of the value of short prompts that is kept from 0.78 to 0.89.
type roles struct {
	// writers decode the answers to prompts that are not deep.
	writers []backends.Server
	// prefillEngines are all others; the deepWriters among them decode the answers to deep
	// prompts.
	prefillEngines, deepWriters []backends.Server
}

// Parameters of the division.
const (
	// writerFillShare is the share of its slots that a writer fills before another one is
	// used; the rest is for what other instances place before their reports arrive. 10 and
	// 14 of 16 slots lost 0.01 of the value of all requests.
	writerFillShare = 0.75
	// minWriters keeps answers on more than one engine, so that the loss of one does not
	// break all of them.
	minWriters = 3
	// maxWriterShare is the share of the engines that may decode short answers. Without
	// engines left for prefill, a burst of short prompts would lengthen each pass of those
	// that decode them. The share is exceeded once the writers have no free slot:
	// otherwise the answers that wait for one accumulate until the burst ends, which cost
	// 0.05 to 0.09 of the value of all requests under overload.
	maxWriterShare = 0.75
	// deepCallsPerWriter is how many answers to deep prompts one engine decodes before
	// another one is used. 2 lost 0.01 of the value of all requests.
	deepCallsPerWriter = 3
	// deepWriterShare is the share of the remaining engines that may decode answers to
	// deep prompts.
	deepWriterShare = 0.5
	// minDividedEngines is the number of engines below which they are not divided.
	minDividedEngines = 6
)

// divide takes the first servers as writers, as many as the answers in progress need with
// that number of slots per engine, and the last ones as deepWriters. All instances have
// the same order of servers and see nearly the same load, so they choose the same ones
// without coordination. Unreported requests count like answers in progress for the least number of
// writers: otherwise all instances that place at the same moment would take the last free slots.
func divide(servers []backends.Server, load func(string) Load, slots int, unreported int64) roles {
	n := len(servers)
	if n < minDividedEngines {
		return roles{writers: servers, deepWriters: servers, prefillEngines: servers}
	}
	calls, deepCalls := int64(1), int64(1)
	for _, s := range servers {
		l := load(s.ID)
		calls += l.Calls - l.DeepCalls
		deepCalls += l.DeepCalls
	}
	writers := min(int(maxWriterShare*float64(n)), max(minWriters, ceilDiv(calls, int64(max(1, writerFillShare*float64(slots))))))
	writers = min(n-1, max(writers, ceilDiv(calls+unreported, int64(max(1, slots)))))
	rest := servers[writers:]
	deepWriters := min(ceilDiv(deepCalls, deepCallsPerWriter), max(1, int(deepWriterShare*float64(len(rest)))))
	return roles{writers: servers[:writers], deepWriters: rest[len(rest)-deepWriters:], prefillEngines: rest}
}

func ceilDiv(a, b int64) int { return int((a + b - 1) / b) }
