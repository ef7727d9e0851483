// Package members keeps the list of live instances and of backend servers and
// tells other modules when it changes.
package members

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/instances"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.members"

func init() { auburnmoor.Register(new(Members)) }

// Members is the module "control.members".
type Members struct {
	// Seeds are name=host:port of instances to try when the instance list
	// cannot be read.
	Seeds map[string]string `toml:"seeds" validate:"dive,hostname_port"`
	// PollList is the period of reading the instance list.
	PollList settings.Duration `toml:"poll_list"`
	// FewListed leaves the list to a few: the instances that watch the store put
	// themselves into it and read it, the others only while they know no peer.
	FewListed bool `toml:"few_listed"`
	// Gossip is the period of gossip.
	Gossip settings.Duration `toml:"gossip"`
	// FailBase is the silence after which a member of a fleet of two is
	// suspected; it grows with the logarithm of the fleet's size.
	FailBase settings.Duration `toml:"fail_base"`
	// FailDistant is the silence after which a member of another cell is suspected, if
	// its own does not tell before that it fell silent.
	FailDistant settings.Duration `toml:"fail_distant"`
	// FailMost bounds it in large fleets, where instances hear from each other
	// directly; zero does not.
	FailMost settings.Duration `toml:"fail_most"`

	log  *zap.Logger
	now  func() time.Duration
	link *peerlink.Link
	list instances.Lister
	// registrar is nil where the platform itself keeps the list.
	registrar instances.Registrar
	self      instances.Instance
	inbox     *ring.Ring[*peerpb.Gossip]
	spread    chan struct{}
	// lost tells that the entry of this instance may be gone.
	lost chan struct{}
	// entered tells that this instance may be in the list.
	entered atomic.Bool

	publishing sync.Mutex
	mu         sync.Mutex
	states     map[string]*peerpb.EngineState
	table      *member.Table
	last       []instances.Instance
	view       View
	onView     []func(View)
	standing   watch.Standing
	carry      []func(*peerpb.Gossip)
	// neighbours are those with whom this instance gossips, none if it does with all.
	neighbours map[string]bool
	// key is the digest of the view that the listeners were told last.
	key     uint64
	leaving bool
}

// View is a consistent picture of the fleet.
type View struct {
	Alive    []*peerpb.MemberState
	Engines  []Engine
	Services []instances.Instance
}

// Lives reports whether a process of that name and incarnation is a member.
func (v View) Lives(name string, incarnation uint64) bool {
	return slices.ContainsFunc(v.Alive, func(s *peerpb.MemberState) bool {
		return s.Name == name && s.Incarnation == incarnation
	})
}

// Engine is a model engine as the list and its owner describe it.
type Engine struct {
	Name, Addr, DataCentre string
	Fencing, Leaving       bool
	State                  *peerpb.EngineState
}

// ModuleInfo implements auburnmoor.Module.
func (*Members) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{peerlink.ID, instances.Port},
		New: func() auburnmoor.Module { return new(Members) },
	}
}

// Defaults of the settings and the bound of the inbox.
const (
	defaultPollList = time.Second
	inboxSize       = 1024
)

// Provision implements auburnmoor.Provisioner.
func (m *Members) Provision(c *auburnmoor.Context) error {
	p, err := auburnmoor.Find[instances.Source](c)
	if err != nil {
		return err
	}
	if m.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	cfg := member.DefaultConfig()
	if m.Gossip > 0 {
		cfg.Period = m.Gossip.Std()
	}
	if m.FailBase > 0 {
		cfg.FailBase = m.FailBase.Std()
	}
	cfg.MaxFailAfter, cfg.FailDistant = m.FailMost.Std(), m.FailDistant.Std()
	if m.PollList == 0 {
		m.PollList = settings.Duration(defaultPollList)
	}
	self := &peerpb.MemberState{
		Name: c.Self.Name, Incarnation: c.Self.Incarnation, DataCentre: c.Self.DataCentre, Region: c.Self.Region,
		PeerAddr: c.Self.PeerAddr, CallerAddr: c.Self.CallerAddr, Capacity: c.Self.Capacity,
	}
	m.states = map[string]*peerpb.EngineState{}
	m.log, m.now, m.list = c.Log, c.Now, p.Lister()
	m.table = member.NewTable(self, cfg, rand.New(rand.NewPCG(c.Seed, 1)))
	m.inbox = ring.New[*peerpb.Gossip]("members.inbox", inboxSize)
	m.spread, m.lost = make(chan struct{}, 1), make(chan struct{}, 1)
	m.registrar, _ = p.(instances.Registrar)
	m.self = instances.Instance{Name: self.Name, Role: instances.RoleEntry, Addr: self.CallerAddr, PeerAddr: self.PeerAddr, DataCentre: self.DataCentre, Region: self.Region}
	m.link.SetResolver(m.resolve)
	m.link.Handle(m.receive)
	return nil
}

// OnView calls f with every new view. It must be called before Start.
func (m *Members) OnView(f func(View)) { m.onView = append(m.onView, f) }

// Carry has gossip carry what a module adds to it. It must be called before Start;
// what others added comes with their envelopes.
func (m *Members) Carry(add func(*peerpb.Gossip)) { m.carry = append(m.carry, add) }

// Start implements auburnmoor.Starter.
func (m *Members) Start(ctx context.Context) error {
	m.contacts(nil)
	go m.run(ctx)
	go m.pollList(ctx)
	if m.registrar != nil {
		go m.keepListed(ctx)
	}
	return nil
}

func (m *Members) resolve(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Addr(name)
}

func (m *Members) receive(from string, env *peerpb.Envelope) {
	m.mu.Lock()
	m.table.Heard(m.now(), from)
	m.mu.Unlock()
	switch {
	case env.GetGossip() != nil:
		m.inbox.Offer(env.GetGossip())
	case env.GetMemberSilent() != nil:
		m.mu.Lock()
		m.table.RecordSilence(m.now(), from, env.GetMemberSilent())
		m.mu.Unlock()
	}
}

// tellOfSilence tells the other cells of mates that fell silent.
func (m *Members) tellOfSilence() {
	m.mu.Lock()
	silent := m.table.NewlySilent(m.now())
	m.mu.Unlock()
	for _, s := range silent {
		for _, peer := range m.Peers() {
			m.link.Tell(peer, &peerpb.Envelope{Body: &peerpb.Envelope_MemberSilent{MemberSilent: s}})
		}
	}
}

// checkEvery is how often silence is looked for and gossip is considered.
const checkEvery = 100 * time.Millisecond

func (m *Members) run(ctx context.Context) {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-m.inbox.C():
			if m.merge(g) {
				m.answer()
				m.publish()
			}
		case <-t.C:
			m.tellOfSilence()
			m.gossip(false)
			m.publish()
		case <-m.spread:
			m.gossip(true)
		}
	}
}

func (m *Members) merge(g *peerpb.Gossip) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Receive(m.now(), g)
}

func (m *Members) gossip(atOnce bool) {
	m.mu.Lock()
	msgs := m.table.Tick(m.now())
	leaving := m.leaving
	if atOnce && !leaving {
		msgs = append(msgs, m.table.Spread(m.now())...)
	}
	m.mu.Unlock()
	if atOnce && leaving {
		m.announce()
	}
	m.send(msgs)
}

// answer gossips with members that spoke to this one before it knew them.
func (m *Members) answer() {
	m.mu.Lock()
	msgs := m.table.Replies(m.now())
	m.mu.Unlock()
	m.send(msgs)
}

// send gossips. Instances that are no neighbours get what fits into a datagram: when all of
// a large fleet start at once, each would otherwise open a connection to most others
// before it knows its cell, and the memory of that stays taken.
func (m *Members) send(msgs []member.Message) {
	m.mu.Lock()
	near := m.neighbours
	known := len(m.view.Alive)
	m.mu.Unlock()
	for _, msg := range msgs {
		for _, add := range m.carry {
			add(msg.Gossip)
		}
		env := &peerpb.Envelope{Body: &peerpb.Envelope_Gossip{Gossip: msg.Gossip}}
		if near[msg.To] || len(near) == 0 && known <= mostConnected {
			m.link.Send(msg.To, env)
			continue
		}
		for n := len(msg.Gossip.Members); n > 0 && !m.link.Fits(env); n-- {
			msg.Gossip.Members = msg.Gossip.Members[:n-1]
		}
		m.link.Tell(msg.To, env)
	}
}

// mostConnected is the size of a fleet up to which gossip uses connections while the
// neighbours are not known: one cell.
const mostConnected = 56

// announce tells all members that this instance leaves. A datagram may be lost: it is told
// to the neighbours over their connections as well, and gossip tells it to the others.
func (m *Members) announce() {
	m.mu.Lock()
	msgs := m.table.Announce(m.now())
	near := m.neighbours
	m.mu.Unlock()
	for _, msg := range msgs {
		env := &peerpb.Envelope{Body: &peerpb.Envelope_Gossip{Gossip: msg.Gossip}}
		if len(near) == 0 || near[msg.To] {
			m.link.Send(msg.To, env)
			continue
		}
		m.link.Tell(msg.To, env)
	}
}

// SetNeighbours tells with whom this instance gossips; the zero value is all.
func (m *Members) SetNeighbours(n member.Neighbours) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetNeighbours(n)
	m.neighbours = map[string]bool{}
	for _, name := range n.All() {
		m.neighbours[name] = true
	}
}

// Neighbours returns the names of the live instances with which this one gossips.
func (m *Members) Neighbours() []string {
	m.mu.Lock()
	near := m.neighbours
	m.mu.Unlock()
	if len(near) == 0 {
		return m.Peers()
	}
	return slices.DeleteFunc(m.Peers(), func(name string) bool { return !near[name] })
}

// SpreadNow gossips without waiting for the next period.
func (m *Members) SpreadNow() {
	select {
	case m.spread <- struct{}{}:
	default:
	}
}

// SetEngines announces the state of the engines that this instance owns.
func (m *Members) SetEngines(engines []*peerpb.EngineState) {
	m.mu.Lock()
	m.table.SetEngines(engines)
	m.mu.Unlock()
	m.publish()
}

// SetServing announces whether this instance can answer requests.
func (m *Members) SetServing(serving bool) {
	m.mu.Lock()
	m.table.SetServing(serving)
	m.mu.Unlock()
	m.publish()
}

// Leave announces that this instance is shutting down.
func (m *Members) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.table.SetLeaving()
	m.mu.Unlock()
	m.SpreadNow()
}

// contacts takes over a new list. The last one stays in force while the list
// cannot be read.
func (m *Members) contacts(list []instances.Instance) {
	var cs []member.Contact
	for name, addr := range m.Seeds {
		cs = append(cs, member.Contact{Name: name, PeerAddr: addr})
	}
	for _, in := range list {
		if in.Role == instances.RoleEntry {
			cs = append(cs, member.Contact{Name: in.Name, PeerAddr: in.PeerAddr})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetContacts(cs)
	if list != nil {
		m.last = list
	}
}

// publish computes the view and tells the listeners when it changed.
func (m *Members) publish() {
	// Listeners must see views in the order in which they were built.
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	v := m.build()
	key := viewKey(v)
	changed := key != m.key
	m.view, m.key = v, key
	if changed {
		m.standing = m.stand(v.Alive)
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	m.log.Info("view changed", zap.Int("instances", len(v.Alive)), zap.Int("engines", len(v.Engines)), zap.Int("services", len(v.Services)))
	for _, f := range m.onView {
		f(v)
	}
}

// stand finds this instance's place among those of its data centre.
func (m *Members) stand(alive []*peerpb.MemberState) watch.Standing {
	var self watch.Member
	others := make([]watch.Member, 0, len(alive))
	for _, s := range alive {
		w := watch.Member{Name: s.Name, DataCentre: s.DataCentre, Leaving: s.Leaving, Capacity: s.Capacity}
		if s.Name == m.self.Name {
			self = w
			continue
		}
		others = append(others, w)
	}
	return watch.StandingOf(self, others)
}

// Standing is the place of this instance among those of its data centre.
func (m *Members) Standing() watch.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

func (m *Members) build() View {
	v := View{Alive: m.table.Alive(m.now())}
	engines := map[string]Engine{}
	for _, in := range m.last {
		switch in.Role {
		case instances.RoleEngine:
			engines[in.Name] = Engine{Name: in.Name, Addr: in.Addr, DataCentre: in.DataCentre, Fencing: in.Fencing, Leaving: in.Leaving}
		case instances.RoleService:
			v.Services = append(v.Services, in)
		}
	}
	// The last word on an engine stays in force while it has no live owner, so
	// that a change of owner does not make the engine vanish.
	for _, s := range v.Alive {
		for _, es := range s.Engines {
			m.states[es.Name] = es
		}
	}
	for _, es := range m.states {
		addEngineState(engines, es, m.last == nil)
	}
	for _, e := range engines {
		v.Engines = append(v.Engines, e)
	}
	slices.SortFunc(v.Engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// addEngineState merges what an owner says. Without an instance list (the
// platform was down since this process began) the owners' word is all there is.
func addEngineState(engines map[string]Engine, es *peerpb.EngineState, noList bool) {
	e, listed := engines[es.Name]
	if !listed && !noList {
		return
	}
	if !listed {
		e = Engine{Name: es.Name, Addr: es.Addr, DataCentre: es.DataCentre, Fencing: es.Fencing}
	}
	e.Leaving = e.Leaving || es.Leaving
	e.State = es
	engines[es.Name] = e
}

// View returns the present view.
func (m *Members) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Peers returns the names of the live instances but this one.
func (m *Members) Peers() []string {
	var out []string
	for _, s := range m.View().Alive {
		if s.Name != m.self.Name {
			out = append(out, s.Name)
		}
	}
	return out
}

// Leaving reports whether this instance has announced its departure.
func (m *Members) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}
