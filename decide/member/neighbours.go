package member

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/internal/set"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// maxNear and maxFar bound the neighbours inside and outside the instance's cell. A random
// graph with this many edges per node stays connected when half of the nodes are lost. All in
// Near are among six tenths of a fleet that fail at once in one case of twenty; the other cell
// peers notice a member's silence some seconds later.
const (
	maxNear = 6
	maxFar  = 6
)

// Neighbours are the members with which an instance gossips in a fleet of several cells. Its
// number of messages then depends neither on the size of the fleet nor on that of a cell.
type Neighbours struct {
	// CellPeers are the other members of the same cell.
	CellPeers []string
	// Range contains the name hashes of the cell's members.
	Range cell.HashRange
	// Near are gossip partners in the same cell, Far in other cells. Those in Near also get signs of
	// life of this instance most often and report its silence.
	Near, Far []string
	// Monitored are the cell peers that have this instance in their Near.
	Monitored []string
}

// NeighboursOf chooses the neighbours of self among the live members; c is its cell. The choice
// hashes names, so a member that joins or leaves changes at most one neighbour. In a fleet of one
// cell it returns the zero value: every instance gossips with all others.
func NeighboursOf(self string, c cell.Cell, live []string) Neighbours {
	if c.Count <= 1 {
		return Neighbours{}
	}
	members := append(slices.Clone(c.Peers), self)
	inCell := set.Of(members)
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return inCell[name] })
	n := Neighbours{CellPeers: c.Peers, Range: c.Range, Near: nearOf(self, members), Far: place.Rank(self, others, maxFar)}
	for _, name := range c.Peers {
		if slices.Contains(nearOf(name, members), self) {
			n.Monitored = append(n.Monitored, name)
		}
	}
	return n
}

// nearOf returns the neighbours of a member in its cell.
func nearOf(name string, members []string) []string {
	ranked := place.Rank(name, members, maxNear+1)
	ranked = slices.DeleteFunc(ranked, func(other string) bool { return other == name })
	return ranked[:min(maxNear, len(ranked))]
}

// All returns all neighbours.
func (n Neighbours) All() []string { return slices.Concat(n.Near, n.Far) }

// SetNeighbours limits gossip to the given members and sets the members of the same cell.
// Until it is called, all members count as one cell.
func (t *Table) SetNeighbours(n Neighbours) {
	t.neighbours = n
	t.cellPeers, t.monitored = set.Of(n.CellPeers), set.Of(n.Monitored)
	for name, e := range t.entries {
		e.distant = t.distant(name)
	}
}

// distant reports whether a member is monitored by others: in another cell, or in the same one.
func (t *Table) distant(name string) bool { return len(t.cellPeers) > 0 && !t.monitored[name] }

// silenceReporters is the number of monitors that report a member's silence. The two that must
// agree are not enough: one may fail at the same moment, and datagrams get lost.
const silenceReporters = 4

// NewlySilent returns the monitored members that fell silent since the last call and whose
// silence this member reports. It does not report peers that it heard of through others
// only: by their own view of the fleet they may belong to another cell.
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
	return place.InTop(t.self.Name, silent, t.liveCell(now), silenceReporters)
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
