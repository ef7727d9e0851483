// Package follow keeps the operators' configuration and the list of backend servers up to
// date. A few instances, selected by decide/watch, watch the store that holds them and
// forward changes to the others, which make no calls to it.
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
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/catalog"
	"github.com/auburnmoor/auburnmoor/ring"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.catalog"

func init() { auburnmoor.Register(new(Follower)) }

// Timing of watches and of the propagation of changes.
const (
	// defaultWait is how long a watch waits if neither Wait nor StableAfter is set.
	defaultWait = 2 * time.Second
	// minWait bounds the rate of calls if StableAfter is short, and maxWait is the longest
	// wait that a store allows.
	minWait, maxWait = 500 * time.Millisecond, 30 * time.Second
	// maxEvacuationWait is the longest wait where data centres can be evacuated. An evacuation must be in
	// force at all instances within five seconds, and instances that take over from watching ones begin
	// watchSlack and propagationTime after this wait.
	maxEvacuationWait = 3 * time.Second
	// resyncTime bounds reading the full state and sending it to peers: a little over 4 ms
	// on small instances, with a reserve for busy ones.
	resyncTime = 300 * time.Millisecond
	// watchSlack is what a watch may take beyond its wait. The store answers in about 4 ms,
	// and in 250 ms when it is slow.
	watchSlack = 600 * time.Millisecond
	// propagationTime is how long a change takes from one watching instance to all others:
	// milliseconds along the tree of decide/watch, about a second by gossip and requests.
	propagationTime = time.Second
	// takeoverStep is the further silence after which the next instance in rank watches in
	// place of those that are silent.
	takeoverStep = time.Second
	inboxSize    = 64
	// graceCheckInterval is how often the grace periods of servers are checked while there are
	// any: they begin when the store is restored from an older copy.
	graceCheckInterval = 100 * time.Millisecond
)

// Follower is the module "control.catalog".
type Follower struct {
	// Wait is how long one watch waits for a change. By default it is derived from
	// StableAfter.
	Wait settings.Duration `toml:"wait"`
	// StableAfter is the time after the end of a disturbance of the store, or of connections
	// to it, within which all instances must apply the changes made before.
	StableAfter settings.Duration `toml:"stable_after"`
	// Evacuations says that operators may evacuate data centres, which costs one more watch.
	Evacuations bool `toml:"evacuations"`

	log         *zap.Logger
	now         func() time.Duration
	name        string
	scope       tally.Scope
	catalog     catalog.Catalog
	link        *peerlink.Link
	members     *members.Members
	watchPolicy watch.Policy

	table   atomic.Pointer[route.Table]
	encoded atomic.Pointer[content]
	servers atomic.Pointer[backends.Snapshot]
	// evacuationsKnown is set once a state of the evacuations is known.
	evacuationsKnown atomic.Bool
	// confirmedAt is when the store last confirmed the local content to a watching instance, configConfirmedAt
	// when it confirmed the configuration, in nanoseconds since the start; zero before the first time.
	confirmedAt, configConfirmedAt atomic.Int64
	// newerConfig is the newest configuration that another instance announced while this
	// instance did not have it.
	newerConfig   atomic.Pointer[announcedConfig]
	confirmPolicy knowledge.Policy
	// serversFailing is set while the last call for the list of servers failed.
	serversFailing atomic.Bool
	recovery       recovery
	inbox          *ring.Ring[peerConfig]
	offers         *ring.Ring[offer]
	// requests are the last ones to peers; they belong to the loop that syncs with peers.
	requests struct{ config, servers lastRequest }
	// graceBegan signals that grace periods of servers may have begun.
	graceBegan chan struct{}
	// becameCold signals that a server became cold.
	becameCold chan struct{}
	// verifyDue signals that the list of servers must be verified.
	verifyDue chan struct{}
	// adoptMu lets one goroutine at a time decide which configuration is in force.
	adoptMu sync.Mutex

	// mu guards the fields below, which change with reads of the store and peer messages.
	mu                sync.Mutex
	serverSet         *backends.Set
	unreadableServers unreadable
	verification      verification
	lag               lag
	// configAt is the store position up to which the local configuration is the newest, and
	// configKnown whether one was read from the store or received from a peer.
	configAt      position.Position
	configKnown   bool
	confirmations *watch.Confirmations
	// evacuations is the newest known state, nil if there is none yet.
	evacuations *catalog.Evacuations
	// evacuatedSince is when the instance first knew of each evacuation in force.
	evacuatedSince map[string]time.Duration
	answeredAt     watch.Times
	// era is the store era that confirmations and answeredAt belong to.
	era uint64
	// olderStoreVersion is the version of the configuration in the store while it is older
	// than the one in force, else zero.
	olderStoreVersion uint64
	// coldForwarded are the ends of cold times as forwarded last, by server, and coldLogged the
	// servers that are logged as cold.
	coldForwarded map[string]time.Duration
	coldLogged    map[string]backends.ColdServer
}

// ModuleInfo implements auburnmoor.Module.
func (*Follower) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID, catalog.Port}, OptIn: true,
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
	f.Wait = settings.Duration(f.watchWait())
	f.watchPolicy = watch.Policy{StaleAfter: f.Wait.Std() + watchSlack + propagationTime, Step: takeoverStep}
	f.confirmPolicy = knowledge.Policy{ValidFor: f.watchPolicy.StaleAfter}
	f.log, f.now, f.name, f.scope, f.catalog = c.Log, c.Now, c.Self.Name, c.Scope, src.Catalog()
	f.serverSet, f.unreadableServers = backends.NewSet(), unreadable{}
	f.serverSet.SetClock(time.Now().Add(-c.Now()))
	f.coldForwarded, f.coldLogged = map[string]time.Duration{}, map[string]backends.ColdServer{}
	f.confirmations = watch.NewConfirmations()
	f.inbox = ring.New[peerConfig]("catalog.inbox", inboxSize)
	f.graceBegan, f.becameCold, f.verifyDue = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	f.offers = ring.New[offer]("catalog.newer", inboxSize)
	f.members.AddToGossip(f.addToGossip)
	f.link.Handle(f.receive)
	return nil
}

// watchWait is how long a watch may wait. One that began in a disturbance may miss changes
// without failing, so it must have ended, and the full state must have been read and sent
// to peers, within StableAfter.
func (f *Follower) watchWait() time.Duration {
	if f.Wait > 0 {
		return f.Wait.Std()
	}
	if f.StableAfter == 0 {
		return defaultWait
	}
	longest := maxWait
	if f.Evacuations {
		longest = maxEvacuationWait
	}
	return min(longest, max(minWait, f.StableAfter.Std()-watchSlack-resyncTime))
}

// Start implements auburnmoor.Starter.
func (f *Follower) Start(ctx context.Context) error {
	go f.followConfig(ctx)
	go f.followServers(ctx)
	if f.Evacuations {
		go f.followEvacuations(ctx)
	}
	go f.syncWithPeers(ctx)
	go f.bootstrapServers(ctx)
	go f.endGracePeriods(ctx)
	go f.verifyServers(ctx)
	go f.reportColdServers(ctx)
	go f.repeatColdTimes(ctx)
	return nil
}

// wake sends a signal, unless one waits already.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Table returns the configuration in force, or nil if there is none yet.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Servers returns the current list of servers, or nil if there is none yet.
func (f *Follower) Servers() *backends.Snapshot { return f.servers.Load() }

// Ready reports whether requests can be served. Where data centres can be evacuated, the evacuations in
// force must be known too: an instance that starts would otherwise send requests to their servers.
func (f *Follower) Ready() bool {
	return f.Table() != nil && f.Servers() != nil && (!f.Evacuations || f.evacuationsKnown.Load())
}

// ConfirmationAge is the time since the store last confirmed the local configuration and list of
// servers to a watching instance.
func (f *Follower) ConfirmationAge() time.Duration {
	return f.now() - time.Duration(f.confirmedAt.Load())
}

// ConfigAge is the time since the store last confirmed the local configuration to a watching instance.
func (f *Follower) ConfigAge() time.Duration {
	return f.now() - time.Duration(f.configConfirmedAt.Load())
}

// ConfigState reports whether the configuration in force is confirmed as the newest.
func (f *Follower) ConfigState() knowledge.State {
	at := time.Duration(f.configConfirmedAt.Load())
	return f.confirmPolicy.State(f.now(), knowledge.Copy{Exists: f.Table() != nil, Superseded: f.superseded(), EverConfirmed: at > 0, ConfirmedAt: at})
}

// superseded reports whether another live instance has a newer configuration. One that was
// not announced for a while counts as lost with the instance that had it.
func (f *Follower) superseded() bool {
	newest := f.newerConfig.Load()
	return newest != nil && f.now()-newest.at <= f.confirmPolicy.ValidFor && f.configID().supersededBy(newest.id)
}

func (f *Follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// updateServing reports to control/members whether this instance can serve.
func (f *Follower) updateServing() { f.members.SetServing(f.Ready()) }

// Dump implements auburnmoor.Dumper.
func (f *Follower) Dump() any {
	st, now := f.members.Standing(), f.now()
	d := Dump{Era: f.catalog.Era(), ConfigVersion: f.version(), ConfigState: f.ConfigState(), AgeMS: f.ConfirmationAge().Milliseconds(), Rank: st.Rank, Watchers: st.Watchers, Watching: f.hasWatchDuty(watch.Config) || f.hasWatchDuty(watch.Servers)}
	if s := f.Servers(); s != nil {
		d.ServersAt, d.ServersDigest, d.Servers = s.At.String(), formatDigest(s.Digest), s.Len()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.confirmations.Newest(now, maxConfirmations) {
		d.Confirmations = append(d.Confirmations, DumpConfirmation{By: h.By, AgeMS: (now - min(h.At[watch.Config], h.At[watch.Servers])).Milliseconds()})
	}
	d.Evacuated = f.dumpEvacuated(now)
	d.Cold = f.dumpCold(now)
	d.Contradicted = f.verification.contradicted
	d.Retained, d.PresumedStale = f.serverSet.Retained(), f.serverSet.PresumedStale()
	d.ConfigAt, d.OlderStoreVersion, d.Unreadable = f.configAt.String(), f.olderStoreVersion, maps.Clone(f.unreadableServers)
	return d
}

// Dump is the state of the module: the local content, its age, and whether this instance
// watches the store.
type Dump struct {
	// Era is the newest known era of the store.
	Era           uint64 `json:"era"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigState tells whether the configuration is confirmed as the newest.
	ConfigState knowledge.State `json:"config_state"`
	// ConfigAt and ServersAt are store positions: era/revision.
	ConfigAt string `json:"config_at"`
	// OlderStoreVersion is the configuration version in the store if it is older than the
	// one in force, else zero.
	OlderStoreVersion uint64 `json:"config_behind,omitempty"`
	Servers           int    `json:"servers"`
	ServersAt         string `json:"servers_at"`
	// ServersDigest identifies the listed entries: instances with one ServersAt have one digest.
	ServersDigest string `json:"servers_digest"`
	// Contradicted is set while the list of servers is to be verified because another instance holds another
	// one at the same position.
	Contradicted bool `json:"servers_contradicted,omitempty"`
	// Retained servers are used though the store lost their entries, PresumedStale ones are
	// listed but not used, both for seconds after the store was restored from an older copy.
	Retained      int   `json:"kept,omitempty"`
	PresumedStale int   `json:"doubted,omitempty"`
	AgeMS         int64 `json:"age_ms"`
	// Evacuated are the data centres whose servers get no new requests.
	Evacuated []DumpEvacuated `json:"evacuated,omitempty"`
	// Rank is the position of the instance among those of its data centre, of which the
	// first Watchers watch the store.
	Rank     int  `json:"rank"`
	Watchers int  `json:"watchers"`
	Watching bool `json:"watching"`
	// Confirmations lists watching instances with the age of the store's last answer to them.
	Confirmations []DumpConfirmation `json:"heard,omitempty"`
	// Cold lists the cold servers of services that limit the requests to them.
	Cold []DumpCold `json:"cold,omitempty"`
	// Unreadable maps server entries that cannot be read to the reason.
	Unreadable map[string]string `json:"unreadable,omitempty"`
}

// DumpCold is a cold server.
type DumpCold struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// LeftMS is the time for which it remains cold.
	LeftMS int64 `json:"left_ms"`
}

// DumpConfirmation is how long ago the store last answered a watching instance.
type DumpConfirmation struct {
	By    string `json:"by"`
	AgeMS int64  `json:"age_ms"`
}
