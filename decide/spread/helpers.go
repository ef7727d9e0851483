package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// helpers returns the engines that read parts of the prompt. Short prompts are
// helped only by engines that write nothing and have hardly anything to read,
// long ones by as many as bring the first event nearer.
func (c *chooser) helpers(writer backends.Server) []backends.Server {
	want := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers)
	if want <= 0 || c.req.Alone && !c.long() {
		return nil
	}
	idle := c.leastReading(c.roles.readers, writer)
	if !c.long() {
		idle = slices.DeleteFunc(idle, func(s backends.Server) bool { return c.load(s.ID).Read > helperWait || c.writes(s) })
		return idle[:min(want, len(idle))]
	}
	want = min(want, len(idle))
	if quiet := slices.DeleteFunc(slices.Clone(idle), c.writes); len(quiet) >= enoughReaders && c.readTime(want) > longPause {
		idle = quiet
	}
	return c.fastest(writer, idle[:min(want, len(idle))])
}

func (c *chooser) writes(s backends.Server) bool { return c.load(s.ID).Calls > 0 }

// readTime is the reading of one part of the prompt with n helpers.
func (c *chooser) readTime(n int) time.Duration {
	return ReadTime(c.engine, c.req.Prompt) / time.Duration(n+1)
}

// leastReading returns the engines of a group that accept another part, those
// that would read it first in front.
func (c *chooser) leastReading(group []backends.Server, writer backends.Server) []backends.Server {
	free := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool {
		return s.ID == writer.ID || c.load(s.ID).Parts >= int64(max(1, c.engine.Slots))
	})
	slices.SortFunc(free, func(a, b backends.Server) int {
		return cmp.Or(cmp.Compare(c.readBy(a, 0), c.readBy(b, 0)), cmp.Compare(c.load(a.ID).Parts, c.load(b.ID).Parts), cmp.Compare(a.ID, b.ID))
	})
	return free
}

// fastest returns as many engines from the front of free as make the slowest
// part of the prompt come first: parts are even, so one busy engine delays all.
// There are at least so many that the engine's other answers do not pause too
// long for its own part.
func (c *chooser) fastest(writer backends.Server, free []backends.Server) []backends.Server {
	least := 0
	if l := c.load(writer.ID); l.Calls > l.LongCalls {
		least = min(int(c.readTime(0)/shortPause), len(free))
	}
	best, bestTime := least, c.slowest(writer, free[:least])
	for k := least + 1; k <= len(free); k++ {
		if t := c.slowest(writer, free[:k]); t < bestTime {
			best, bestTime = k, t
		}
	}
	return free[:best]
}

// slowest predicts when the last part of the prompt is read. The helpers are
// ordered, so only the last one of them counts.
func (c *chooser) slowest(writer backends.Server, helpers []backends.Server) time.Duration {
	n := len(helpers)
	each := c.readTime(n)
	t := c.readBy(writer, each)
	if n > 0 {
		t = max(t, c.readBy(helpers[n-1], each))
	}
	return t + time.Duration(n)*helperCost
}
