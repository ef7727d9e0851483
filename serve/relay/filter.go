package relay

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/health"
)

// exclusion is why a server is not chosen for an attempt, empty if it may be.
type exclusion string

// The exclusions.
const (
	eligible       exclusion = ""
	ejected        exclusion = "ejected"
	suspended      exclusion = "suspended"
	needsPermit    exclusion = "needs_permit"
	refusedVersion exclusion = "refused_version"
	resting        exclusion = "resting"
	cold           exclusion = "cold"
)

// serverFilter is one check of a server before it may be chosen.
type serverFilter interface {
	// check returns why a server is not chosen, or eligible.
	check(s backends.Server) exclusion
}

// filterChain excludes the servers that any of its filters excludes.
type filterChain []serverFilter

// check returns the first exclusion of a server.
func (c filterChain) check(s backends.Server) exclusion {
	for _, f := range c {
		if e := f.check(s); e != eligible {
			return e
		}
	}
	return eligible
}

// apply returns the servers that no filter excludes, in their order.
func (c filterChain) apply(servers []backends.Server) (out []backends.Server) {
	if len(c) == 0 {
		return servers
	}
	for _, s := range servers {
		if c.check(s) == eligible {
			out = append(out, s)
		}
	}
	return out
}

// ejectedFilter excludes servers whose attempts failed.
type ejectedFilter struct {
	tracker *health.Tracker
	now     time.Duration
}

func (f ejectedFilter) check(s backends.Server) exclusion {
	if f.tracker.Usable(f.now, s.ID) {
		return eligible
	}
	return ejected
}

// suspendedFilter excludes servers that refused work or could not be reached, until a time.
type suspendedFilter struct {
	until map[string]time.Duration
	now   time.Duration
}

func (f suspendedFilter) check(s backends.Server) exclusion {
	if f.now >= f.until[s.ID] {
		return eligible
	}
	return suspended
}

// permitFilter excludes servers that name a limit: they get requests with a permit only.
type permitFilter struct{ limited func(backends.Server) bool }

func (f permitFilter) check(s backends.Server) exclusion {
	if f.limited(s) {
		return needsPermit
	}
	return eligible
}

// versionFilter excludes servers of versions that crash under a part of the prompt.
type versionFilter struct{ refused []string }

func (f versionFilter) check(s backends.Server) exclusion {
	if slices.Contains(f.refused, s.Version) {
		return refusedVersion
	}
	return eligible
}

// restFilter excludes servers that asked this instance for rest, until its end.
type restFilter struct {
	left func(backends.Server) time.Duration
}

func (f restFilter) check(s backends.Server) exclusion {
	if f.left(s) > 0 {
		return resting
	}
	return eligible
}

// inRotation returns the filters that are given up if they exclude every server; r.mu must be
// held while they are used.
func (r *Relay) inRotation(p *pool) filterChain {
	now := r.now()
	return filterChain{ejectedFilter{p.tracker, now}, suspendedFilter{p.suspended, now}}
}

// required returns the filters that are never given up. gate is nil for a service without a limit for
// cold servers; it comes last, so that it excludes servers that could get the request otherwise.
func (r *Relay) required(gate *coldGate) (c filterChain) {
	if r.notices.Any() {
		c = append(c, restFilter{r.notices.RestLeft})
	}
	if r.limits.Any() {
		c = append(c, permitFilter{r.limits.IsLimited})
	}
	if gate != nil {
		c = append(c, gate)
	}
	return c
}

// permitted returns the filters of servers that may get requests with a permit; r.mu must be held
// while they are used.
func (r *Relay) permitted(p *pool, gate *coldGate) filterChain {
	c := r.inRotation(p)
	if r.notices.Any() {
		c = append(c, restFilter{r.notices.RestLeft})
	}
	if gate != nil {
		c = append(c, gate)
	}
	return c
}
