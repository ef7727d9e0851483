package follow

import (
	"context"
	"maps"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/wait"
)

const (
	// coldTolerance is how far the end of a cold time may move without being forwarded. Each heartbeat
	// states the remaining time again, and the store delays it by up to 250 ms when it is slow.
	coldTolerance = 500 * time.Millisecond
	// coldReportInterval is how often servers that became cold or warm are looked for.
	coldReportInterval = 250 * time.Millisecond
)

// usualColdTime returns how long servers of a service are cold after their start, and whether the
// requests to its cold servers are limited.
func (f *Follower) usualColdTime(service string) (d time.Duration, limited bool) {
	t := f.Table()
	if t == nil {
		return 0, false
	}
	s, known := t.Service(service)
	if !known {
		return 0, false
	}
	return s.ColdStart, s.ColdRate > 0
}

// coldServers returns the cold servers of services that limit the requests to them.
func (f *Follower) coldServers(now time.Duration, snap *backends.Snapshot) []backends.ColdServer {
	if snap == nil {
		return nil
	}
	return snap.Cold(now, f.usualColdTime)
}

// coldTimeForPeers returns the cold time of a server for other instances, in milliseconds, and the position
// of the store at which it was stated. Zero means that nothing was stated, so a cold time that is over is
// one millisecond.
func (f *Follower) coldTimeForPeers(snap *backends.Snapshot, s backends.Server) (ms uint32, at position.Position) {
	usual, limited := f.usualColdTime(s.Service)
	if !limited {
		usual = 0
	}
	c := snap.ColdTime(f.now(), s.ID, usual)
	if !c.Known {
		return 0, position.Position{}
	}
	return coldMS(c.Remaining), c.At
}

// coldMS returns a time in milliseconds, at least one.
func coldMS(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1).Milliseconds()
	return uint32(min(max(1, ms), math.MaxUint32))
}

// coldTimeFrom returns the cold time that another instance stated with a position of the store.
func coldTimeFrom(ms uint32, era uint64, revision int64) backends.ColdTime {
	if ms == 0 {
		return backends.ColdTime{}
	}
	return backends.ColdTime{
		Known: true, Remaining: time.Duration(ms) * time.Millisecond, FromPeer: true, At: position.Position{Era: era, Revision: revision},
	}
}

// coldTimesChanged reports whether a server became cold, or the end of its cold time differs from the one
// forwarded last, and records the ends that are forwarded now. The caller holds f.mu.
func (f *Follower) coldTimesChanged(snap *backends.Snapshot) (changed bool) {
	now := f.now()
	maps.DeleteFunc(f.coldForwarded, func(_ string, until time.Duration) bool { return until <= now })
	for _, s := range f.coldServers(now, snap) {
		until, forwarded := f.coldForwarded[s.ID]
		if !forwarded || (s.Until-until).Abs() > coldTolerance {
			f.coldForwarded[s.ID] = s.Until
			changed = true
		}
	}
	if changed {
		wake(f.becameCold)
	}
	return changed
}

// StateCold takes over what a server states in an answer of its remaining cold time, unless that agrees
// with what is known.
func (f *Follower) StateCold(id string, life backends.Life, remaining time.Duration) {
	snap := f.Servers()
	if snap == nil {
		return
	}
	s, _ := snap.Get(id)
	usual, limited := f.usualColdTime(s.Service)
	known := max(0, snap.ColdUntil(id, usual)-f.now())
	if !limited || (remaining-known).Abs() <= coldTolerance {
		return
	}
	f.updateServers("answer", func(now time.Duration) bool { return f.serverSet.StateCold(now, id, life, remaining) })
}

// reportColdServers logs servers that become cold or warm and updates their number.
func (f *Follower) reportColdServers(ctx context.Context) {
	wait.Every(ctx, coldReportInterval, f.reportCold)
}

func (f *Follower) reportCold() {
	now, cold := f.now(), map[string]backends.ColdServer{}
	for _, s := range f.coldServers(now, f.Servers()) {
		cold[s.ID] = s
	}
	f.mu.Lock()
	previous := f.coldLogged
	f.coldLogged = cold
	f.mu.Unlock()
	if len(cold) == 0 && len(previous) == 0 {
		return
	}
	for id, s := range cold {
		if before, logged := previous[id]; !logged || !before.Life.Same(s.Life) {
			f.log.Info("server is cold", append(coldFields(s), zap.Duration("left", s.Until-now))...)
		}
	}
	for id, s := range previous {
		if _, still := cold[id]; !still {
			f.log.Info("server is no longer cold", coldFields(s)...)
		}
	}
	f.scope.Gauge("servers_cold").Update(float64(len(cold)))
}

func coldFields(s backends.ColdServer) []zap.Field {
	return []zap.Field{zap.String("server", s.ID), zap.String("service", s.Service), zap.Int64("life", int64(s.Life))}
}

// dumpCold lists the cold servers.
func (f *Follower) dumpCold(now time.Duration) (out []DumpCold) {
	for _, s := range f.coldServers(now, f.Servers()) {
		out = append(out, DumpCold{Server: s.ID, Service: s.Service, LeftMS: (s.Until - now).Milliseconds()})
	}
	return out
}
