// Package follow keeps the operators' configuration and the list of backend
// servers up to date. A few instances watch the store that holds them and pass on
// what changes; the others make no calls to it (decide/watch says which).
package follow

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/catalog"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.catalog"

func init() { auburnmoor.Register(new(Follower)) }

// Times of the duties.
const (
	// defaultWait is how long a watch waits if the settings tell no bounds.
	defaultWait = 2 * time.Second
	// shortestWait bounds what a watch costs where bounds hold again at once, and
	// longestWait is the most that a store lets it wait.
	shortestWait, longestWait = 500 * time.Millisecond, 30 * time.Second
	// readAndPass is what reading the whole and passing it on takes: 4 ms and some more
	// at small instances, with a reserve for those that are busy.
	readAndPass = 300 * time.Millisecond
	// watchSlack is what a watch may take beyond its wait; the store answers in
	// about 4 ms, and in 250 ms when it is slow.
	watchSlack = 600 * time.Millisecond
	// spreadFor is how long a change takes from one watching instance to all others:
	// the tree of decide/watch takes milliseconds, gossip and asking about a second.
	spreadFor = time.Second
	// stepFor is the further silence for which the next instance waits before it
	// watches in place of those that are silent.
	stepFor   = time.Second
	inboxSize = 64
	// settleEvery is how often servers are looked through that hold for a while after
	// the store came back from an older copy.
	settleEvery = 100 * time.Millisecond
)

// Follower is the module "control.catalog".
type Follower struct {
	// Wait is how long one watch waits for a change. By default it follows from
	// StableAfter.
	Wait settings.Duration `toml:"wait"`
	// StableAfter is the time after a disturbance of the store or of connections to it
	// from which on all instances must act on what changed before.
	StableAfter settings.Duration `toml:"stable_after"`

	log     *zap.Logger
	now     func() time.Duration
	name    string
	scope   tally.Scope
	catalog catalog.Catalog
	link    *peerlink.Link
	members *members.Members
	policy  watch.Policy

	table   atomic.Pointer[route.Table]
	raw     atomic.Pointer[content]
	servers atomic.Pointer[backends.Snapshot]
	// confirmed is when an instance that watches last heard from the store of what is
	// held here, in nanoseconds since the start; zero before it did.
	confirmed atomic.Int64
	// replacing is the newest configuration that another instance was heard to hold while
	// it was not held here.
	replacing atomic.Pointer[heardConfig]
	holds     knowledge.Policy
	// storeFailing tells that the last call for the list of servers failed.
	storeFailing atomic.Bool
	recovery     recovery
	inbox        *ring.Ring[configFrom]
	newer        *ring.Ring[offer]
	// adopting lets one goroutine at a time decide which configuration is in force.
	adopting sync.Mutex

	// mu guards what follows, which reads of the store and word of peers change.
	mu  sync.Mutex
	set *backends.Set
	bad unreadable
	// configAt is the position of the store up to which the configuration held is the
	// newest, configRead whether any was read or came from a peer.
	configAt   position.Position
	configRead bool
	news       *watch.Confirmations
	direct     map[string]time.Duration
	// era is the era of the store that news and direct belong to.
	era uint64
	// behind is the version of the configuration that the store holds while it is older
	// than the one in force.
	behind uint64
}

// ModuleInfo implements auburnmoor.Module.
func (*Follower) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID, catalog.Port}, OnRequest: true,
		New: func() auburnmoor.Module { return new(Follower) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (f *Follower) Provision(c *auburnmoor.Context) error {
	src, err := auburnmoor.Find[catalog.Source](c)
	if err != nil {
		return err
	}
	if f.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if f.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	f.Wait = settings.Duration(f.wait())
	f.policy = watch.Policy{StaleAfter: f.Wait.Std() + watchSlack + spreadFor, Step: stepFor}
	f.holds = knowledge.Policy{ValidFor: f.policy.StaleAfter}
	f.log, f.now, f.name, f.scope, f.catalog = c.Log, c.Now, c.Self.Name, c.Scope, src.Catalog()
	f.set, f.bad = backends.NewSet(), unreadable{}
	f.news, f.direct = watch.NewConfirmations(), map[string]time.Duration{}
	f.inbox = ring.New[configFrom]("catalog.inbox", inboxSize)
	f.newer = ring.New[offer]("catalog.newer", inboxSize)
	f.members.Carry(f.tell)
	f.link.Handle(f.receive)
	return nil
}

// wait is how long a watch may wait. One that began in a disturbance may hear nothing of
// changes and not be cut; it must have ended, and the whole must be read and passed on,
// by the time from which on bounds hold again.
func (f *Follower) wait() time.Duration {
	if f.Wait > 0 {
		return f.Wait.Std()
	}
	if f.StableAfter == 0 {
		return defaultWait
	}
	return min(longestWait, max(shortestWait, f.StableAfter.Std()-watchSlack-readAndPass))
}

// Start implements auburnmoor.Starter.
func (f *Follower) Start(ctx context.Context) error {
	go f.followConfig(ctx)
	go f.followServers(ctx)
	go f.askPeers(ctx)
	go f.askServers(ctx)
	go wait.Every(ctx, settleEvery, f.settle)
	return nil
}

// Table returns the configuration in force, or nil before any is known.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Servers returns the present list of servers, or nil before any is known.
func (f *Follower) Servers() *backends.Snapshot { return f.servers.Load() }

// Ready reports whether requests can be served.
func (f *Follower) Ready() bool { return f.Table() != nil && f.Servers() != nil }

// Age is the time since the store last confirmed, to an instance that watches it, the
// configuration and the list of servers that are held.
func (f *Follower) Age() time.Duration { return f.now() - time.Duration(f.confirmed.Load()) }

// ConfigState is how far the configuration in force can be relied on.
func (f *Follower) ConfigState() knowledge.State {
	at := time.Duration(f.confirmed.Load())
	return f.holds.State(f.now(), knowledge.Copy{Exists: f.Table() != nil, Superseded: f.replaced(), EverConfirmed: at > 0, ConfirmedAt: at})
}

// replaced reports whether another live instance holds a newer configuration. What none was
// heard to hold for a while is lost with the one that did.
func (f *Follower) replaced() bool {
	newest := f.replacing.Load()
	return newest != nil && f.now()-newest.at <= f.holds.ValidFor && f.configID().older(newest.id)
}

func (f *Follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// changed tells the members whether this instance can serve by now.
func (f *Follower) changed() { f.members.SetServing(f.Ready()) }

// Dump implements auburnmoor.Dumper.
func (f *Follower) Dump() any {
	st, now := f.members.Standing(), f.now()
	d := Dump{Era: f.catalog.Era(), ConfigVersion: f.version(), ConfigState: f.ConfigState(), AgeMS: f.Age().Milliseconds(), Rank: st.Rank, Watchers: st.Watchers, Watching: f.due()}
	if s := f.Servers(); s != nil {
		d.ServersAt, d.Servers = s.At.String(), s.Len()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.news.Newest(now, mostTold) {
		d.Heard = append(d.Heard, DumpHeard{By: h.By, AgeMS: (now - h.At).Milliseconds()})
	}
	d.Kept, d.Doubted = f.set.Retained(), f.set.PresumedStale()
	d.ConfigAt, d.ConfigBehind, d.Unreadable = f.configAt.String(), f.behind, maps.Clone(f.bad)
	return d
}

// Dump is what an instance believes of the store's content, how old it is, and whether
// it watches the store itself.
type Dump struct {
	// Era is the newest era of the store that is known of.
	Era           uint64 `json:"era"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigState is how far the configuration can be relied on.
	ConfigState knowledge.State `json:"config_state"`
	// ConfigAt and ServersAt are positions of the store: era/revision.
	ConfigAt string `json:"config_at"`
	// ConfigBehind is the version that the store holds while it is older than the one in
	// force, zero if it is not.
	ConfigBehind uint64 `json:"config_behind,omitempty"`
	Servers      int    `json:"servers"`
	ServersAt    string `json:"servers_at"`
	// Kept servers are used though the store lost their entries, Doubted ones are listed
	// and not used, both for seconds after the store came back from a copy.
	Kept    int   `json:"kept,omitempty"`
	Doubted int   `json:"doubted,omitempty"`
	AgeMS   int64 `json:"age_ms"`
	// Rank is the place of the instance among those of its data centre, of which the
	// first Watchers watch.
	Rank     int  `json:"rank"`
	Watchers int  `json:"watchers"`
	Watching bool `json:"watching"`
	// Heard are the instances that watch, with the age of the last word from them.
	Heard []DumpHeard `json:"heard,omitempty"`
	// Unreadable are the entries of servers that cannot be read, with the reason.
	Unreadable map[string]string `json:"unreadable,omitempty"`
}

// DumpHeard is when an instance that watches last heard from the store.
type DumpHeard struct {
	By    string `json:"by"`
	AgeMS int64  `json:"age_ms"`
}
