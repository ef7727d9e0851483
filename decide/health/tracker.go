// Package health ejects failing backend servers from rotation and readmits them after
// successful probes. It bounds the share of servers that are ejected at once: a fault of
// the network or of an entry instance looks like a failure of every backend server, and
// ejecting them all would turn it into an outage.
package health

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/retry"
)

// Threshold and duration of ejections.
const (
	consecutiveFailures = 3
	baseEjection        = 5 * time.Second
	maxEjection         = time.Minute
)

// A server that fails only some of its requests is detected by its recent failure rate.
// After an ejection its concurrency limit ramps up.
const (
	// resultDecay is the time constant of the exponential decay of results. Partial
	// faults last some seconds.
	resultDecay = 8 * time.Second
	// minFailures is the decayed number of failures needed to eject a server, so that
	// two unlucky requests do not suffice.
	minFailures = 3.0
	// minFailureRate is the lowest failure rate that ejects a server, and minRateRatio
	// its lowest ratio to that of the other servers: some requests fail at every server.
	minFailureRate = 0.25
	minRateRatio   = 3.0
	// rampFactor multiplies the concurrency limit, which begins at one, after each
	// success; a limit above maxRampLimit is lifted. A factor of two moved engines in
	// and out of the decoding group with each request: requests of the standard load
	// were worth 0.737 on average, against 0.746 with a single probe.
	rampFactor   = 4
	maxRampLimit = 8
)

// results are exponentially decayed counts of requests.
type results struct {
	good, bad float64
	at        time.Duration
}

func (r *results) decay(now time.Duration) {
	factor := math.Exp(-float64(now-r.at) / float64(resultDecay))
	r.good, r.bad, r.at = r.good*factor, r.bad*factor, now
}

type server struct {
	// failures counts consecutive ones, ejections those since the last full recovery.
	failures     int
	ejections    int
	ejectedUntil time.Duration
	isEjected    bool
	// limit bounds the concurrent requests after an ejection; zero means no limit. Only
	// requests under a limit are counted as running.
	limit, running int
	recent         results
}

// Tracker tracks the health of one set of backend servers.
type Tracker struct {
	maxShare       float64
	rand           *rand.Rand
	servers        map[string]*server
	totalEjections uint64
}

// NewTracker returns a tracker that ejects at most the share maxShare of its servers, but
// always allows one ejection.
func NewTracker(maxShare float64, r *rand.Rand) *Tracker {
	return &Tracker{maxShare: maxShare, rand: r, servers: map[string]*server{}}
}

// SetMaxShare replaces the bound on ejections; ejected servers stay ejected.
func (t *Tracker) SetMaxShare(share float64) { t.maxShare = share }

// Add starts to track a server, unless it is tracked already.
func (t *Tracker) Add(name string) {
	if t.servers[name] == nil {
		t.servers[name] = &server{}
	}
}

// Remove stops tracking a server.
func (t *Tracker) Remove(name string) { delete(t.servers, name) }

// Usable reports whether name may get a request. When its ejection ends, a server gets a
// single probe; each success raises its concurrency limit.
func (t *Tracker) Usable(now time.Duration, name string) bool {
	s := t.servers[name]
	if s == nil || s.limit == 0 {
		return true
	}
	return now >= s.ejectedUntil && s.running < s.limit
}

// Begin records that a request is sent to name. Success, Failure, ReportedFailure or Abandon ends it.
func (t *Tracker) Begin(now time.Duration, name string) {
	if s := t.servers[name]; s != nil && s.limit > 0 && now >= s.ejectedUntil {
		s.running++
	}
}

// Success records a successful request and raises the concurrency limit of a returning server.
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
		// The request was sent before the ejection, so its success is no probe result.
		return
	}
	s.failures, s.isEjected = 0, false
	if s.limit *= rampFactor; s.limit > maxRampLimit {
		s.limit, s.ejections = 0, 0
	}
}

// Abandon ends a request whose result says nothing about the server's health.
func (t *Tracker) Abandon(name string) {
	if s := t.servers[name]; s != nil {
		t.end(s)
	}
}

func (t *Tracker) end(s *server) { s.running = max(0, s.running-1) }

// Failure records a failed request. It ejects the server after several consecutive
// failures, after one while the server is returning, or for its failure rate.
func (t *Tracker) Failure(now time.Duration, name string) {
	t.Add(name)
	s := t.servers[name]
	t.end(s)
	returning := s.limit > 0
	s.failures++
	s.recent.decay(now)
	s.recent.bad++
	if s.failures < consecutiveFailures && !returning && !t.failureRateHigh(now, name) {
		return
	}
	t.eject(now, s)
}

// ReportedFailure records a failure that the server itself reported. It counts in the failure rate
// only, since the request may be one that fails at every server.
func (t *Tracker) ReportedFailure(now time.Duration, name string) {
	t.Add(name)
	s := t.servers[name]
	t.end(s)
	s.recent.decay(now)
	s.recent.bad++
	if t.failureRateHigh(now, name) {
		t.eject(now, s)
	}
}

// EjectSlow ejects a server that answers much more slowly than expected.
func (t *Tracker) EjectSlow(now time.Duration, name string) {
	if s := t.servers[name]; s != nil {
		t.eject(now, s)
	}
}

// failureRateHigh reports whether the failure rate of a server is high, both absolutely and
// relative to the others.
func (t *Tracker) failureRateHigh(now time.Duration, name string) bool {
	s := t.servers[name]
	if s.recent.bad < minFailures {
		return false
	}
	var others results
	for other, o := range t.servers {
		if other != name {
			o.recent.decay(now)
			others.good, others.bad = others.good+o.recent.good, others.bad+o.recent.bad
		}
	}
	rate := s.recent.bad / (s.recent.good + s.recent.bad)
	othersRate := others.bad / max(1, others.good+others.bad)
	return rate >= minFailureRate && rate >= minRateRatio*othersRate
}

func (t *Tracker) eject(now time.Duration, s *server) {
	if !s.isEjected && !t.mayEject() {
		return
	}
	s.isEjected, s.limit, s.recent = true, 1, results{at: now}
	s.ejectedUntil = now + retry.Backoff(t.rand, baseEjection, maxEjection, s.ejections)
	s.ejections++
	t.totalEjections++
}

// EjectedCount counts the servers that are ejected and have not answered a probe yet.
func (t *Tracker) EjectedCount() int {
	n := 0
	for _, s := range t.servers {
		if s.isEjected {
			n++
		}
	}
	return n
}

// mayEject reports whether the bound allows another ejection.
func (t *Tracker) mayEject() bool {
	allowed := max(1, int(t.maxShare*float64(len(t.servers))))
	return t.EjectedCount() < allowed
}
