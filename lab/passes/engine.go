package passes

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/route"
)

// part is the share of a prompt that one engine prefills.
type part struct {
	req *request
	// left is the number of tokens that remain to be prefilled.
	left   int64
	helper bool
}

// engine simulates one model engine.
type engine struct {
	spec *route.Engine
	// waiting requests have no KV cache memory yet, so their prefill has not begun.
	waiting []*request
	// parts are waiting for prefill, those that help other engines first.
	parts []*part
	// reading requests have memory here and are in prefill.
	reading []*request
	// writers are the requests in decode.
	writers []*request
	// queued requests have completed prefill and wait for a slot.
	queued []*request
	// reserved is the memory in tokens reserved for prompts that other engines answer.
	reserved map[*request]int64
	busy     bool
	// finishedParts are the parts whose prefill ends with the current pass.
	finishedParts []*part
}

// add queues a part. A part of another engine's prompt goes to the head of the
// queue, before earlier ones of that sort too.
func (e *engine) add(p *part) {
	at := len(e.parts)
	if p.helper {
		at = 0
	}
	e.parts = slices.Insert(e.parts, at, p)
}

// used returns the memory in tokens that requests and reservations occupy.
func (e *engine) used() (sum int64) {
	for _, group := range [][]*request{e.reading, e.queued, e.writers} {
		for _, q := range group {
			sum += q.kvTokens()
		}
	}
	for _, tokens := range e.reserved {
		sum += tokens
	}
	return sum
}

// reserve reserves memory for a request and reports whether enough was free.
func (e *engine) reserve(q *request, tokens int64) bool {
	if e.used()+tokens > e.spec.KVCacheTokens {
		return false
	}
	e.reserved[q] = tokens
	return true
}

// beginPass begins a pass and returns its duration, or false when there is no work.
func (e *engine) beginPass() (time.Duration, bool) {
	if len(e.parts) == 0 && len(e.writers) == 0 {
		return 0, false
	}
	steps := 1
	if len(e.writers) > 0 {
		steps = e.spec.StepsPerPass
	}
	step := e.spec.Step
	for _, w := range e.writers {
		step += e.spec.StepPerSequence + time.Duration(w.context)*e.spec.StepPerThousandTokens/1000
	}
	return time.Duration(steps)*step + e.prefill(e.spec.PrefillChunk*int64(steps)), true
}

// admit allocates memory to waiting requests in FIFO order and returns those that got
// it: their prefill may begin, here and on the engines that help.
func (e *engine) admit() []*request {
	before := len(e.reading)
	for len(e.waiting) > 0 {
		q := e.waiting[0]
		if used := e.used(); used > 0 && used+q.kvTokens() > e.spec.KVCacheTokens {
			break
		}
		e.reading = append(e.reading, q)
		e.waiting = e.waiting[1:]
	}
	return slices.Clone(e.reading[before:])
}

// startDecoding moves queued requests to free slots in FIFO order and returns them.
// Their first token follows at once.
func (e *engine) startDecoding() []*request {
	before := len(e.writers)
	for len(e.queued) > 0 && len(e.writers) < e.spec.Slots {
		e.writers = append(e.writers, e.queued[0])
		e.queued = e.queued[1:]
	}
	return e.writers[before:]
}

// prefill processes at most budget prompt tokens and returns the time that it takes.
func (e *engine) prefill(budget int64) (took time.Duration) {
	e.finishedParts = nil
	for budget > 0 && len(e.parts) > 0 {
		p := e.parts[0]
		n := min(budget, p.left)
		took += prefillTime(e.spec, p.req, n)
		p.left, budget = p.left-n, budget-n
		if p.left == 0 {
			e.finishedParts = append(e.finishedParts, p)
			e.parts = e.parts[1:]
		}
	}
	return took
}

// drop removes a request with its parts and its reservation. One in decode leaves at the
// end of the pass.
func (e *engine) drop(q *request) {
	e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.req == q })
	for _, group := range []*[]*request{&e.waiting, &e.reading, &e.queued} {
		*group = slices.DeleteFunc(*group, func(x *request) bool { return x == q })
	}
	delete(e.reserved, q)
}

// prefillTime returns the prefill time of n tokens of a prompt. The attention cost of
// the whole prompt is spread evenly over its parts, so every token is taken to be at
// the mean position.
func prefillTime(e *route.Engine, r *request, n int64) time.Duration {
	linear := float64(n) / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(n) * float64(r.prompt) / 2 / 1e6 * float64(e.TimePerMillionPairs)
	return time.Duration(linear + pairs)
}
