package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// helpers returns the engines that read parts of a short prompt: only such that
// write nothing and have hardly anything to read.
func (c *chooser) helpers(writer backends.Server) []backends.Server {
	want := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers)
	if want <= 0 || c.req.Alone {
		return nil
	}
	idle := c.leastReading(c.roles.readers, writer)
	idle = slices.DeleteFunc(idle, func(s backends.Server) bool { return c.load(s.ID).Read > helperWait || c.writes(s) })
	return idle[:min(want, len(idle))]
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
