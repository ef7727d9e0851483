// Package propagation plays fleets of instances in virtual time and measures how long after its
// acknowledgement a configuration is in force at each of them, calm and in trouble.
//
// The instances run the real modules that propagate configurations, over lab/simnet and in front of
// lab/simstore. Everything waits by the time package, so that a test of testing/synctest plays it in
// virtual time.
package propagation

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Site is what a deployment's sheet says of its size, links and bounds.
type Site struct {
	Instances, DataCentres int
	// Mbps is the bandwidth of the link of most instances, LargeMbps that of one in twenty.
	Mbps, LargeMbps float64
	// StableAfter is the time after a disturbance from which bounds hold again.
	StableAfter time.Duration
	// ApplyWithin bounds the time from acknowledged to in force, Stretch what is added to it while
	// the store is in trouble for some instances only.
	ApplyWithin, Stretch time.Duration
	Size                 simstore.Size
}

// SiteOf returns a site with a number of instances, as the users' are.
func SiteOf(instances int) Site {
	s := Site{
		Instances: instances, DataCentres: 3, Mbps: 1000, LargeMbps: 1000,
		StableAfter: 3 * time.Second, ApplyWithin: 2 * time.Second, Stretch: 5 * time.Second,
		Size: simstore.Size{Routes: 120, Customers: 10, Servers: 24, ConfigBytes: 25 << 10},
	}
	switch {
	case instances > 600:
		s.DataCentres, s.Mbps = 5, 20
		s.StableAfter, s.ApplyWithin, s.Stretch = 6*time.Second, 5*time.Second, 10*time.Second
		s.Size = simstore.Size{Routes: 500, Customers: 333, Servers: 1000, ConfigBytes: 120 << 10}
	case instances > 150:
		s.DataCentres, s.Mbps, s.LargeMbps = 5, 20, 200
		s.StableAfter, s.ApplyWithin, s.Stretch = 5*time.Second, 4*time.Second, 8*time.Second
		s.Size = simstore.Size{Routes: 300, Customers: 100, Servers: 300, ConfigBytes: 60 << 10}
	case instances > 20:
		s.Mbps, s.LargeMbps = 20, 200
		s.StableAfter, s.ApplyWithin, s.Stretch = 4*time.Second, 3*time.Second, 6*time.Second
		s.Size = simstore.Size{Routes: 200, Customers: 24, Servers: 80, ConfigBytes: 40 << 10}
	}
	return s
}

// Latencies of the network, and the share of large instances.
const (
	betweenDataCentres = 900 * time.Microsecond
	largeEvery         = 20
	// seedCount is the number of instances that the settings name.
	seedCount = 3
	peerPort  = 7340
	// Capacities of large and small instances in thousandths of a core.
	largeCapacity, smallCapacity = 1600, 192
	// startSpread is the time within which all instances of a fleet start.
	startSpread = 300 * time.Millisecond
)

// Fleet is a running fleet.
type Fleet struct {
	Site  Site
	Net   *simnet.Network
	Store *simstore.Store
	// Log receives the lines of all instances.
	Log *zap.Logger

	// evacuations has the instances follow the evacuations of data centres.
	evacuations bool
	seeds       []string
	instances   []*instance
	stopping    sync.WaitGroup
}

// instance is one instance with its machine.
type instance struct {
	name, addr string
	large      bool
	host       *simnet.Host
	running    atomic.Pointer[process]
}

// process is one life of an instance.
type process struct {
	kernel    *auburnmoor.Kernel
	follower  *follow.Follower
	members   *members.Members
	client    *simstore.Client
	transport *transport
	startedAt time.Time
}

// transport gives a process the sockets of its host until it is killed.
type transport struct {
	*simnet.Host
	killed atomic.Bool
}

// Dial implements peerlink.Transport.
func (t *transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if t.killed.Load() {
		return nil, net.ErrClosed
	}
	return t.Host.Dial(ctx, addr)
}

// NewFleet returns a fleet without running instances.
func NewFleet(site Site, seed uint64, log *zap.Logger) *Fleet {
	f := &Fleet{Site: site, Net: simnet.New(seed, betweenDataCentres), Log: log}
	var dataCentres []string
	for i := range site.DataCentres {
		dataCentres = append(dataCentres, fmt.Sprintf("dc-%d", i))
	}
	f.Store = simstore.New(seed, site.Size, dataCentres)
	for i := range site.Instances {
		in := &instance{name: fmt.Sprintf("i-%04d", i), addr: fmt.Sprintf("10.%d.%d.%d:%d", 1+i%site.DataCentres, i/250, 1+i%250, peerPort), large: i%largeEvery == 0}
		mbps := site.Mbps
		if in.large {
			mbps = site.LargeMbps
		}
		ip, _, _ := net.SplitHostPort(in.addr)
		in.host = f.Net.AddHost(ip, dataCentres[i%site.DataCentres], mbps)
		f.instances = append(f.instances, in)
	}
	for i := range min(seedCount, len(f.instances)) {
		f.seeds = append(f.seeds, f.instances[i].addr)
	}
	return f
}

// startAll starts instances within startSpread.
func (f *Fleet) startAll(all []*instance) error {
	for i, in := range all {
		if err := f.start(in); err != nil {
			return err
		}
		if i%8 == 7 {
			time.Sleep(startSpread * 8 / time.Duration(len(all)))
		}
	}
	return nil
}

// start starts a process on an instance's machine.
func (f *Fleet) start(in *instance) error {
	p := &process{transport: &transport{Host: in.host}, startedAt: time.Now()}
	capacity := uint32(smallCapacity)
	if in.large {
		capacity = largeCapacity
	}
	kernel, err := auburnmoor.New(auburnmoor.Options{
		Self: auburnmoor.Identity{
			Name: in.name, Incarnation: uint64(time.Now().UnixMicro()), DataCentre: in.host.DataCentre(), Region: "r",
			PeerAddr: in.addr, CallerAddr: in.addr, AdminAddr: in.addr, Capacity: capacity,
		},
		Log: f.Log.With(zap.String("instance", in.name)), Scope: tally.NoopScope,
		Configure: func(_ auburnmoor.ModuleID, m auburnmoor.Module) error { f.configure(in, p, m); return nil },
		Load:      []auburnmoor.ModuleID{simstore.ID, follow.ID, loads.ID},
	})
	if err != nil {
		return err
	}
	p.kernel = kernel
	kernel.Module(peerlink.ID).(*peerlink.Link).SetTransport(p.transport)
	p.follower, p.members = kernel.Module(follow.ID).(*follow.Follower), kernel.Module(members.ID).(*members.Members)
	if err := kernel.Start(context.Background()); err != nil {
		return err
	}
	in.running.Store(p)
	return nil
}

// configure sets what the template of the platform's settings sets.
func (f *Fleet) configure(in *instance, p *process, m auburnmoor.Module) {
	switch m := m.(type) {
	case *simstore.Client:
		m.Configure(f.Store, in.host, f.seeds)
		p.client = m
	case *follow.Follower:
		m.StableAfter, m.Evacuations = settings.Duration(f.Site.StableAfter), f.evacuations
	case *members.Members:
		m.FewListed = true
		m.PollList = settings.Duration(20 * time.Second)
		m.Gossip = settings.Duration(400 * time.Millisecond)
		m.FailBase = settings.Duration(700 * time.Millisecond)
		m.MaxFailAfter = settings.Duration(2200 * time.Millisecond)
		m.FailDistant = settings.Duration(5 * time.Second)
	}
}

// kill ends the process of an instance without a drain.
func (f *Fleet) kill(in *instance) {
	p := in.running.Swap(nil)
	if p == nil {
		return
	}
	p.client.Kill()
	p.transport.killed.Store(true)
	in.host.Reset()
	f.stopping.Go(func() { _ = p.kernel.Stop(context.Background()) })
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, in := range f.instances {
		in.host.SetTrouble(simnet.Trouble{})
		f.kill(in)
	}
	f.stopping.Wait()
}
