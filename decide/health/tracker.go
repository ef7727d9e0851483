// Package health takes failing backend servers out of rotation and probes them
// back in. It bounds how many may be out at once: a fault of the network or of
// an entry instance looks like a failure of every backend server, and ejecting
// them all would turn it into an outage.
package health

import (
	"math"
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

// A server that fails a part of its requests is told from one that fails all by
// its share of failures over the last seconds.
const (
	// shareMemory is the time over which results are forgotten. Faults of a part
	// last some seconds.
	shareMemory = 8 * time.Second
	// leastFailures within that time are needed, so that two unlucky requests do
	// not take a server out.
	leastFailures = 3.0
	// shareToEject is the least share of failures, and timesOthers how many times
	// that of the other servers it must be: some requests fail at every server.
	shareToEject = 0.25
	timesOthers  = 3.0
	// stepBack is how many times as many requests at once a server may get after
	// each success on its return, and fullyBack the number from which it is no
	// longer limited. The limit begins at one. With steps of two, engines went in
	// and out of the group of writers with each request: mean worth of the
	// standard days 0.737 against 0.746 with a single probe.
	stepBack  = 4
	fullyBack = 8
)

// results are decayed numbers of requests.
type results struct {
	good, bad float64
	at        time.Duration
}

func (r *results) decay(now time.Duration) {
	keep := math.Exp(-float64(now-r.at) / float64(shareMemory))
	r.good, r.bad, r.at = r.good*keep, r.bad*keep, now
}

type server struct {
	failures  int
	ejections int
	until     time.Duration
	out       bool
	// limit bounds the requests at once after an ejection; zero does not.
	limit, running int
	recent         results
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
// one probe at a time; each success multiplies what it may get at once.
func (t *Tracker) Usable(now time.Duration, name string) bool {
	s := t.servers[name]
	if s == nil || s.limit == 0 {
		return true
	}
	return now >= s.until && s.running < s.limit
}

// Begin notes that a request goes to name. Success, Failure or Abandon ends it.
func (t *Tracker) Begin(now time.Duration, name string) {
	if s := t.servers[name]; s != nil && s.limit > 0 && now >= s.until {
		s.running++
	}
}

// Success notes a good answer at a time and readmits the server by a step.
func (t *Tracker) Success(now time.Duration, name string) {
	s := t.servers[name]
	if s == nil {
		return
	}
	probe := s.running > 0
	t.end(s)
	s.recent.decay(now)
	s.recent.good++
	if s.limit > 0 && !probe {
		// An answer to a request from before the ejection says nothing of the
		// server's return.
		return
	}
	s.failures, s.out = 0, false
	if s.limit *= stepBack; s.limit > fullyBack {
		s.limit, s.ejections = 0, 0
	}
}

// Abandon ends a request without a verdict.
func (t *Tracker) Abandon(name string) {
	if s := t.servers[name]; s != nil {
		t.end(s)
	}
}

func (t *Tracker) end(s *server) { s.running = max(0, s.running-1) }

// Failure counts against the server, and ejects it after some in a row or for
// its share.
func (t *Tracker) Failure(now time.Duration, name string) {
	t.Add(name)
	s := t.servers[name]
	t.end(s)
	returning := s.limit > 0
	s.failures++
	s.recent.decay(now)
	s.recent.bad++
	if s.failures < failuresToEject && !returning && !t.tooOften(now, name) {
		return
	}
	t.eject(now, s)
}

// Fault notes a failure that the server itself reported. It counts in its share
// only: a request may be one that fails at every server.
func (t *Tracker) Fault(now time.Duration, name string) {
	t.Add(name)
	s := t.servers[name]
	t.end(s)
	s.recent.decay(now)
	s.recent.bad++
	if t.tooOften(now, name) {
		t.eject(now, s)
	}
}

// Slow ejects a server that answers much later than it should.
func (t *Tracker) Slow(now time.Duration, name string) {
	if s := t.servers[name]; s != nil {
		t.eject(now, s)
	}
}

// tooOften reports whether a server fails much more often than the others.
func (t *Tracker) tooOften(now time.Duration, name string) bool {
	s := t.servers[name]
	if s.recent.bad < leastFailures {
		return false
	}
	var others results
	for other, o := range t.servers {
		if other != name {
			o.recent.decay(now)
			others.good, others.bad = others.good+o.recent.good, others.bad+o.recent.bad
		}
	}
	share := s.recent.bad / (s.recent.good + s.recent.bad)
	usual := others.bad / max(1, others.good+others.bad)
	return share >= shareToEject && share >= timesOthers*usual
}

func (t *Tracker) eject(now time.Duration, s *server) {
	if !s.out && !t.room() {
		return
	}
	s.out, s.limit, s.recent = true, 1, results{at: now}
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
