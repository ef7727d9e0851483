// Package follow keeps the operators' configuration and the list of backend
// servers up to date by watching the store that holds them.
package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/eventlog"
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
	// defaultWait is how long a watch waits. Together with watchSlack it bounds
	// how long a connection that went silent is believed: a server that begins
	// to leave must be known within about 3 s.
	defaultWait = 2 * time.Second
	// watchSlack is what a watch may take beyond its wait; the store answers in
	// about 4 ms, and in 250 ms when it is slow.
	watchSlack = 600 * time.Millisecond
	// readTimeout bounds a read of the whole.
	readTimeout = 1500 * time.Millisecond
	// Pauses after a failed call; drawn, so that the instances do not return to
	// a store that was down all at once.
	firstPause, longestPause = 50 * time.Millisecond, 400 * time.Millisecond
	// askPeerAfter is the time that the store gets to tell of a version that a
	// peer has already, before the peer is asked for it.
	askPeerAfter = 300 * time.Millisecond
	inboxSize    = 64
)

// Follower is the module "control.catalog".
type Follower struct {
	// Wait is how long one watch waits for a change.
	Wait settings.Duration `toml:"wait"`

	log     *zap.Logger
	now     func() time.Duration
	scope   tally.Scope
	catalog catalog.Catalog
	link    *peerlink.Link
	members *members.Members

	table   atomic.Pointer[route.Table]
	raw     atomic.Pointer[[]byte]
	servers atomic.Pointer[backends.Snapshot]
	// configHeard and serversHeard are when the store last confirmed what is
	// held, in nanoseconds since the start.
	configHeard, serversHeard atomic.Int64
	// storeFailing tells that the last call for the list of servers failed.
	storeFailing atomic.Bool
	inbox        *ring.Ring[catalog.Config]
	heard        *ring.Ring[peerVersion]

	// mu guards set and bad, which reads of the store and replies of peers change.
	mu  sync.Mutex
	set *backends.Set
	bad unreadable
}

type peerVersion struct {
	peer    string
	version uint64
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
	if f.Wait == 0 {
		f.Wait = settings.Duration(defaultWait)
	}
	f.log, f.now, f.scope, f.catalog = c.Log, c.Now, c.Scope, src.Catalog()
	f.set, f.bad = backends.NewSet(), unreadable{}
	f.inbox = ring.New[catalog.Config]("catalog.inbox", inboxSize)
	f.heard = ring.New[peerVersion]("catalog.heard", inboxSize)
	f.members.CarryConfig(f.version, func(from string, version uint64) {
		if version > f.version() {
			f.heard.Offer(peerVersion{from, version})
		}
	})
	f.link.Handle(f.receive)
	return nil
}

// Start implements auburnmoor.Starter.
func (f *Follower) Start(ctx context.Context) error {
	go f.followConfig(ctx)
	go f.followServers(ctx)
	go f.askPeers(ctx)
	go f.askServers(ctx)
	return nil
}

// Table returns the configuration in force, or nil before any is known.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Servers returns the present list of servers, or nil before any is known.
func (f *Follower) Servers() *backends.Snapshot { return f.servers.Load() }

// Ready reports whether requests can be served.
func (f *Follower) Ready() bool { return f.Table() != nil && f.Servers() != nil }

// ServersAge is the time since the store last confirmed the list of servers.
func (f *Follower) ServersAge() time.Duration {
	return f.now() - time.Duration(f.serversHeard.Load())
}

// ConfigAge is the time since the store last confirmed the configuration.
func (f *Follower) ConfigAge() time.Duration {
	return f.now() - time.Duration(f.configHeard.Load())
}

func (f *Follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// changed tells the members whether this instance can serve by now.
func (f *Follower) changed() { f.members.SetServing(f.Ready()) }

// whatServers names the list of servers in logs and metrics.
const whatServers = "servers"

// source is one of the two things that are followed, as its loop sees it.
type source struct {
	name string
	// read takes over the whole and returns its revision.
	read func(context.Context) (int64, error)
	// watch takes over what changed after a revision.
	watch func(context.Context, int64) (int64, error)
}

// follow reads the whole, then watches from there. After a gap in the history
// it reads the whole again. A watch that failed or went silent is asked again
// from the same revision, over another connection.
func (f *Follower) follow(ctx context.Context, s source) {
	r := rand.New(rand.NewPCG(rand.Uint64(), 1))
	revision, known, failures := int64(0), false, 0
	for ctx.Err() == nil {
		var err error
		if !known {
			revision, err = f.call(ctx, readTimeout, s.read)
			known = err == nil
		} else {
			var next int64
			next, err = f.call(ctx, f.Wait.Std()+watchSlack, func(ctx context.Context) (int64, error) { return s.watch(ctx, revision) })
			if err == nil {
				revision = next
			}
		}
		switch {
		case err == nil:
			f.regained(s.name, failures)
			failures = 0
			continue
		case errors.Is(err, catalog.ErrHistoryGone):
			f.log.Info("history of changes is gone, reading the whole again", zap.String("what", s.name), zap.Int64("revision", revision))
			known = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(s.name, failures, err)
		failures++
		wait.For(ctx, retry.Backoff(r, firstPause, longestPause, failures))
	}
}

func (f *Follower) call(ctx context.Context, timeout time.Duration, fn func(context.Context) (int64, error)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fn(ctx)
}

func (f *Follower) lost(what string, failures int, err error) {
	if what == whatServers {
		f.storeFailing.Store(true)
	}
	if errors.Is(err, catalog.ErrNone) {
		if failures == 0 {
			f.log.Info("the store holds no configuration yet")
		}
		return
	}
	f.scope.Tagged(map[string]string{"what": what}).Counter("store_failures_total").Inc(1)
	if failures == 0 {
		f.log.Warn("store lost", zap.String("what", what), eventlog.Error(err))
	}
}

func (f *Follower) regained(what string, failures int) {
	if what == whatServers {
		f.storeFailing.Store(false)
	}
	if failures > 0 {
		f.log.Info("store regained", zap.String("what", what), zap.Int("failed_calls", failures))
	}
}

func (f *Follower) followConfig(ctx context.Context) {
	f.follow(ctx, source{
		name: "configuration",
		read: func(ctx context.Context) (int64, error) {
			c, err := f.catalog.Config(ctx)
			return f.takeConfig(&c, c.Revision, err)
		},
		watch: func(ctx context.Context, after int64) (int64, error) {
			return f.takeConfig(f.catalog.WatchConfig(ctx, after, f.Wait.Std()))
		},
	})
}

// takeConfig takes over what the store tells, nil if nothing changed, and returns the
// revision to watch from. While the newest configuration cannot be read the one in
// force stays, and the next change is waited for: asking again brings the same.
func (f *Follower) takeConfig(c *catalog.Config, revision int64, err error) (int64, error) {
	if errors.Is(err, catalog.ErrUnreadable) {
		f.notAdopted(revision, err)
		return revision, nil
	}
	if err != nil {
		return 0, err
	}
	if c != nil {
		f.adopt(*c, "store")
	}
	f.configHeard.Store(int64(f.now()))
	return revision, nil
}

// notAdopted says that the newest configuration cannot be read.
func (f *Follower) notAdopted(revision int64, err error) {
	f.scope.Tagged(map[string]string{"kind": "configuration"}).Counter("entries_unreadable_total").Inc(1)
	f.log.Error("the newest configuration cannot be read, the last one stays in force", zap.Uint64("version", f.version()), zap.Int64("revision", revision), eventlog.Error(err))
}

// adopt takes over a version only if it is newer than the one in force.
// Versions come from reads, watches and peers in any order; an older one that
// arrives late must not bring back what operators took away.
func (f *Follower) adopt(c catalog.Config, from string) {
	next := route.NewTable(c.Config)
	for {
		held := f.table.Load()
		if held != nil && held.Version >= next.Version {
			return
		}
		if f.table.CompareAndSwap(held, next) {
			break
		}
	}
	raw := c.Raw
	f.raw.Store(&raw)
	f.log.Info("configuration in force", zap.Uint64("version", next.Version), zap.String("from", from),
		zap.Int64("revision", c.Revision), zap.Int("routes", len(next.Routes)), zap.Int("customers", len(next.Customers)))
	f.changed()
	if from == "store" {
		f.members.SpreadNow()
	}
}

func (f *Follower) followServers(ctx context.Context) {
	f.follow(ctx, source{
		name: whatServers,
		read: func(ctx context.Context) (int64, error) {
			l, err := f.catalog.Servers(ctx)
			if err != nil {
				return 0, err
			}
			f.update(f.now(), func(now time.Duration) bool {
				f.note(func(string) bool { return true }, l.Unreadable)
				return f.set.Replace(now, l.Servers, l.Revision)
			})
			return l.Revision, nil
		},
		watch: func(ctx context.Context, after int64) (int64, error) {
			l, err := f.catalog.WatchServers(ctx, after, f.Wait.Std())
			if err != nil {
				return 0, err
			}
			f.update(f.now(), func(now time.Duration) bool {
				f.note(changed(l.Changes), l.Unreadable)
				return len(l.Changes) > 0 && f.set.Apply(now, l.Changes, l.Revision)
			})
			return l.Revision, nil
		},
	})
}

// changed reports whether an entry is among changes.
func changed(changes []backends.Change) func(id string) bool {
	return func(id string) bool {
		return slices.ContainsFunc(changes, func(c backends.Change) bool { return c.ID == id })
	}
}

// update changes the list of servers as the store confirmed it at a time, and
// publishes it if it changed.
func (f *Follower) update(confirmed time.Duration, change func(now time.Duration) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serversHeard.Store(max(f.serversHeard.Load(), int64(confirmed)))
	if !change(f.now()) {
		return
	}
	snap := f.set.Snapshot()
	f.servers.Store(snap)
	f.log.Info("backend servers changed", zap.Int64("revision", snap.Revision), zap.Int("servers", snap.Len()))
	f.changed()
}

// Dump implements auburnmoor.Dumper.
func (f *Follower) Dump() any {
	d := Dump{ConfigVersion: f.version(), ConfigAgeMS: f.ConfigAge().Milliseconds(), ServersAgeMS: f.ServersAge().Milliseconds()}
	if s := f.Servers(); s != nil {
		d.ServersRevision, d.Servers = s.Revision, s.Len()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Unreadable = maps.Clone(f.bad)
	return d
}

// Dump is what an instance believes of the store's content, and how old it is.
type Dump struct {
	ConfigVersion   uint64 `json:"config_version"`
	ConfigAgeMS     int64  `json:"config_age_ms"`
	Servers         int    `json:"servers"`
	ServersRevision int64  `json:"servers_revision"`
	ServersAgeMS    int64  `json:"servers_age_ms"`
	// Unreadable are the entries of servers that cannot be read, with the reason.
	Unreadable map[string]string `json:"unreadable,omitempty"`
}
