package member

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/internal/partial"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// Limits on how often changed entries are sent, and in what form.
const (
	// updateWindow is how long a changed entry counts as an update, which is sent in full. Others
	// are sent in full in one of fullEvery messages.
	updateWindow = 10 * time.Second
	fullEvery    = 16
	// maxUpdates bounds the updates in one message: 192 full entries are some 17 KB. When 300
	// instances start together, each sends all that it knows within two rounds.
	maxUpdates = 192
	// extraFanout is the number of additional targets while many updates are pending.
	extraFanout = 2
	// maxSends is the number of messages in which an instance sends one update. Members that it
	// does not reach ask for the entry when they hear of it in brief, or when digests differ.
	maxSends = 8
)

// targets picks random live members and one that is not known to be alive, so that
// instances rediscover each other after a long partition.
func (t *Table) targets(now time.Duration) []string {
	var live, rest []*entry
	for _, e := range t.order {
		if t.alive(now, e) {
			live = append(live, e)
		} else {
			rest = append(rest, e)
		}
	}
	out := t.drawTargets(now, live, t.cfg.Fanout+t.extraTargets(now))
	if len(rest) > 0 {
		out = append(out, rest[t.rand.IntN(len(rest))].name)
	}
	return out
}

// extraTargets is the number of additional targets of a round while there are more pending
// updates than a message usually carries: after a full start, or the loss of half the fleet.
func (t *Table) extraTargets(now time.Duration) int {
	updates := 0
	for _, e := range t.order {
		if t.pendingUpdate(now, e) {
			updates++
		}
	}
	if updates > t.cfg.Sample {
		return extraFanout
	}
	return 0
}

// pendingUpdate reports whether an entry changed recently and was not sent often enough yet.
func (t *Table) pendingUpdate(now time.Duration, e *entry) bool {
	return t.alive(now, e) && now-e.changedAt < updateWindow && e.sends < maxSends
}

// sample returns self, the pending updates that were sent least often, and some of the other
// live members: those heard from last, since older heartbeats are already known elsewhere.
// Without priority for updates, most pairs of 300 instances that start together don't know
// each other after three seconds, and some after 30 s. With the others chosen at random, a
// live member of 100 is sometimes not heard of for 16 s.
func (t *Table) sample(now time.Duration) []*peerpb.MemberState {
	var updates, rest []*entry
	for _, e := range t.order {
		switch {
		case t.pendingUpdate(now, e):
			updates = append(updates, e)
		case t.alive(now, e):
			rest = append(rest, e)
		}
	}
	updates = t.chooseFirst(updates, max(maxUpdates, t.cfg.Sample), func(a, b *entry) bool { return a.sends < b.sends })
	rest = t.chooseFirst(rest, t.heartbeatsIn(updates), func(a, b *entry) bool { return a.heard > b.heard })
	out := []*peerpb.MemberState{cloneState(t.self)}
	for _, e := range slices.Concat(updates, rest) {
		out = append(out, t.render(now, e))
		e.sends++
	}
	return out
}

// heartbeatsIn returns how many members without updates a message carries beside updates. In a fleet
// of several cells it carries none: cell digests tell who lives.
func (t *Table) heartbeatsIn(updates []*entry) int {
	if len(t.cellPeers) > 0 {
		return 0
	}
	return t.cfg.Sample - len(updates)
}

// chooseFirst returns the first n entries in the order of less, equal ones in random order.
func (t *Table) chooseFirst(entries []*entry, n int, less func(a, b *entry) bool) []*entry {
	t.shuffle(entries)
	return partial.First(entries, n, less)
}

// shuffle permutes entries; as they come in sorted, the result depends on the seed alone.
func (t *Table) shuffle(entries []*entry) {
	t.rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
}

// render returns an entry as it is sent. Names, addresses and engines rarely change, so most
// entries carry only the heartbeat: with full entries, 350 instances would exceed the budget
// of 22 KB/s each (59 KB/s).
func (t *Table) render(now time.Duration, e *entry) *peerpb.MemberState {
	if t.pendingUpdate(now, e) || t.rand.IntN(fullEvery) == 0 {
		return renderFull(now, e)
	}
	return &peerpb.MemberState{
		Name: e.state.Name, Incarnation: e.state.Incarnation, Heartbeat: e.state.Heartbeat, Leaving: e.state.Leaving, Version: e.state.Version,
		Brief: true, AgeMs: ageMillis(now, e),
	}
}

func renderFull(now time.Duration, e *entry) *peerpb.MemberState {
	full := cloneState(e.state)
	full.AgeMs = ageMillis(now, e)
	return full
}

func ageMillis(now time.Duration, e *entry) uint32 { return uint32(max(0, now-e.heard).Milliseconds()) }

// cloneState copies a state, because a message outlives the call while the state changes.
func cloneState(s *peerpb.MemberState) *peerpb.MemberState {
	return &peerpb.MemberState{
		Name: s.Name, Incarnation: s.Incarnation, Heartbeat: s.Heartbeat, Leaving: s.Leaving,
		DataCentre: s.DataCentre, Region: s.Region, PeerAddr: s.PeerAddr, CallerAddr: s.CallerAddr,
		Engines: s.Engines, Version: s.Version, Serving: s.Serving, Capacity: s.Capacity,
	}
}
