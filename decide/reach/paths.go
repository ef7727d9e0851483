// Package reach decides whether an instance connects to a backend server itself or has
// another instance make the call, and which one. An instance that is partitioned from
// backend servers can often still reach instances that are not.
//
// The package does no I/O and reads no clock.
package reach

import "time"

// Parameters of the judgement of paths.
const (
	// failureWindow is how long a failed attempt to connect is evidence of a partition.
	failureWindow = 2 * time.Second
	// successWindow is how long a connection is evidence against one.
	successWindow = 500 * time.Millisecond
	// quietPeriod is how long nothing must have come from any backend server: connections
	// to some servers also fail when just these are down.
	quietPeriod = 200 * time.Millisecond
	// minFailing is the number of servers that cannot be connected to in a partition.
	minFailing = 2
	// trustPeriod is how long a new connection to any server shows that the path is sound.
	trustPeriod = 500 * time.Millisecond
	// distrustPeriod is how long kept connections are not used after a path was found lost: those
	// to other servers may lead over it, too.
	distrustPeriod = time.Second
	// retryAfter is the age from which a failed attempt says nothing about the next one.
	retryAfter = 500 * time.Millisecond
	// forgetAfter is how long a server that is not called any more is remembered as failing.
	forgetAfter = 10 * time.Second
	// probeInterval is the least time between two probes of one server, probeSpacing that
	// between probes of any. Each costs a connection attempt.
	probeInterval = 250 * time.Millisecond
	probeSpacing  = 100 * time.Millisecond
)

// Paths tracks to which servers of one service an instance can connect. It is not safe for
// concurrent use.
type Paths struct {
	// failing maps servers to their last failed attempt to connect, until one succeeds.
	failing map[string]time.Duration
	// connected maps servers to their last connection, within distrustPeriod.
	connected map[string]time.Duration
	// reached maps failing servers to when another instance last reached them.
	reached map[string]time.Duration
	// probed maps failing servers to their last probe.
	probed    map[string]time.Duration
	lastProbe time.Duration
	lastHeard time.Duration
	// lastConnected is when any server was connected to.
	lastConnected time.Duration
	// distrustSince is when a path was last found lost, zero if none was.
	distrustSince time.Duration
}

// NewPaths returns Paths without observations.
func NewPaths() *Paths {
	return &Paths{
		failing: map[string]time.Duration{}, connected: map[string]time.Duration{},
		reached: map[string]time.Duration{}, probed: map[string]time.Duration{},
	}
}

// ConnectFailed records a failed attempt to connect to a server.
func (p *Paths) ConnectFailed(now time.Duration, server string) {
	p.failing[server] = now
	delete(p.connected, server)
	p.expire(now)
}

// Connected records a new connection to a server.
func (p *Paths) Connected(now time.Duration, server string) {
	p.connected[server], p.lastConnected = now, now
	delete(p.failing, server)
	delete(p.reached, server)
	delete(p.probed, server)
	p.Heard(now)
	p.expire(now)
}

// Heard records that data came from any backend server on a connection of this instance.
func (p *Paths) Heard(now time.Duration) { p.lastHeard = now }

// Direct reports whether a server is to be called on a connection of this instance.
func (p *Paths) Direct(now time.Duration, server string) bool {
	if at, failing := p.failing[server]; failing && now-at < forgetAfter {
		return false
	}
	if p.Isolated(now) {
		return p.connectedRecently(now, server)
	}
	return !p.distrustsKept(now) || p.connected[server] > p.distrustSince
}

// distrustsKept reports whether kept connections may lead over a path that was found lost.
func (p *Paths) distrustsKept(now time.Duration) bool {
	return p.distrustSince != 0 && now-p.distrustSince < distrustPeriod
}

// FailingCount counts the servers that could not be connected to.
func (p *Paths) FailingCount(now time.Duration) (n int) {
	for _, at := range p.failing {
		if now-at < forgetAfter {
			n++
		}
	}
	return n
}

// JustFailed reports whether a server could not be connected to a moment ago, so that another
// attempt is not worth waiting for.
func (p *Paths) JustFailed(now time.Duration, server string) bool {
	at, failing := p.failing[server]
	return failing && now-at < retryAfter
}

// ReachedByOther records that another instance connected to a server that this one cannot
// connect to.
func (p *Paths) ReachedByOther(now time.Duration, server string) {
	if _, failing := p.failing[server]; !failing {
		return
	}
	p.reached[server] = now
	if !p.distrustsKept(now) {
		p.distrustSince = now
	}
}

// Lost reports whether a call to a server that hears nothing cannot expect an answer: the
// path is known to be at fault, rather than the server.
func (p *Paths) Lost(now time.Duration, server string) bool {
	at, reached := p.reached[server]
	return reached && now-at < failureWindow || p.Isolated(now) && p.reachedAny(now)
}

// reachedAny reports whether another instance lately reached any server that this one cannot
// connect to. Without that, the servers themselves may have fallen silent.
func (p *Paths) reachedAny(now time.Duration) bool {
	for _, at := range p.reached {
		if now-at < failureWindow {
			return true
		}
	}
	return false
}

// Isolated reports whether the instance appears to be partitioned from the backend
// servers: it cannot connect to most of those that it tried, and hears from none.
func (p *Paths) Isolated(now time.Duration) bool {
	if len(p.failing) < minFailing || now-p.lastHeard < quietPeriod {
		return false
	}
	failing := 0
	for _, at := range p.failing {
		if now-at < failureWindow {
			failing++
		}
	}
	connected := 0
	for server := range p.connected {
		if p.connectedRecently(now, server) {
			connected++
		}
	}
	return failing >= minFailing && failing > connected
}

func (p *Paths) connectedRecently(now time.Duration, server string) bool {
	at, ok := p.connected[server]
	return ok && now-at < successWindow
}

// StartProbe reports whether to probe a server now, and records the probe.
func (p *Paths) StartProbe(now time.Duration, server string) bool {
	if p.lastProbe != 0 && now-p.lastProbe < probeSpacing {
		return false
	}
	if at, probed := p.probed[server]; probed && now-at < probeInterval {
		return false
	}
	p.lastProbe, p.probed[server] = now, now
	return true
}

// NeedsProbe reports whether a call that hears nothing is reason to probe its server: nothing
// came from any server for a while, and none was connected to.
func (p *Paths) NeedsProbe(now time.Duration) bool {
	return now-p.lastHeard >= quietPeriod && now-p.lastConnected >= trustPeriod
}

// expire drops observations that no longer matter, which bounds the maps by the servers
// in use.
func (p *Paths) expire(now time.Duration) {
	for server, at := range p.failing {
		if now-at >= forgetAfter {
			delete(p.failing, server)
		}
	}
	for server, at := range p.connected {
		if now-at >= distrustPeriod {
			delete(p.connected, server)
		}
	}
	for server, at := range p.reached {
		if now-at >= failureWindow {
			delete(p.reached, server)
		}
	}
	for server, at := range p.probed {
		if now-at >= forgetAfter {
			delete(p.probed, server)
		}
	}
}
