// Package notices hears what backend servers say of themselves in their answers, tells the other
// instances and has this one keep to it.
package notices

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.notices"

func init() { auburnmoor.Register(new(Notices)) }

const (
	// batchDelay is how long news are batched into one message.
	batchDelay = 5 * time.Millisecond
	// repeatInterval is the interval at which recent news are told to neighbours again, in case
	// messages were lost. They are recent for repeatFor.
	repeatInterval = 200 * time.Millisecond
	repeatFor      = 1500 * time.Millisecond
	// allEvery is the number of these intervals after which neighbours are told all that is known.
	allEvery = 20
)

// Notices is the module "control.notices".
type Notices struct {
	log     *zap.Logger
	now     func() time.Duration
	scope   tally.Scope
	name    string
	catalog *follow.Follower
	link    *peerlink.Link
	members *members.Members
	loads   *loads.Loads
	news    chan struct{}
	// viewChanged is set when instances came or went: new ones know nothing.
	viewChanged atomic.Bool
	// known is the number of words in the table. While it is zero, nothing is looked up.
	known atomic.Int64

	mu    sync.Mutex
	table *notice.Table
	// unreadable are the servers whose rest cannot be read, as logged.
	unreadable map[notice.Key]bool
}

// ModuleInfo implements auburnmoor.Module.
func (*Notices) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, loads.ID, follow.ID, peerlink.ID, backend.Port}, OptIn: true,
		New: func() auburnmoor.Module { return new(Notices) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (n *Notices) Provision(c *auburnmoor.Context) (err error) {
	if n.catalog, err = auburnmoor.Require[*follow.Follower](c, follow.ID); err != nil {
		return err
	}
	if n.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if n.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if n.loads, err = auburnmoor.Require[*loads.Loads](c, loads.ID); err != nil {
		return err
	}
	src, err := auburnmoor.Find[backend.Source](c)
	if err != nil {
		return err
	}
	n.log, n.now, n.scope, n.name = c.Log, c.Now, c.Scope, c.Self.Name
	n.table, n.unreadable = notice.NewTable(), map[notice.Key]bool{}
	n.news = make(chan struct{}, 1)
	src.Notices().Add(n.hear)
	src.Guards().Add(n.check)
	n.link.Handle(n.receive)
	n.members.OnView(func(members.View) { n.viewChanged.Store(true) })
	return nil
}

// Start implements auburnmoor.Starter.
func (n *Notices) Start(ctx context.Context) error {
	go n.run(ctx)
	return nil
}

// hear records what an answer says of its server.
func (n *Notices) hear(from backend.Endpoint, said backend.Notice) {
	server := notice.Key{Server: from.Server, Life: from.Life}
	if said.Leaving {
		n.hearLeaving(server)
	}
	if said.Cold.Known {
		n.catalog.StateCold(from.Server, from.Life, said.Cold.Remaining)
	}
	switch said.Rest.Status {
	case backend.RestAsked:
		n.hearRest(server, said.Rest.For)
	case backend.RestUnreadable:
		n.hearUnreadable(server)
	}
}

func (n *Notices) hearLeaving(server notice.Key) {
	now := n.now()
	if !n.recordLeaving(server, notice.Leaving{By: n.name, Heard: now, Learned: now}) {
		return
	}
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// recordLeaving records a server's word, takes the server out of use and reports whether the word
// is new.
func (n *Notices) recordLeaving(server notice.Key, w notice.Leaving) bool {
	n.mu.Lock()
	fresh := n.table.RecordLeaving(server, w)
	n.updateKnown()
	n.mu.Unlock()
	if fresh {
		n.catalog.MarkLeaving(server.Server, server.Life)
		n.scope.Counter("servers_said_leaving_total").Inc(1)
		n.log.Info("server says that it leaves", zap.String("server", server.Server), zap.Int64("life", int64(server.Life)),
			zap.String("heard_by", w.By), zap.Duration("ago", w.Learned-w.Heard))
	}
	return fresh
}

func (n *Notices) hearRest(server notice.Key, d time.Duration) {
	now := n.now()
	n.mu.Lock()
	until, fresh := n.table.RecordRest(now, server, d)
	n.updateKnown()
	n.mu.Unlock()
	n.scope.Counter("rests_asked_total").Inc(1)
	if fresh {
		n.log.Info("server asks for rest", zap.String("server", server.Server), zap.Int64("life", int64(server.Life)),
			zap.Duration("asked", d), zap.Duration("given", until-now))
	}
}

// hearUnreadable counts a rest that cannot be read, and logs the first one of a server.
func (n *Notices) hearUnreadable(server notice.Key) {
	n.scope.Counter("rests_unreadable_total").Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreadable[server] || len(n.unreadable) >= maxUnreadable {
		return
	}
	n.unreadable[server] = true
	n.log.Warn("rest that a server asks for cannot be read, ignored", zap.String("server", server.Server))
}

// maxUnreadable bounds the servers of which it is remembered that their rests cannot be read.
const maxUnreadable = 1024

// updateKnown counts the words in the table; n.mu must be held.
func (n *Notices) updateKnown() {
	leaving, resting := n.table.Len()
	n.known.Store(int64(leaving + resting))
	n.scope.Gauge("servers_said_leaving").Update(float64(leaving))
	n.scope.Gauge("servers_resting").Update(float64(resting))
}

// expire forgets rests that ended and servers that are gone.
func (n *Notices) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known.Load() == 0 && len(n.unreadable) == 0 {
		return
	}
	for server := range n.unreadable {
		if !n.listed(server) {
			delete(n.unreadable, server)
		}
	}
	n.table.Expire(n.now(), n.listed)
	n.updateKnown()
}

// listed reports whether a life of a server is in the list. One that is not known never is: the
// server that is listed may be another.
func (n *Notices) listed(server notice.Key) bool {
	servers := n.catalog.Servers()
	if servers == nil {
		return false
	}
	s, ok := servers.Get(server.Server)
	return ok && server.Life != 0 && s.Life == server.Life
}
