// Package config keeps the configuration in force on this instance. It adopts the newest
// version that the store or a peer provides and never goes back to an older one.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/platformapi"
	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.config"

func init() { auburnmoor.Register(new(Config)) }

// Config is the module "control.config".
type Config struct {
	// Watchers is the number of instances that watch the store. The others learn of
	// changes from peers.
	Watchers int `toml:"watchers" validate:"min=0,max=9"`
	// WatchWait is how long one watch waits.
	WatchWait settings.Duration `toml:"watch_wait"`
	// PollStore is the mean interval at which an instance without a watch reads the pointer
	// to the current version, in case gossip fails.
	PollStore settings.Duration `toml:"poll_store"`

	self       string
	log        *zap.Logger
	store      objectapi.Store
	link       *peerlink.Link
	members    *members.Members
	newerPeers chan string

	mu             sync.Mutex
	holder         confver.Holder
	pointerVersion uint64
	onChange       []func(*manifest.Index)
	index          atomic.Pointer[manifest.Index]
	version        atomic.Uint64
	fromPeers      atomic.Uint64
	fromStore      atomic.Uint64
	failures       atomic.Uint64
}

// ModuleInfo implements auburnmoor.Module.
func (*Config) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{platformapi.ID, peerlink.ID, members.ID},
		New: func() auburnmoor.Module { return new(Config) },
	}
}

// Defaults of the settings, and timing of the calls to the store.
const (
	defaultWatchers = 2
	// defaultWatchWait plus storeTimeout bounds how long a watch is trusted that reports no
	// change because the store has become silent.
	defaultWatchWait = 2 * time.Second
	defaultPollStore = 60 * time.Second
	storeTimeout     = time.Second
	// contentTimeout bounds the calls that read the parts of one version.
	contentTimeout = 5 * time.Second
	// Backoff after failed calls.
	initialBackoff, maxBackoff = 100 * time.Millisecond, time.Second
)

// Provision implements auburnmoor.Provisioner.
func (c *Config) Provision(ctx *auburnmoor.Context) error {
	p, err := auburnmoor.Require[*platformapi.Platform](ctx, platformapi.ID)
	if err != nil {
		return err
	}
	if c.link, err = auburnmoor.Require[*peerlink.Link](ctx, peerlink.ID); err != nil {
		return err
	}
	if c.members, err = auburnmoor.Require[*members.Members](ctx, members.ID); err != nil {
		return err
	}
	c.setDefaults()
	c.self, c.log, c.store = ctx.Self.Name, ctx.Log, p.Store()
	c.newerPeers = make(chan string, 1)
	c.members.AddToGossip(func(g *peerpb.Gossip) { g.ConfigVersion = c.version.Load() })
	c.link.Handle(c.receive)
	return nil
}

func (c *Config) setDefaults() {
	if c.Watchers == 0 {
		c.Watchers = defaultWatchers
	}
	if c.WatchWait == 0 {
		c.WatchWait = settings.Duration(defaultWatchWait)
	}
	if c.PollStore == 0 {
		c.PollStore = settings.Duration(defaultPollStore)
	}
}

// OnChange registers f to be called with every adopted configuration. It must be called
// before Start.
func (c *Config) OnChange(f func(*manifest.Index)) { c.onChange = append(c.onChange, f) }

// Index returns the configuration in force, or nil if there is none yet.
func (c *Config) Index() *manifest.Index { return c.index.Load() }

// Version returns the version in force; zero means none.
func (c *Config) Version() uint64 { return c.version.Load() }

// Start implements auburnmoor.Starter.
func (c *Config) Start(ctx context.Context) error {
	go c.followStore(ctx)
	go c.requestFromPeers(ctx)
	return nil
}

// notePeerVersion queues a request to a peer that has a newer version.
func (c *Config) notePeerVersion(from string, version uint64) {
	if version <= c.version.Load() {
		return
	}
	select {
	case c.newerPeers <- from:
	default:
	}
}

// requestFromPeers requests content from peers that have a newer version.
func (c *Config) requestFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.newerPeers:
			c.link.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{
				ConfigRequest: &peerpb.ConfigRequest{HaveVersion: c.version.Load()},
			}})
		}
	}
}

func (c *Config) receive(from string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_ConfigRequest:
		c.reply(from, b.ConfigRequest)
	case *peerpb.Envelope_Gossip:
		c.notePeerVersion(from, b.Gossip.ConfigVersion)
	case *peerpb.Envelope_ConfigReply:
		if c.adopt(b.ConfigReply.Version, b.ConfigReply.Content) {
			c.fromPeers.Add(1)
		}
	}
}

func (c *Config) reply(to string, req *peerpb.ConfigRequest) {
	c.mu.Lock()
	version, content := c.holder.Version(), c.holder.Content()
	c.mu.Unlock()
	if version <= req.HaveVersion {
		return
	}
	c.link.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{
		ConfigReply: &peerpb.ConfigReply{Version: version, Content: content},
	}})
}

// adopt puts a newer version into force, announces it to the peers at once and reports
// whether it was newer.
func (c *Config) adopt(version uint64, content []byte) bool {
	m, err := manifest.Parse(content)
	if err != nil {
		c.failures.Add(1)
		c.log.Error("configuration cannot be parsed", zap.Uint64("version", version), zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Adopt(version, content) {
		return false
	}
	index := manifest.NewIndex(m)
	c.index.Store(index)
	c.version.Store(version)
	for _, f := range c.onChange {
		f(index)
	}
	c.log.Info("configuration in force", zap.Uint64("version", version), zap.String("site", m.Site))
	c.members.GossipNow()
	return true
}

// followStore keeps up with the store: by watches if this instance is one of the watchers,
// else by polling. After a failure it does not wait for a change, so that it detects the
// recovery of the store at once.
func (c *Config) followStore(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), 4))
	failures := 0
	for ctx.Err() == nil {
		err := c.readStore(ctx, failures > 0)
		if err == nil {
			failures = 0
			continue
		}
		c.failures.Add(1)
		if failures == 0 {
			c.log.Warn("configuration cannot be read from the store", eventlog.Error(err))
		}
		failures++
		wait.For(ctx, retry.Backoff(r, initialBackoff, maxBackoff, failures))
	}
}

func (c *Config) readStore(ctx context.Context, failed bool) error {
	watcher := c.isWatcher()
	if !watcher && c.version.Load() > 0 {
		wait.For(ctx, c.PollStore.Std()/2+rand.N(c.PollStore.Std()))
	}
	wait := time.Duration(0)
	if watcher && c.version.Load() > 0 && !failed {
		wait = c.WatchWait.Std()
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	obj, err := c.store.Watch(watchCtx, confver.PointerKey, c.pointerVersion, wait)
	if err != nil {
		return err
	}
	c.pointerVersion = obj.Version
	p, err := confver.Decode(obj.Value)
	if err != nil || p.Version <= c.version.Load() {
		return err
	}
	contentCtx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	content, err := confver.ReadContent(contentCtx, c.store, p)
	if err != nil {
		return err
	}
	if c.adopt(p.Version, content) {
		c.fromStore.Add(1)
	}
	return nil
}

func (c *Config) isWatcher() bool {
	names := member.Owners(c.members.View().Alive)
	return len(names) == 0 || place.InTop(c.self, confver.WatchDuty, names, c.Watchers)
}

// Dump implements auburnmoor.Dumper.
func (c *Config) Dump() any {
	return Dump{
		Version: c.version.Load(), Watcher: c.isWatcher(), FromStore: c.fromStore.Load(),
		FromPeers: c.fromPeers.Load(), Failures: c.failures.Load(),
	}
}

// Dump is the state of the module.
type Dump struct {
	Version   uint64 `json:"version"`
	Watcher   bool   `json:"watcher"`
	FromStore uint64 `json:"adopted_from_store"`
	FromPeers uint64 `json:"adopted_from_peers"`
	Failures  uint64 `json:"failures"`
}
