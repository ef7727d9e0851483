package member

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// maxNear and maxFar bound the neighbours inside and outside the instance's cell. A random
// graph with this many edges per node stays connected when half of the nodes are lost.
const (
	maxNear = 6
	maxFar  = 6
)

// Neighbours are the members with which an instance gossips in a fleet of several cells. Its
// number of connections then depends neither on the size of the fleet nor on that of a cell.
type Neighbours struct {
	// CellPeers are the other members of the same cell. They send each other signs of life more
	// often than members of other cells do, and report when one of them falls silent.
	CellPeers []string
	// Monitors are the cell peers that get signs of life of this instance most often and report
	// its silence; Monitored are those whose silence this instance reports.
	Monitors, Monitored []string
	// Range contains the name hashes of the cell's members.
	Range cell.HashRange
	// Near are gossip partners in the same cell, Far in other cells.
	Near, Far []string
}

// NeighboursOf chooses the neighbours of self among the live members; c is its cell. The choice
// hashes names, so a member that joins or leaves changes at most one neighbour. In a fleet of one
// cell it returns the zero value: every instance gossips with all others.
func NeighboursOf(self string, c cell.Cell, live []string) Neighbours {
	if c.Count <= 1 {
		return Neighbours{}
	}
	near := make(map[string]bool, len(c.Peers)+1)
	near[self] = true
	for _, name := range c.Peers {
		near[name] = true
	}
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return near[name] })
	return Neighbours{CellPeers: c.Peers, Range: c.Range, Monitors: place.Rank(self, c.Peers, monitorCount), Monitored: monitoredBy(self, c.Peers), Near: place.Rank(self, c.Peers, maxNear), Far: place.Rank(self, others, maxFar)}
}

// monitorCount is the number of monitors of a member. All of them are among six tenths of a fleet
// that fail at once in one case of twenty; the other cell peers notice it some seconds later.
const monitorCount = 6

// monitoredBy returns the cell peers of which self is a monitor.
func monitoredBy(self string, cellPeers []string) (out []string) {
	members := append(slices.Clone(cellPeers), self)
	for _, name := range cellPeers {
		others := slices.DeleteFunc(slices.Clone(members), func(other string) bool { return other == name })
		if place.InTop(self, name, others, monitorCount) {
			out = append(out, name)
		}
	}
	return out
}

// All returns all neighbours.
func (n Neighbours) All() []string { return slices.Concat(n.Near, n.Far) }

// SetNeighbours limits gossip to the given members and sets the members of the same cell.
// Until it is called, all members count as one cell.
func (t *Table) SetNeighbours(n Neighbours) {
	t.neighbours = n
	t.cellPeers, t.monitored = setOf(n.CellPeers), setOf(n.Monitored)
	for name, e := range t.entries {
		e.distant = t.distant(name)
	}
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// distant reports whether a member is monitored by others: in another cell, or in the same one.
func (t *Table) distant(name string) bool { return len(t.cellPeers) > 0 && !t.monitored[name] }

// silenceReporters is the number of cell peers that report a member's silence to the other
// cells. One is not enough: it may fail at the same moment, and datagrams get lost.
const silenceReporters = 4

// NewlySilent returns the monitored members that fell silent since the last call and whose silence this
// member reports to the other cells. It does not report peers that it heard of through others only:
// by their own view of the fleet they may belong to another cell.
func (t *Table) NewlySilent(now time.Duration) []*peerpb.MemberSilent {
	var out []*peerpb.MemberSilent
	for _, name := range t.neighbours.Monitored {
		e := t.entries[name]
		if e == nil || e.contact {
			continue
		}
		alive := t.alive(now, e)
		if e.aliveAtCheck && !alive && t.heardLately(now, e) && t.reportsSilence(now, name) {
			out = append(out, &peerpb.MemberSilent{Name: name, Incarnation: e.state.Incarnation})
		}
		e.aliveAtCheck = alive
	}
	return out
}

// heardLately reports whether the last message of a member itself is no older than silentWindow.
func (t *Table) heardLately(now time.Duration, e *entry) bool {
	return e.heardDirectly > 0 && now-e.heardDirectly < silentWindow
}

// reportsSilence reports whether this member is among the silenceReporters of a silent one.
func (t *Table) reportsSilence(now time.Duration, silent string) bool {
	witnesses := []string{t.self.Name}
	for name := range t.cellPeers {
		if e := t.entries[name]; name != silent && e != nil && t.alive(now, e) {
			witnesses = append(witnesses, name)
		}
	}
	return place.InTop(t.self.Name, silent, witnesses, silenceReporters)
}

// A silence report voids all signs of life older than silenceMargin, so that those which arrive
// late through other members do not revive the member. The margin is well below the silence
// itself, some two seconds, because late packets make signs of life look newer.
const silenceMargin = 200 * time.Millisecond

// reportWindow is how long one peer's silence report stays valid for a second one to confirm it.
const reportWindow = time.Second

// silenceReport records which cell peer reported a member's silence, and when.
type silenceReport struct {
	by string
	at time.Duration
}

// RecordSilence records a report that a member fell silent, sent by one of its monitors. A later
// sign of life revives the member. Two monitors must agree within reportWindow: one may have
// lost several packets in a row. More than two are not required, since late packets may make a
// monitor miss the silence.
func (t *Table) RecordSilence(now time.Duration, by string, s *peerpb.MemberSilent) {
	e := t.entries[s.Name]
	if e == nil || e.contact || e.state.Incarnation > s.Incarnation {
		return
	}
	previous := e.lastReport
	e.lastReport = silenceReport{by, now}
	if previous.by == "" || previous.by == by || now-previous.at > reportWindow {
		return
	}
	e.silentSince = now - silenceMargin
}

// drawTargets returns the names of the live members for one round of gossip. At least one is in
// another cell if possible; otherwise updates would stay within the cell for a while.
func (t *Table) drawTargets(now time.Duration, live []*entry, n int) []string {
	if len(t.neighbours.Far) == 0 {
		t.shuffle(live)
		return namesOf(live[:min(n, len(live))])
	}
	nearLive, distantLive := t.drawFrom(now, t.neighbours.Near), t.drawFrom(now, t.neighbours.Far)
	out := distantLive[:min(max(1, n/2), len(distantLive))]
	return namesOf(append(out, nearLive[:min(n-len(out), len(nearLive))]...))
}

// drawFrom returns the live ones of the named members in random order.
func (t *Table) drawFrom(now time.Duration, names []string) []*entry {
	var out []*entry
	for _, name := range names {
		if e := t.entries[name]; e != nil && t.alive(now, e) {
			out = append(out, e)
		}
	}
	t.shuffle(out)
	return out
}

func namesOf(entries []*entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.name
	}
	return out
}
