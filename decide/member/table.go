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
	"github.com/auburnmoor/auburnmoor/internal/partial"
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

// entryRequest is a request for the full entries of some members.
type entryRequest struct {
	peer  string
	names []string
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

// maxRequested bounds the entries of one request.
const maxRequested = 64

// requestUnknown prepares a request for members of which only brief entries arrived. The
// sender has sent each full entry as often as it does by itself.
func (t *Table) requestUnknown(from string, states []*peerpb.MemberState) {
	var names []string
	for _, s := range states {
		if s.Brief && t.unknownLife(s) && len(names) < maxRequested {
			names = append(names, s.Name)
		}
	}
	if len(names) > 0 {
		t.unknown = append(t.unknown, entryRequest{from, names})
	}
}

// unknownLife reports whether an entry is of a member, or of a life of it, that is not known.
func (t *Table) unknownLife(s *peerpb.MemberState) bool {
	if s.Name == t.self.Name {
		return false
	}
	e := t.entries[s.Name]
	return e == nil || e.contact || e.state.Incarnation < s.Incarnation
}

func (t *Table) addRequest(from string, names []string) {
	if len(names) > 0 {
		t.requests = append(t.requests, entryRequest{from, names[:min(maxRequested, len(names))]})
	}
}

func (t *Table) knowsAlive(now time.Duration, name string) bool {
	e := t.entries[name]
	return e != nil && t.alive(now, e)
}

// Replies returns replies to members that sent gossip before they were known here, or that asked
// for entries, and requests for entries that are missing here. Without the first an instance that
// starts would know nobody until another member picks it as a gossip target at random.
func (t *Table) Replies(now time.Duration) []Message {
	var out []Message
	for _, name := range t.newSenders {
		out = append(out, Message{To: name, Gossip: &peerpb.Gossip{Members: t.sample(now)}})
	}
	for _, r := range t.requests {
		out = append(out, Message{To: r.peer, Gossip: &peerpb.Gossip{Members: t.fullEntries(now, r.names)}})
	}
	for _, r := range t.unknown {
		out = append(out, Message{To: r.peer, Gossip: &peerpb.Gossip{Members: []*peerpb.MemberState{cloneState(t.self)}, Unknown: r.names}})
	}
	t.newSenders, t.requests, t.unknown = nil, nil, nil
	return out
}

// fullEntries returns self and the full entries of the named live members.
func (t *Table) fullEntries(now time.Duration, names []string) []*peerpb.MemberState {
	out := []*peerpb.MemberState{cloneState(t.self)}
	for _, name := range names {
		if e := t.entries[name]; e != nil && t.alive(now, e) {
			out = append(out, renderFull(now, e))
		}
	}
	return out
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

// Limits on how often changed entries are sent, and in what form.
const (
	// updateWindow is how long a changed entry is sent in full. After that, one in fullEvery
	// messages carries it in full.
	updateWindow = 10 * time.Second
	fullEvery    = 16
	// maxUpdates bounds the updates in one message: 192 full entries are some 17 KB. When 300
	// instances start together, each sends all that it knows within two rounds.
	maxUpdates = 192
	// extraFanout is the number of additional targets while many updates are pending.
	extraFanout = 2
	// maxSends is the number of messages in which an instance sends one update. With three
	// messages a round, the update reaches everyone long before.
	maxSends = 8
)

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
