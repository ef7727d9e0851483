// Package config keeps the configuration in force on this instance. It comes
// from the store or from peers, whichever is newer, and is never replaced by
// an older version.
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
	// Watchers is the number of instances that hold a watch on the store; the
	// others hear of a change from peers.
	Watchers int `toml:"watchers" validate:"min=0,max=9"`
	// WatchWait is how long one watch waits.
	WatchWait settings.Duration `toml:"watch_wait"`
	// PollStore is the period at which an instance without a watch reads the
	// pointer, in case gossip fails.
	PollStore settings.Duration `toml:"poll_store"`

	self  string
	log   *zap.Logger
	store objectapi.Store
	link  *peerlink.Link
	mem   *members.Members
	news  chan string

	mu       sync.Mutex
	holder   confver.Holder
	object   uint64
	onChange []func(*manifest.Index)
	index    atomic.Pointer[manifest.Index]
	version  atomic.Uint64
	fromPeer atomic.Uint64
	fromAPI  atomic.Uint64
	failures atomic.Uint64
}

// ModuleInfo implements auburnmoor.Module.
func (*Config) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{platformapi.ID, peerlink.ID, members.ID},
		New: func() auburnmoor.Module { return new(Config) },
	}
}

// Defaults of the settings.
const (
	defaultWatchers = 2
	// defaultWatchWait bounds with storeTimeout how long a watch that hears of no change,
	// since the store fell silent meanwhile, is believed.
	defaultWatchWait = 2 * time.Second
	defaultPollStore = 60 * time.Second
	storeTimeout     = time.Second
	// contentTimeout bounds the calls for the parts of one content.
	contentTimeout = 5 * time.Second
	// Pauses after failed calls.
	firstPause, longestPause = 100 * time.Millisecond, time.Second
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
	if c.mem, err = auburnmoor.Require[*members.Members](ctx, members.ID); err != nil {
		return err
	}
	c.defaults()
	c.self, c.log, c.store = ctx.Self.Name, ctx.Log, p.Store()
	c.news = make(chan string, 1)
	c.mem.Carry(func(g *peerpb.Gossip) { g.ConfigVersion = c.version.Load() })
	c.link.Handle(c.receive)
	return nil
}

func (c *Config) defaults() {
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

// OnChange calls f with every adopted configuration. It must be called before
// Start.
func (c *Config) OnChange(f func(*manifest.Index)) { c.onChange = append(c.onChange, f) }

// Index returns the configuration in force, or nil before the first.
func (c *Config) Index() *manifest.Index { return c.index.Load() }

// Version returns the version in force; zero means none.
func (c *Config) Version() uint64 { return c.version.Load() }

// Start implements auburnmoor.Starter.
func (c *Config) Start(ctx context.Context) error {
	go c.follow(ctx)
	go c.askPeers(ctx)
	return nil
}

// heard notes a peer that has a newer version.
func (c *Config) heard(from string, version uint64) {
	if version <= c.version.Load() {
		return
	}
	select {
	case c.news <- from:
	default:
	}
}

// askPeers requests content from peers that have a newer version.
func (c *Config) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.news:
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
		c.heard(from, b.Gossip.ConfigVersion)
	case *peerpb.Envelope_ConfigReply:
		if c.adopt(b.ConfigReply.Version, b.ConfigReply.Content) {
			c.fromPeer.Add(1)
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

// adopt puts a newer version into force and tells the peers at once.
func (c *Config) adopt(version uint64, content []byte) bool {
	m, err := manifest.Parse(content)
	if err != nil {
		c.failures.Add(1)
		c.log.Error("configuration does not parse", zap.Uint64("version", version), zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Adopt(version, content) {
		return false
	}
	ix := manifest.NewIndex(m)
	c.index.Store(ix)
	c.version.Store(version)
	for _, f := range c.onChange {
		f(ix)
	}
	c.log.Info("configuration in force", zap.Uint64("version", version), zap.String("site", m.Site))
	c.mem.SpreadNow()
	return true
}

// follow reads the store: by a watch if this instance is one of the watchers,
// else rarely. A store that failed is asked without waiting for a change, so that its
// return is noticed at once.
func (c *Config) follow(ctx context.Context) {
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
		wait.For(ctx, retry.Backoff(r, firstPause, longestPause, failures))
	}
}

func (c *Config) readStore(ctx context.Context, failed bool) error {
	watcher := c.watcher()
	if !watcher && c.version.Load() > 0 {
		wait.For(ctx, c.PollStore.Std()/2+rand.N(c.PollStore.Std()))
	}
	wait := time.Duration(0)
	if watcher && c.version.Load() > 0 && !failed {
		wait = c.WatchWait.Std()
	}
	cctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	obj, err := c.store.Watch(cctx, confver.PointerKey, c.object, wait)
	if err != nil {
		return err
	}
	c.object = obj.Version
	p, err := confver.Decode(obj.Value)
	if err != nil || p.Version <= c.version.Load() {
		return err
	}
	parts, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	content, err := confver.ReadContent(parts, c.store, p)
	if err != nil {
		return err
	}
	if c.adopt(p.Version, content) {
		c.fromAPI.Add(1)
	}
	return nil
}

func (c *Config) watcher() bool {
	names := member.Owners(c.mem.View().Alive)
	return len(names) == 0 || place.InTop(c.self, confver.WatchDuty, names, c.Watchers)
}

// Dump implements auburnmoor.Dumper.
func (c *Config) Dump() any {
	return Dump{
		Version: c.version.Load(), Watcher: c.watcher(), FromStore: c.fromAPI.Load(),
		FromPeers: c.fromPeer.Load(), Failures: c.failures.Load(),
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
