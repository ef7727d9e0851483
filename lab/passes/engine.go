package passes

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/route"
)

// part is the share of a prompt that one engine reads.
type part struct {
	req *request
	// left are the tokens that remain to be read.
	left   int64
	helper bool
}

// engine is one model engine.
type engine struct {
	spec *route.Engine
	// waiting requests have no memory yet; nothing of their prompts is read.
	waiting []*request
	// parts wait to be read, those for other engines first.
	parts []*part
	// reading requests have memory here while their prompts are read.
	reading []*request
	writers []*request
	// queued requests have their prompt read and wait for a slot.
	queued []*request
	// reserved is memory in tokens set aside for prompts that other engines answer.
	reserved map[*request]int64
	busy     bool
	// read are the parts that end with the present pass.
	read []*part
}

// add queues a part. The part of another engine's prompt is read before all that
// waits, also before such parts that came earlier.
func (e *engine) add(p *part) {
	at := len(e.parts)
	if p.helper {
		at = 0
	}
	e.parts = slices.Insert(e.parts, at, p)
}

// used is the memory in tokens that requests and reservations hold.
func (e *engine) used() (sum int64) {
	for _, group := range [][]*request{e.reading, e.queued, e.writers} {
		for _, q := range group {
			sum += q.held()
		}
	}
	for _, tokens := range e.reserved {
		sum += tokens
	}
	return sum
}

// reserve sets memory aside if it is free.
func (e *engine) reserve(q *request, tokens int64) bool {
	if e.used()+tokens > e.spec.KVCacheTokens {
		return false
	}
	e.reserved[q] = tokens
	return true
}

// begin starts a pass and returns its length, or false when there is nothing to
// do.
func (e *engine) begin() (time.Duration, bool) {
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
	return time.Duration(steps)*step + e.readSome(e.spec.PrefillChunk*int64(steps)), true
}

// admit gives memory to requests in turn and returns those that got it: their
// prompts may be read, here and by the engines that help.
func (e *engine) admit() []*request {
	was := len(e.reading)
	for len(e.waiting) > 0 {
		q := e.waiting[0]
		if used := e.used(); used > 0 && used+q.held() > e.spec.KVCacheTokens {
			break
		}
		e.reading = append(e.reading, q)
		e.waiting = e.waiting[1:]
	}
	return slices.Clone(e.reading[was:])
}

// write lets requests whose prompt is read write in turn, as long as there are
// slots, and returns them. Their first token follows at once.
func (e *engine) write() []*request {
	was := len(e.writers)
	for len(e.queued) > 0 && len(e.writers) < e.spec.Slots {
		e.writers = append(e.writers, e.queued[0])
		e.queued = e.queued[1:]
	}
	return e.writers[was:]
}

// readSome reads at most budget tokens and returns the time that it takes.
func (e *engine) readSome(budget int64) (took time.Duration) {
	e.read = nil
	for budget > 0 && len(e.parts) > 0 {
		p := e.parts[0]
		n := min(budget, p.left)
		took += readTime(e.spec, p.req, n)
		p.left, budget = p.left-n, budget-n
		if p.left == 0 {
			e.read = append(e.read, p)
			e.parts = e.parts[1:]
		}
	}
	return took
}

// drop ends all work on a request.
func (e *engine) drop(q *request) {
	e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.req == q })
	for _, group := range []*[]*request{&e.waiting, &e.reading, &e.queued} {
		*group = slices.DeleteFunc(*group, func(x *request) bool { return x == q })
	}
	delete(e.reserved, q)
}

// readTime is the time for n tokens of a prompt. Each part has its share of the
// pairs of the whole prompt, so the depth of a token is taken as the mean one.
func readTime(e *route.Engine, r *request, n int64) time.Duration {
	linear := float64(n) / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(n) * float64(r.prompt) / 2 / 1e6 * float64(e.TimePerMillionPairs)
	return time.Duration(linear + pairs)
}
