// Package members maintains the view of live instances and backend servers and
// notifies other modules when it changes.
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
	// Seeds maps names to host:port of instances to contact when the instance list
	// cannot be read.
	Seeds map[string]string `toml:"seeds" validate:"dive,hostname_port"`
	// PollList is the mean interval between reads of the instance list.
	PollList settings.Duration `toml:"poll_list"`
	// FewListed restricts the use of the instance list: only instances that watch the store
	// register in it and read it, and others while they know no peer.
	FewListed bool `toml:"few_listed"`
	// Gossip is the interval between gossip rounds.
	Gossip settings.Duration `toml:"gossip"`
	// FailBase is the silence after which a member of a fleet of two is
	// suspected; it grows with the logarithm of the fleet's size.
	FailBase settings.Duration `toml:"fail_base"`
	// FailDistant is the silence after which a member that others monitor is suspected, unless
	// they report it silent before.
	FailDistant settings.Duration `toml:"fail_distant"`
	// MaxFailAfter caps the timeout that grows from FailBase, for large fleets whose
	// instances hear from each other directly; zero means no cap.
	MaxFailAfter settings.Duration `toml:"fail_most"`

	log  *zap.Logger
	now  func() time.Duration
	link *peerlink.Link
	list instances.Lister
	// registrar is nil where the platform itself keeps the list.
	registrar instances.Registrar
	self      instances.Instance
	inbox     *ring.Ring[*peerpb.Envelope]
	gossipNow chan struct{}
	// entryLost signals that this instance's entry in the list may be gone.
	entryLost chan struct{}
	// maybeListed is set once a registration was attempted: the entry may exist.
	maybeListed atomic.Bool

	publishMu   sync.Mutex
	mu          sync.Mutex
	states      map[string]*peerpb.EngineState
	table       *member.Table
	lastList    []instances.Instance
	view        View
	onView      []func(View)
	standing    watch.Standing
	gossipHooks []func(*peerpb.Gossip)
	// neighbours holds the gossip partners of this instance, empty if all instances are.
	neighbours []string
	// viewDigest is the digest of the view that listeners received last, liveDigest that of the
	// table from which it was built; listChanged is set if the instance list changed since.
	viewDigest, liveDigest uint64
	listChanged            bool
	leaving                bool
}

// View is a consistent snapshot of the fleet.
type View struct {
	Alive    []*peerpb.MemberState
	Engines  []Engine
	Services []instances.Instance
}

// Lives reports whether the process with the name and incarnation is a live member.
func (v View) Lives(name string, incarnation uint64) bool {
	return slices.ContainsFunc(v.Alive, func(s *peerpb.MemberState) bool {
		return s.Name == name && s.Incarnation == incarnation
	})
}

// Engine is a model engine as described by the instance list and by the engine's owner.
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

// Default of the list interval and capacity of the inbox.
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
	cfg.MaxFailAfter, cfg.FailDistant = m.MaxFailAfter.Std(), m.FailDistant.Std()
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
	m.inbox = ring.New[*peerpb.Envelope]("members.inbox", inboxSize)
	m.gossipNow, m.entryLost = make(chan struct{}, 1), make(chan struct{}, 1)
	m.registrar, _ = p.(instances.Registrar)
	m.self = instances.Instance{Name: self.Name, Role: instances.RoleEntry, Addr: self.CallerAddr, PeerAddr: self.PeerAddr, DataCentre: self.DataCentre, Region: self.Region}
	m.link.SetResolver(m.resolve)
	m.link.Handle(m.receive)
	return nil
}

// OnView registers f to be called with every changed view. It must be called before Start.
func (m *Members) OnView(f func(View)) { m.onView = append(m.onView, f) }

// AddToGossip registers a function that adds a module's fields to outgoing gossip. It must be
// called before Start; receivers read the fields from the gossip envelope.
func (m *Members) AddToGossip(add func(*peerpb.Gossip)) { m.gossipHooks = append(m.gossipHooks, add) }

// Start implements auburnmoor.Starter.
func (m *Members) Start(ctx context.Context) error {
	m.setContacts(nil)
	go m.run(ctx)
	go m.pollList(ctx)
	if m.registrar != nil {
		go m.keepRegistered(ctx)
	}
	return nil
}

func (m *Members) resolve(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Addr(name)
}

func (m *Members) receive(from string, env *peerpb.Envelope) {
	// A relayed report does not show that its sender lives: a relay that was frozen passes on reports
	// of senders that are gone.
	if !env.GetLoadReport().GetRelayed() {
		m.mu.Lock()
		m.table.Heard(m.now(), from)
		m.mu.Unlock()
	}
	switch {
	case env.GetGossip() != nil, env.GetMemberStates() != nil:
		m.inbox.Offer(env)
	default:
		m.receiveCellReport(from, env)
	}
}

// checkInterval is the interval of checks for silent members, due gossip and a changed view.
// Received gossip changes the view at most once in it: while a large fleet starts, every message
// brings new members.
const checkInterval = 100 * time.Millisecond

func (m *Members) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	published := false
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-m.inbox.C():
			changed := m.merge(env)
			m.sendReplies()
			if changed && !published {
				m.publish()
				published = true
			}
		case <-t.C:
			published = false
			m.reportSilence()
			m.sendCellDigests()
			m.gossip(false)
			m.publish()
		case <-m.gossipNow:
			m.gossip(true)
		}
	}
}

func (m *Members) merge(env *peerpb.Envelope) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := env.GetGossip(); g != nil {
		return m.table.Receive(m.now(), g)
	}
	return m.table.ReceiveMore(m.now(), env.From, env.GetMemberStates().Members)
}

func (m *Members) gossip(immediate bool) {
	m.mu.Lock()
	msgs := m.table.Tick(m.now())
	leaving := m.leaving
	if immediate && !leaving {
		msgs = append(msgs, m.table.Spread(m.now())...)
	}
	m.mu.Unlock()
	if immediate && leaving {
		m.announceLeaving()
	}
	m.send(msgs)
}

// sendReplies sends what received gossip asks for.
func (m *Members) sendReplies() {
	m.mu.Lock()
	msgs := m.table.Replies(m.now())
	m.mu.Unlock()
	m.send(msgs)
}

// SetNeighbours sets the gossip partners of this instance; the zero value means all.
func (m *Members) SetNeighbours(n member.Neighbours) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetNeighbours(n)
	m.neighbours = n.All()
}

// Neighbours returns the names of the live gossip partners of this instance.
func (m *Members) Neighbours() []string {
	m.mu.Lock()
	partners := m.neighbours
	m.mu.Unlock()
	if len(partners) == 0 {
		return m.Peers()
	}
	return slices.DeleteFunc(m.Peers(), func(name string) bool { return !slices.Contains(partners, name) })
}

// GossipNow triggers gossip without waiting for the next round.
func (m *Members) GossipNow() {
	select {
	case m.gossipNow <- struct{}{}:
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
	m.GossipNow()
}

// setContacts applies a new instance list. A nil list keeps the last one in force.
func (m *Members) setContacts(list []instances.Instance) {
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
		m.lastList, m.listChanged = list, true
	}
}

// publish rebuilds the view and notifies the listeners if it changed.
func (m *Members) publish() {
	// Listeners must receive views in the order in which they were built.
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	live := m.table.LiveDigest(m.now())
	if live == m.liveDigest && !m.listChanged {
		m.mu.Unlock()
		return
	}
	m.liveDigest, m.listChanged = live, false
	v := m.buildView()
	digest := digestOf(v)
	changed := digest != m.viewDigest
	m.view, m.viewDigest = v, digest
	if changed {
		m.standing = m.computeStanding(v.Alive)
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

// computeStanding computes this instance's rank among the instances of its data centre.
func (m *Members) computeStanding(alive []*peerpb.MemberState) watch.Standing {
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

// Standing returns the rank of this instance among those of its data centre.
func (m *Members) Standing() watch.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

func (m *Members) buildView() View {
	v := View{Alive: m.table.Alive(m.now())}
	engines := map[string]Engine{}
	for _, in := range m.lastList {
		switch in.Role {
		case instances.RoleEngine:
			engines[in.Name] = Engine{Name: in.Name, Addr: in.Addr, DataCentre: in.DataCentre, Fencing: in.Fencing, Leaving: in.Leaving}
		case instances.RoleService:
			v.Services = append(v.Services, in)
		}
	}
	// The last state of an engine stays valid while it has no live owner, so that a
	// change of owner does not remove the engine from the view.
	for _, s := range v.Alive {
		for _, es := range s.Engines {
			m.states[es.Name] = es
		}
	}
	for _, es := range m.states {
		addEngineState(engines, es, m.lastList == nil)
	}
	for _, e := range engines {
		v.Engines = append(v.Engines, e)
	}
	slices.SortFunc(v.Engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// addEngineState merges an engine's state as its owner reports it. Without an instance list
// (the platform was down since this process started) the owners are the only source.
func addEngineState(engines map[string]Engine, es *peerpb.EngineState, listUnknown bool) {
	e, listed := engines[es.Name]
	if !listed && !listUnknown {
		return
	}
	if !listed {
		e = Engine{Name: es.Name, Addr: es.Addr, DataCentre: es.DataCentre, Fencing: es.Fencing}
	}
	e.Leaving = e.Leaving || es.Leaving
	e.State = es
	engines[es.Name] = e
}

// View returns the current view.
func (m *Members) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Roster returns what is known of the size of the fleet, without the instances that left more
// than leftFor ago.
func (m *Members) Roster(leftFor time.Duration) member.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Roster(m.now(), leftFor)
}

// Peers returns the names of all live instances except this one.
func (m *Members) Peers() []string {
	var out []string
	for _, s := range m.View().Alive {
		if s.Name != m.self.Name {
			out = append(out, s.Name)
		}
	}
	return out
}

// HeardDirectly returns when the last message of each of the named members itself arrived, zero for
// those from which none did.
func (m *Members) HeardDirectly(names []string) []time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]time.Duration, len(names))
	for i, name := range names {
		out[i] = m.table.HeardDirectly(name)
	}
	return out
}

// Leaving reports whether this instance has announced its departure.
func (m *Members) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}
