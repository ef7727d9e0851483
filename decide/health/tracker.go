// Package health takes failing backend servers out of rotation and probes them
// back in. It bounds how many may be out at once: a fault of the network or of
// an entry instance looks like a failure of every backend server, and ejecting
// them all would turn it into an outage.
package health

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

// Bounds of an ejection.
const (
	failuresToEject = 3
	firstEjection   = 5 * time.Second
	longestEjection = time.Minute
)

type server struct {
	failures  int
	ejections int
	until     time.Duration
	out       bool
	probing   bool
}

// Tracker follows the health of one set of backend servers.
type Tracker struct {
	maxShare float64
	rand     *rand.Rand
	servers  map[string]*server
	ejected  uint64
}

// NewTracker returns a tracker that ejects at most maxShare of its servers,
// but always allows one.
func NewTracker(maxShare float64, r *rand.Rand) *Tracker {
	return &Tracker{maxShare: maxShare, rand: r, servers: map[string]*server{}}
}

// SetMaxShare replaces the bound on ejections; servers that are out stay out.
func (t *Tracker) SetMaxShare(share float64) { t.maxShare = share }

// Add makes the tracker aware of a server.
func (t *Tracker) Add(name string) {
	if t.servers[name] == nil {
		t.servers[name] = &server{}
	}
}

// Remove forgets a server.
func (t *Tracker) Remove(name string) { delete(t.servers, name) }

// Usable reports whether name may get work. After its ejection a server gets
// one probe at a time until a success readmits it.
func (t *Tracker) Usable(now time.Duration, name string) bool {
	s := t.servers[name]
	if s == nil || !s.out {
		return true
	}
	return now >= s.until && !s.probing
}

// Begin notes that a request goes to name, which makes it the probe of a
// server that is out.
func (t *Tracker) Begin(now time.Duration, name string) {
	if s := t.servers[name]; s != nil && s.out && now >= s.until {
		s.probing = true
	}
}

// Success readmits the server.
func (t *Tracker) Success(name string) {
	if s := t.servers[name]; s != nil {
		*s = server{}
	}
}

// Abandon ends a probe without a verdict.
func (t *Tracker) Abandon(name string) {
	if s := t.servers[name]; s != nil {
		s.probing = false
	}
}

// Failure counts against the server and ejects it at the threshold.
func (t *Tracker) Failure(now time.Duration, name string) {
	t.Add(name)
	s := t.servers[name]
	s.failures++
	probe := s.probing
	s.probing = false
	if s.failures < failuresToEject && !probe {
		return
	}
	if !s.out && !t.room() {
		return
	}
	s.out = true
	s.until = now + retry.Backoff(t.rand, firstEjection, longestEjection, s.ejections)
	s.ejections++
	t.ejected++
}

// Out counts the servers out of rotation.
func (t *Tracker) Out() int {
	n := 0
	for _, s := range t.servers {
		if s.out {
			n++
		}
	}
	return n
}

func (t *Tracker) room() bool {
	allowed := max(1, int(t.maxShare*float64(len(t.servers))))
	return t.Out() < allowed
}
