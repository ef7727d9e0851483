// Package passes plays a site's load against the placing of decide/spread in
// virtual time. Its engines follow the published formula of a pass: all waiting
// reading up to a chunk a step, and a stride of token steps when an engine writes.
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
	// parts wait to be read, those for other engines first.
	parts   []*part
	writers []*request
	// queued requests have their prompt read and wait for a slot.
	queued []*request
	busy   bool
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

// begin starts a pass and returns its length, or false when there is nothing to
// do.
func (e *engine) begin() (time.Duration, bool) {
	for len(e.queued) > 0 && len(e.writers) < e.spec.Slots {
		e.writers = append(e.writers, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.parts) == 0 && len(e.writers) == 0 {
		return 0, false
	}
	steps := 1
	if len(e.writers) > 0 {
		steps = e.spec.Stride
	}
	step := e.spec.Step
	for _, w := range e.writers {
		step += e.spec.StepPerWriter + time.Duration(w.context)*e.spec.StepPerThousand/1000
	}
	return time.Duration(steps)*step + e.readSome(e.spec.Chunk*int64(steps)), true
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

// readTime is the time for n tokens of a prompt. Each part has its share of the
// pairs of the whole prompt, so the depth of a token is taken as the mean one.
func readTime(e *route.Engine, r *request, n int64) time.Duration {
	linear := float64(n) / e.ReadPerSecond * float64(time.Second)
	pairs := float64(n) * float64(r.prompt) / 2 / 1e6 * float64(e.PairsPerMillion)
	return time.Duration(linear + pairs)
}
