// Package member decides which instances are alive. Heartbeat counters spread
// by gossip: every period an instance sends a bounded sample of its table to a
// few others, so the cost per instance does not grow with the fleet.
//
// The package does no I/O and reads no clock.
package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/internal/digest"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// Config tunes gossip and failure detection.
type Config struct {
	// Period is the time between rounds of gossip.
	Period time.Duration
	// Fanout is the number of instances that one round reaches.
	Fanout int
	// Sample bounds the entries in one message, except for recent changes (see maxUpdates).
	Sample int
	// FailBase is the silence after which a member of a fleet of two is
	// considered dead. The timeout grows with the logarithm of the fleet's
	// size, as does the time that a heartbeat needs to reach everyone.
	FailBase time.Duration
	// MaxFailAfter caps that timeout in large fleets; zero means no cap. It requires direct
	// signs of life (Heard) at least every half of it, since gossip takes longer to reach
	// everyone.
	MaxFailAfter time.Duration
	// FailDistant is the silence after which a member that others monitor is considered dead
	// if none of them reports its silence; zero applies the general timeout.
	FailDistant time.Duration
	// ForgetAfter is the silence after which a member is removed from the table.
	ForgetAfter time.Duration
}

// DefaultConfig returns the values on which docs/CAPACITY.md is based.
func DefaultConfig() Config {
	return Config{Period: 500 * time.Millisecond, Fanout: 3, Sample: 16, FailBase: 2500 * time.Millisecond, ForgetAfter: 5 * time.Minute}
}

type entry struct {
	name  string
	state *peerpb.MemberState
	// nameHash orders members into cells; life is the hash of the name and the incarnation.
	nameHash, life uint64
	heard          time.Duration
	// heardDirectly is when the last message of the member itself arrived, zero if none did.
	heardDirectly time.Duration
	// changedAt is when the static part last changed; it counts as an update for updateWindow.
	changedAt time.Duration
	// sends counts the messages that carried the entry since changedAt.
	sends int
	// distant marks a member that others monitor.
	distant bool
	// silentSince is the time up to which signs of life are void, as reported by the member's
	// cell peers.
	silentSince time.Duration
	// lastReport is the latest report of a cell peer that the member fell silent.
	lastReport silenceReport
	// aliveAtCheck tells whether the member was alive at the last call of NewlySilent.
	aliveAtCheck bool
	// contact marks a name known only from the instance list or the settings.
	contact bool
}

// Table is one instance's view of the members.
type Table struct {
	cfg     Config
	self    *peerpb.MemberState
	rand    *rand.Rand
	entries map[string]*entry
	// order holds the entries sorted by name, so that random choices depend on the seed alone.
	order []*entry
	// failAfter is the result of FailAfter, which changes with the number of entries only.
	failAfter  time.Duration
	next       time.Duration
	neighbours Neighbours
	// cellPeers are the other members of the same cell, empty if the fleet is one cell;
	// monitored are those of them whose silence this instance reports.
	cellPeers, monitored map[string]bool
	// newSenders are members that sent gossip before this instance knew them.
	newSenders []string
	// digestedAt is when cell digests were sent last, lastDigest their digest, and digestPause the
	// pause after them if nothing changes.
	digestedAt, digestPause time.Duration
	lastDigest              uint64
	// requests are full entries that others asked for, unknown those to ask others for.
	requests, unknown []entryRequest
}

// NewTable returns a table that knows only self.
func NewTable(self *peerpb.MemberState, cfg Config, r *rand.Rand) *Table {
	t := &Table{cfg: cfg, self: self, rand: r, entries: map[string]*entry{}}
	t.updateFailAfter()
	return t
}

// Contact is an instance that is known by name only and not yet confirmed by gossip.
type Contact struct {
	Name     string
	PeerAddr string
}

// SetContacts adds names from the instance list. The list lags: a name on it
// is not a sign of life, and a member missing from it is not dead.
func (t *Table) SetContacts(cs []Contact) {
	for _, c := range cs {
		if c.Name == t.self.Name {
			continue
		}
		if e := t.entries[c.Name]; e == nil {
			t.add(c.Name, &entry{contact: true, state: &peerpb.MemberState{Name: c.Name, PeerAddr: c.PeerAddr}})
		}
	}
}

func (t *Table) add(name string, e *entry) {
	e.name, e.nameHash, e.distant = name, cell.HashOf(name), t.distant(name)
	t.entries[name] = e
	at, _ := slices.BinarySearchFunc(t.order, name, func(e *entry, name string) int { return cmp.Compare(e.name, name) })
	t.order = slices.Insert(t.order, at, e)
	t.updateFailAfter()
}

// SetLeaving announces that self is shutting down.
func (t *Table) SetLeaving() {
	t.self.Leaving = true
	t.self.Version++
}

// SetServing announces whether self can answer requests.
func (t *Table) SetServing(serving bool) {
	if t.self.Serving == serving {
		return
	}
	t.self.Serving = serving
	t.self.Version++
}

// SetEngines replaces the engines that self reports for.
func (t *Table) SetEngines(engines []*peerpb.EngineState) {
	t.self.Engines = engines
	t.self.Version++
}

// Receive merges gossip and reports whether the set of live members, or what
// they say of themselves, changed.
func (t *Table) Receive(now time.Duration, g *peerpb.Gossip) bool {
	if len(g.Members) == 0 {
		return false
	}
	// The first entry of a message is its sender.
	sender := g.Members[0].Name
	known := t.knowsAlive(now, sender)
	changed := t.ReceiveMore(now, sender, g.Members)
	if !known && t.knowsAlive(now, sender) {
		t.newSenders = append(t.newSenders, sender)
	}
	t.addRequest(sender, g.Unknown)
	return changed
}

// ReceiveMore merges further entries of a gossip message of a member, as Receive does.
func (t *Table) ReceiveMore(now time.Duration, from string, states []*peerpb.MemberState) bool {
	changed := false
	for _, s := range states {
		if s.Name == t.self.Name {
			t.refute(s)
			continue
		}
		changed = t.merge(now, s) || changed
	}
	t.requestUnknown(from, states)
	return changed
}

func (t *Table) knowsAlive(now time.Duration, name string) bool {
	e := t.entries[name]
	return e != nil && t.alive(now, e)
}

// refute raises self's incarnation above that of a state which this process did not
// publish. Such a state comes from an earlier process of the same name whose wall clock ran
// ahead; without a higher incarnation, other members would ignore this process as stale.
func (t *Table) refute(s *peerpb.MemberState) {
	if s.Incarnation > t.self.Incarnation {
		t.self.Incarnation = s.Incarnation + 1
	}
}

// newer reports whether a supersedes b.
func newer(a, b *peerpb.MemberState) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Heartbeat > b.Heartbeat
}

// merge applies a received entry and reports whether the member's visible state changed.
func (t *Table) merge(now time.Duration, s *peerpb.MemberState) bool {
	e := t.entries[s.Name]
	if s.Brief {
		return t.mergeBrief(now, e, s)
	}
	if e == nil {
		e = &entry{contact: true, state: &peerpb.MemberState{}}
		t.add(s.Name, e)
	}
	if !e.contact && !newer(s, e.state) {
		return false
	}
	wasAlive := t.alive(now, e)
	visible := !wasAlive || e.state.Incarnation != s.Incarnation || e.state.Leaving != s.Leaving || e.state.Serving != s.Serving || !sameEngines(e.state.Engines, s.Engines)
	if visible {
		e.changedAt, e.sends = now, 0
	}
	heard := t.lastSign(now, s)
	if s.Incarnation == e.state.Incarnation {
		heard = max(heard, e.heard)
	}
	if s.Incarnation == e.state.Incarnation && s.Heartbeat < e.state.Heartbeat {
		// A brief entry delivered a later heartbeat before this change arrived.
		s = cloneState(s)
		s.Heartbeat = e.state.Heartbeat
	}
	if e.contact || s.Incarnation != e.state.Incarnation {
		e.life = lifeHash(s.Name, s.Incarnation)
	}
	e.state, e.heard, e.contact = s, heard, false
	return visible
}

// mergeBrief applies the heartbeat of a member whose static part is known. A member that is
// not known yet soon arrives as a full entry. The version of the static part stays
// unchanged, so that the full entry is accepted although its heartbeat is not newer.
func (t *Table) mergeBrief(now time.Duration, e *entry, s *peerpb.MemberState) bool {
	if e == nil || e.contact || e.state.Incarnation != s.Incarnation || s.Heartbeat <= e.state.Heartbeat {
		return false
	}
	visible := !t.alive(now, e) || (s.Leaving && !e.state.Leaving)
	full := cloneState(e.state)
	full.Heartbeat, full.Leaving = s.Heartbeat, e.state.Leaving || s.Leaving
	e.state, e.heard = full, max(e.heard, t.lastSign(now, s))
	return visible
}

// lastSign returns the time of the sign of life in an entry that arrives now. Where members
// also send direct signs of life (MaxFailAfter is set), the entry's age is subtracted, so that
// late gossip doesn't keep a dead member alive. By gossip alone, FailAfter already allows
// for the propagation time; subtracting the age as well declared live members of 100 dead.
func (t *Table) lastSign(now time.Duration, s *peerpb.MemberState) time.Duration {
	if t.cfg.MaxFailAfter <= 0 {
		return now
	}
	return now - time.Duration(s.AgeMs)*time.Millisecond
}

// Heard records a message that came from a member directly. In a fleet of 75, gossip alone
// delivers some heartbeats only after two to three seconds, so the timeout would have to be
// over four seconds. Direct signs of life allow the same timeout as in a fleet of eight.
func (t *Table) Heard(now time.Duration, name string) {
	if e := t.entries[name]; e != nil && !e.contact {
		e.heard = max(e.heard, now)
		e.heardDirectly = now
	}
}

// HeardDirectly returns when the last message of a member itself arrived, zero if none did.
func (t *Table) HeardDirectly(name string) time.Duration {
	if e := t.entries[name]; e != nil {
		return e.heardDirectly
	}
	return 0
}

func sameEngines(a, b []*peerpb.EngineState) bool {
	return slices.EqualFunc(a, b, func(x, y *peerpb.EngineState) bool {
		return x.Name == y.Name && x.KvTotal == y.KvTotal && x.Leaving == y.Leaving && x.Addr == y.Addr && slices.Equal(x.Models, y.Models)
	})
}

// FailAfter returns the silence after which a member is considered dead.
func (t *Table) FailAfter() time.Duration { return t.failAfter }

func (t *Table) updateFailAfter() {
	n := float64(max(2, len(t.entries)+1))
	t.failAfter = time.Duration(float64(t.cfg.FailBase) * math.Log2(n))
	if t.cfg.MaxFailAfter > 0 {
		t.failAfter = min(t.failAfter, t.cfg.MaxFailAfter)
	}
}

// failAfterOf is FailAfter for one member: longer for those that others monitor.
func (t *Table) failAfterOf(e *entry) time.Duration {
	if e.distant {
		return max(t.failAfter, t.cfg.FailDistant)
	}
	return t.failAfter
}

func (t *Table) alive(now time.Duration, e *entry) bool {
	return !e.contact && now-e.heard < t.failAfterOf(e) && (e.silentSince == 0 || e.heard > e.silentSince)
}

// Message is gossip addressed to one instance.
type Message struct {
	To     string
	Gossip *peerpb.Gossip
}

// Tick starts a round of gossip if one is due: it advances self's heartbeat and returns the
// messages to send.
func (t *Table) Tick(now time.Duration) []Message {
	if now < t.next {
		return nil
	}
	t.next = now + t.cfg.Period
	t.self.Heartbeat++
	t.forget(now)
	return t.Spread(now)
}

// Spread returns one round of gossip at once, for changes that should not wait
// for the next period.
func (t *Table) Spread(now time.Duration) []Message {
	var out []Message
	for _, to := range t.targets(now) {
		out = append(out, Message{To: to, Gossip: &peerpb.Gossip{Members: t.sample(now)}})
	}
	return out
}

// Announce returns self's state addressed to all live members, for changes that all must act
// on at once: gossip takes a second to spread a departure in a fleet of 75.
func (t *Table) Announce(now time.Duration) []Message {
	var out []Message
	for name, e := range t.entries {
		if t.alive(now, e) {
			out = append(out, Message{To: name, Gossip: &peerpb.Gossip{Members: []*peerpb.MemberState{cloneState(t.self)}}})
		}
	}
	return out
}

// forget removes the members that have been silent for longer than ForgetAfter.
func (t *Table) forget(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(e *entry) bool {
		gone := !e.contact && now-e.heard > t.cfg.ForgetAfter
		if gone {
			delete(t.entries, e.name)
		}
		return gone
	})
	t.updateFailAfter()
}

// Alive returns the live members and self, sorted by name.
func (t *Table) Alive(now time.Duration) []*peerpb.MemberState {
	out := make([]*peerpb.MemberState, 0, len(t.order)+1)
	for _, e := range t.order {
		if t.alive(now, e) {
			out = append(out, e.state)
		}
	}
	at, _ := slices.BinarySearchFunc(out, t.self.Name, func(s *peerpb.MemberState, name string) int { return cmp.Compare(s.Name, name) })
	return slices.Insert(out, at, cloneState(t.self))
}

// Roster is what a member knows of the size of the fleet, whether or not it sees all of it now.
type Roster struct {
	// Size counts the members that were heard from and have not left, and self; Rank is the
	// position of self among their sorted names.
	Size, Rank int
	// Incomplete is set if there are contacts that were never heard from.
	Incomplete bool
}

// Roster returns the roster without members that announced that they leave and have been
// silent for leftFor.
func (t *Table) Roster(now, leftFor time.Duration) Roster {
	r := Roster{Size: 1}
	known := map[string]bool{t.self.PeerAddr: true}
	for _, e := range t.order {
		if e.contact {
			continue
		}
		known[e.state.PeerAddr] = true
		if e.state.Leaving && now-e.heard > leftFor {
			continue
		}
		r.Size++
		if e.name < t.self.Name {
			r.Rank++
		}
	}
	// Contacts may have another name than the member at their address.
	r.Incomplete = slices.ContainsFunc(t.order, func(e *entry) bool { return e.contact && !known[e.state.PeerAddr] })
	return r
}

// LiveDigest identifies the live members and what they say of themselves besides heartbeats. It
// is far cheaper than the list itself.
func (t *Table) LiveDigest(now time.Duration) uint64 {
	// Each member counts with an odd multiple of its hash, another one for each state of it.
	sum := lifeHash(t.self.Name, t.self.Incarnation) * (2*t.self.Version + 1)
	for _, e := range t.order {
		if t.alive(now, e) {
			sum += e.life * (4*e.state.Version + 2*digest.Bit(e.state.Leaving) + 1)
		}
	}
	return sum
}

// Addr returns the peer address of a known instance.
func (t *Table) Addr(name string) (string, bool) {
	e := t.entries[name]
	if e == nil {
		return "", false
	}
	return e.state.PeerAddr, true
}

// Owners returns the names of the members that can own work: those that are not leaving.
func Owners(alive []*peerpb.MemberState) []string {
	var out []string
	for _, s := range alive {
		if !s.Leaving {
			out = append(out, s.Name)
		}
	}
	return out
}
