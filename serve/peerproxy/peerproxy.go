// Package peerproxy is the client of backend servers that also reaches them through other
// instances. An instance that cannot connect to a server, for example because of a
// partition between the two, has an instance that can make the call, and makes calls for
// others in turn. Such a call is never passed on further.
package peerproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/internal/set"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/serve/intake"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.peerproxy"

func init() { auburnmoor.Register(new(PeerProxy)) }

// PeerProxy is the module "serve.peerproxy". It implements backend.Client.
type PeerProxy struct {
	log     *zap.Logger
	now     func() time.Duration
	scope   tally.Scope
	link    *peerlink.Link
	members *members.Members
	intake  *intake.Intake
	catalog *follow.Follower
	// direct is the client that uses the connections of this instance.
	direct backend.Client
	// notices hear what answers say of their servers. The direct client tells them itself.
	notices *backend.Listeners
	// guards know which servers want no request.
	guards *backend.Guards
	// carried is the work that this instance does for others.
	carried carriedWork

	mu sync.Mutex
	// services maps services to the paths to their servers.
	services map[string]*servicePaths
	proxies  *reach.Proxies
	// alive are the live instances, ranked is unset while proxies does not know them.
	alive  []*peerpb.MemberState
	ranked bool
	calls  map[*proxiedCall]struct{}
}

// ModuleInfo implements auburnmoor.Module.
func (*PeerProxy) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{intake.ID, peerlink.ID, members.ID, follow.ID, backend.Port}, OptIn: true,
		New: func() auburnmoor.Module { return new(PeerProxy) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (p *PeerProxy) Provision(c *auburnmoor.Context) (err error) {
	if p.intake, err = auburnmoor.Require[*intake.Intake](c, intake.ID); err != nil {
		return err
	}
	if p.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if p.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if p.catalog, err = auburnmoor.Require[*follow.Follower](c, follow.ID); err != nil {
		return err
	}
	src, err := auburnmoor.Find[backend.Source](c)
	if err != nil {
		return err
	}
	p.log, p.now, p.scope, p.direct, p.notices = c.Log, c.Now, c.Scope, src.Backends(), src.Notices()
	p.guards = src.Guards()
	p.guards.Add(p.checkListed)
	p.services, p.proxies, p.calls = map[string]*servicePaths{}, reach.NewProxies(c.Self.Name), map[*proxiedCall]struct{}{}
	p.link.HandleProxy(p)
	p.members.OnView(p.updateView)
	return nil
}

// drainPoll is how often Drain checks whether calls for others are in progress.
const drainPoll = 20 * time.Millisecond

// Drain implements auburnmoor.Drainer. It waits for the calls made for others; no new ones
// are accepted since the instance announced that it leaves.
func (p *PeerProxy) Drain(ctx context.Context) error {
	for ctx.Err() == nil && p.carried.calls.Load() > 0 {
		time.Sleep(drainPoll)
	}
	if n := p.carried.calls.Load(); n > 0 {
		p.log.Warn("calls for other instances left at the end of the time to drain", zap.Int64("calls", n))
	}
	return nil
}

// updateView applies a changed view of the fleet. Calls made by an instance that is gone
// end: its connection can stay open without a word.
func (p *PeerProxy) updateView(v members.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive, p.ranked = v.Alive, false
	if len(p.calls) == 0 {
		return
	}
	names := make([]string, len(v.Alive))
	for i, m := range v.Alive {
		names[i] = m.Name
	}
	live := set.Of(names)
	for c := range p.calls {
		if !live[c.proxy] {
			c.cancel()
		}
	}
}

// chooseProxy returns the instance to ask for a call, besides those in skip.
func (p *PeerProxy) chooseProxy(skip []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ranked {
		var list []reach.Instance
		for _, m := range p.alive {
			if m.Serving && !m.Leaving {
				list = append(list, reach.Instance{Name: m.Name, Capacity: m.Capacity})
			}
		}
		p.proxies.SetInstances(list)
		p.ranked = true
	}
	return p.proxies.Choose(p.now(), skip)
}

func (p *PeerProxy) pauseProxy(name string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proxies.Pause(p.now(), name, d)
}

// begin and end record a call that another instance makes for this one.
func (p *PeerProxy) begin(c *proxiedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = struct{}{}
	p.proxies.Begin(c.proxy)
}

func (p *PeerProxy) end(c *proxiedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
	p.proxies.End(c.proxy)
}

// Dump is the state of the module.
type Dump struct {
	// Isolated are the services from whose servers this instance seems to be partitioned.
	Isolated []string `json:"isolated"`
	// Failing counts the servers that this instance could not connect to lately.
	Failing int `json:"failing"`
	// Proxied counts the calls that others make for this instance, Carried those that it
	// makes for others.
	Proxied int   `json:"proxied"`
	Carried int64 `json:"carried"`
}

// Dump implements auburnmoor.Dumper.
func (p *PeerProxy) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{Proxied: p.proxies.ActiveCount(), Carried: p.carried.calls.Load()}
	for name, s := range p.services {
		d.Failing += s.paths.FailingCount(p.now())
		if s.paths.Isolated(p.now()) {
			d.Isolated = append(d.Isolated, name)
		}
	}
	slices.Sort(d.Isolated)
	return d
}

var _ backend.Client = (*PeerProxy)(nil)
