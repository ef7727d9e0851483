package loads

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/fanout"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/internal/set"
)

// cellInput is what determines the cell of an instance and the data centres in it: the names of the
// live instances, their data centres in the same order, and the number of engines.
type cellInput struct {
	live, dataCentres []string
	engines           int
}

func (a cellInput) equal(b cellInput) bool {
	return a.engines == b.engines && slices.Equal(a.live, b.live) && slices.Equal(a.dataCentres, b.dataCentres)
}

// completeReceivers returns the cell peers that get this complete report. l.mu must be held.
func (l *Loads) completeReceivers(idle bool) []string {
	if !idle {
		l.idleReports = 0
		return l.cell.Peers
	}
	l.idleReports++
	if len(l.monitors) == 0 || l.idleReports < idleInterval || l.idleReports%idleInterval == 0 {
		return l.cell.Peers
	}
	return l.monitors
}

// updateCell recomputes this instance's cell if the live instances or the number of engines
// changed.
func (l *Loads) updateCell(v members.View) {
	in := cellInput{live: make([]string, len(v.Alive)), dataCentres: make([]string, len(v.Alive)), engines: l.minReadyServers()}
	for i, m := range v.Alive {
		in.live[i], in.dataCentres[i] = m.Name, m.DataCentre
	}
	l.mu.Lock()
	unchanged := in.equal(l.cellOf)
	l.mu.Unlock()
	if unchanged {
		return
	}
	next := cell.Of(l.link.Self(), in.live, in.engines)
	peers, neighbours := set.Of(next.Peers), member.NeighboursOf(l.link.Self(), next, in.live)
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Count != l.cell.Count || next.Index != l.cell.Index {
		l.log.Info("cell changed", zap.Int("cell", next.Index), zap.Int("cells", next.Count),
			zap.Int("mates", len(peers)), zap.Int("instances", len(in.live)))
	}
	if !maps.Equal(peers, l.cellPeers) {
		l.idleReports = 0
	}
	l.cell, l.cellPeers, l.cellOf, l.monitors = next, peers, in, neighbours.Near
	l.fanoutPeers = l.newFanoutPeers(in)
	l.members.SetNeighbours(neighbours)
	l.ledger.RetainPeers(peers)
	l.queue.RetainPeers(peers)
	if l.shares != nil {
		l.shares.RetainPeers(l.now(), peers)
	}
	maps.DeleteFunc(l.synced, func(peer string, _ bool) bool { return !peers[peer] })
	maps.DeleteFunc(l.newestReport, func(peer string, _ reportID) bool { return !peers[peer] })
}

// newFanoutPeers returns the cell peers with their data centres. l.mu must be held.
func (l *Loads) newFanoutPeers(in cellInput) []fanout.Peer {
	since := make(map[string]time.Duration, len(l.fanoutPeers))
	for _, p := range l.fanoutPeers {
		since[p.Name] = p.Since
	}
	now := l.now()
	out := make([]fanout.Peer, 0, len(l.cellPeers))
	for i, name := range in.live {
		if !l.cellPeers[name] {
			continue
		}
		p := fanout.Peer{Name: name, DataCentre: in.dataCentres[i], Since: now}
		if at, known := since[name]; known {
			p.Since = at
		}
		out = append(out, p)
	}
	return out
}

// minReadyServers returns the minimum number of ready servers over all model services, or zero
// while the catalog is unknown.
func (l *Loads) minReadyServers() int {
	table, servers := l.catalog.Table(), l.catalog.Servers()
	if table == nil || servers == nil {
		return 0
	}
	minCount := 0
	for _, s := range table.Services {
		n := len(servers.Ready(s.Name))
		if s.Engine != nil && (minCount == 0 || n < minCount) {
			minCount = n
		}
	}
	return minCount
}

// Cell returns this instance's cell.
func (l *Loads) Cell() cell.Cell {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cell
}
