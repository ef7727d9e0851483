package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// shortHelpers returns the engines that prefill parts of a short prompt: only engines that
// decode nothing and have almost no prefill pending. While the loads of other instances are not
// known there are none: an engine rejects the parts beyond its limit, and with them the request.
func (c *chooser) shortHelpers(writer backends.Server) []backends.Server {
	want := min(int((c.req.Prompt+partTokens-1)/partTokens)-1, maxHelpers)
	if want <= 0 || c.req.NoHelpers || c.req.Rotation != 0 {
		return nil
	}
	idle := c.eligibleHelpers(c.roles.prefillEngines, writer)
	idle = slices.DeleteFunc(idle, func(s backends.Server) bool { return c.load(s.ID).Prefill > maxHelperBacklog || c.isWriting(s) })
	return idle[:min(want, len(idle))]
}

func (c *chooser) isWriting(s backends.Server) bool { return c.load(s.ID).Calls > 0 }

// partPrefill is the prefill time of one part of the prompt with n helpers.
func (c *chooser) partPrefill(n int) time.Duration {
	return PrefillTime(c.engine, c.req.Prompt) / time.Duration(n+1)
}

// eligibleHelpers returns the engines of a group that accept another part, ordered by when
// they would prefill it.
func (c *chooser) eligibleHelpers(group []backends.Server, writer backends.Server) []backends.Server {
	free := slices.DeleteFunc(slices.Clone(group), func(s backends.Server) bool {
		return s.ID == writer.ID || c.load(s.ID).Parts >= int64(max(1, c.engine.Slots))
	})
	slices.SortStableFunc(free, func(a, b backends.Server) int {
		return cmp.Or(
			cmp.Compare(c.predictPrefillEnd(a, 0), c.predictPrefillEnd(b, 0)),
			cmp.Compare(c.load(a.ID).Parts, c.load(b.ID).Parts),
			c.compareIDs(a, b),
		)
	})
	return free
}

// compareIDs orders equal engines by ID, which is the order of all instances, or not at all while
// the loads of other instances are not known: then the rotated order stays.
func (c *chooser) compareIDs(a, b backends.Server) int {
	if c.req.Rotation != 0 {
		return 0
	}
	return cmp.Compare(a.ID, b.ID)
}
