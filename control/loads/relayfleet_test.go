package loads_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Size of the fleets of these tests.
const (
	dataCentres      = 3
	perDataCentre    = 6
	inOwnDataCentre  = perDataCentre - 1
	inOthers         = (dataCentres - 1) * perDataCentre
	settleTime       = 4 * time.Second
	completeInterval = 700 * time.Millisecond
	// slack covers the report in progress and the time on the network.
	slack = 300 * time.Millisecond
	// goneAfter is the silence after which an instance is gone from all views, with the interval of
	// the checks.
	goneAfter = 2500 * time.Millisecond
	// holdTime is how long a request of these tests lasts, workGap the pause between two.
	holdTime = 350 * time.Millisecond
	workGap  = 200 * time.Millisecond
)

// fleet is a fleet of instances with the real modules in virtual time.
type fleet struct {
	t         *testing.T
	net       *simnet.Network
	store     *simstore.Store
	instances []*instance
	// seeds are the peer addresses that the settings name.
	seeds    []string
	stopping sync.WaitGroup
	// working is set while the instances place work.
	working atomic.Bool
}

type instance struct {
	name, addr, server string
	host               *simnet.Host
	transport          *transport
	kernel             *auburnmoor.Kernel
	client             *simstore.Client
	loads              *loads.Loads
	members            *members.Members
	link               *peerlink.Link
	scope              tally.TestScope
	incarnation        uint64
	alive              atomic.Bool
}

// transport counts the load reports that an instance sends, and has a former version receive them
// without the fields that it does not know.
type transport struct {
	*simnet.Host
	former bool
	killed atomic.Bool
	sent   sentReports
}

// sentReports counts copies of load reports by what they are and where they go.
type sentReports struct{ changesNear, changesFar, completeFar, toRelays, relayed, relayedFar atomic.Int64 }

func (t *transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if t.killed.Load() {
		return nil, net.ErrClosed
	}
	return t.Host.Dial(ctx, addr)
}

func (t *transport) ListenDatagrams(addr string) (peerlink.DatagramConn, error) {
	conn, err := t.Host.ListenDatagrams(addr)
	return &datagramConn{conn, t}, err
}

type datagramConn struct {
	peerlink.DatagramConn
	transport *transport
}

func (c *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	env := &peerpb.Envelope{}
	if proto.Unmarshal(b, env) == nil && env.GetLoadReport() != nil {
		r := env.GetLoadReport()
		s, far := &c.transport.sent, dataCentreOf(to.Addr()) != c.transport.DataCentre()
		switch {
		case r.Relayed && far:
			s.relayedFar.Add(1)
		case r.Relayed:
			s.relayed.Add(1)
		case r.Complete && far:
			s.completeFar.Add(1)
		case r.Complete:
		case far:
			s.changesFar.Add(1)
		default:
			s.changesNear.Add(1)
		}
		if r.Relay {
			s.toRelays.Add(1)
		}
	}
	return c.DatagramConn.WriteToUDPAddrPort(b, to)
}

func (c *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n, from, err := c.DatagramConn.ReadFromUDPAddrPort(b)
	env := &peerpb.Envelope{}
	if err != nil || !c.transport.former || proto.Unmarshal(b[:n], env) != nil || env.GetLoadReport() == nil {
		return n, from, err
	}
	env.GetLoadReport().Relay, env.GetLoadReport().Relayed = false, false
	raw, err := proto.Marshal(env)
	return copy(b, raw), from, err
}

// addrOf returns the IP address of an instance; its second number is that of the data centre.
func addrOf(dataCentre, i int) string { return fmt.Sprintf("10.%d.0.%d", dataCentre, i+1) }

func dataCentreOf(ip netip.Addr) string { return dataCentreName(int(ip.As4()[1])) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

// startAll starts the instances, waits until they know each other, and has them place work. former
// tells which of them run a former version.
func (f *fleet) startAll(relayReports bool, former func(i int) bool) {
	var names []string
	for d := range dataCentres {
		names = append(names, dataCentreName(d))
	}
	size := simstore.Size{Routes: 4, Customers: 2, Servers: 24, ConfigBytes: 2 << 10}
	f.store = simstore.New(1, size, names)
	f.store.Accept(1, size)
	for i := range dataCentres * perDataCentre {
		in := f.add(i)
		in.transport.former = former != nil && former(i)
		if i < dataCentres {
			f.seeds = append(f.seeds, in.addr)
		}
	}
	for _, in := range f.instances {
		f.start(in, relayReports && !in.transport.former)
		// So that complete reports are not all sent at the same time.
		time.Sleep(completeInterval / time.Duration(len(f.instances)))
	}
	time.Sleep(settleTime)
	for _, in := range f.instances {
		if n := len(in.members.View().Alive); n != len(f.instances) {
			f.t.Fatalf("%s knows %d instances", in.name, n)
		}
	}
	f.work()
}

// add adds an instance that does not run yet.
func (f *fleet) add(i int) *instance {
	ip := addrOf(i%dataCentres, i)
	in := &instance{name: fmt.Sprintf("i-%02d", i), server: fmt.Sprintf("server-of-%d", i), addr: ip + ":7340"}
	in.host = f.net.AddHost(ip, dataCentreName(i%dataCentres), 100)
	in.transport = &transport{Host: in.host}
	f.instances = append(f.instances, in)
	return in
}

func (f *fleet) start(in *instance, relayReports bool) {
	in.incarnation = uint64(time.Now().UnixMicro())
	in.alive.Store(true)
	in.scope = tally.NewTestScope("", nil)
	kernel, err := auburnmoor.New(auburnmoor.Options{
		Self: auburnmoor.Identity{
			Name: in.name, Incarnation: in.incarnation, DataCentre: in.host.DataCentre(), Region: "r",
			PeerAddr: in.addr, CallerAddr: in.addr, AdminAddr: in.addr, Capacity: 1000,
		},
		Log: zap.NewNop(), Scope: in.scope, Load: []auburnmoor.ModuleID{simstore.ID, follow.ID, loads.ID},
		Configure: func(_ auburnmoor.ModuleID, m auburnmoor.Module) error {
			switch m := m.(type) {
			case *simstore.Client:
				m.Configure(f.store, in.host, f.seeds)
				in.client = m
			case *follow.Follower:
				m.StableAfter = settings.Duration(3 * time.Second)
			case *loads.Loads:
				m.RelayReports = relayReports
			case *members.Members:
				m.FewListed, m.PollList = true, settings.Duration(20*time.Second)
				m.Gossip, m.FailBase = settings.Duration(400*time.Millisecond), settings.Duration(700*time.Millisecond)
				m.MaxFailAfter, m.FailDistant = settings.Duration(2200*time.Millisecond), settings.Duration(5*time.Second)
			}
			return nil
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	in.kernel = kernel
	in.loads, in.members = kernel.Module(loads.ID).(*loads.Loads), kernel.Module(members.ID).(*members.Members)
	in.link = kernel.Module(peerlink.ID).(*peerlink.Link)
	in.link.SetTransport(in.transport)
	if err := kernel.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

// work has each instance place requests on a server of its own, so that the load of a server shows
// what others know of that instance. A request lasts for holdTime; those that are in progress when
// f.working is cleared never end.
func (f *fleet) work() {
	f.working.Store(true)
	for i, in := range f.instances {
		time.AfterFunc(time.Duration(i)*workGap/time.Duration(len(f.instances)), func() { f.place(in) })
	}
}

// place places a request and schedules its end and the next request.
func (f *fleet) place(in *instance) {
	if !f.working.Load() || !in.alive.Load() {
		return
	}
	plan := in.place(in.server)
	time.AfterFunc(holdTime, func() {
		if f.working.Load() {
			in.loads.EndDecode(plan)
		}
	})
	time.AfterFunc(workGap, func() { f.place(in) })
}

// place places a call on each of the servers.
func (in *instance) place(servers ...string) spread.Plan {
	var plan spread.Plan
	for _, server := range servers {
		plan.Parts = append(plan.Parts, spread.Part{Server: backends.Server{ID: server}, Load: spread.Load{Calls: 1}})
	}
	plan, _ = in.loads.Place(func(func(string) spread.Load, *spread.Queue) (spread.Plan, spread.Verdict) {
		return plan, spread.Placed
	})
	return plan
}

// counter returns the value of a metric of the instance.
func (in *instance) counter(name string) int64 {
	if c, ok := in.scope.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

// kill ends the process of an instance without a drain.
func (f *fleet) kill(in *instance) {
	in.alive.Store(false)
	in.client.Kill()
	in.transport.killed.Store(true)
	in.host.Reset()
	f.stopping.Go(func() { _ = in.kernel.Stop(context.Background()) })
}

func (f *fleet) stop() {
	f.working.Store(false)
	for _, in := range f.instances {
		in.host.SetTrouble(simnet.Trouble{})
		if in.alive.Load() {
			f.kill(in)
		}
	}
	f.stopping.Wait()
	// A module that is batching changes ends after that only.
	time.Sleep(time.Second)
}

// disagreements lists the live instances whose ledgers are wrong about the work of another one.
// Work of instances that are gone counts as wrong if gone is set.
func (f *fleet) disagreements(gone bool) (out []string) {
	for _, sender := range f.instances {
		want := int64(0)
		switch {
		case sender.alive.Load():
			want = sender.loads.Total(sender.server).Calls
		case !gone:
			continue
		}
		for _, in := range f.instances {
			if got := in.loads.Total(sender.server).Calls; in.alive.Load() && got != want {
				out = append(out, fmt.Sprintf("%s takes the work of %s for %d instead of %d", in.name, sender.name, got, want))
			}
		}
	}
	return out
}

// requireAgreement fails the test if live instances disagree on the work of any of them, or if the
// work is not there at all.
func (f *fleet) requireAgreement(when string, gone bool) {
	f.t.Helper()
	if wrong := f.disagreements(gone); len(wrong) > 0 {
		f.t.Errorf("%s: %d disagreements\n%s", when, len(wrong), strings.Join(wrong[:min(10, len(wrong))], "\n"))
	}
	for _, in := range f.instances {
		if in.alive.Load() && in.loads.Total(in.server).Calls == 0 {
			f.t.Errorf("%s: %s has no work", when, in.name)
		}
	}
}

// sum adds up a counter of the reports that the instances sent.
func (f *fleet) sum(counter func(*sentReports) *atomic.Int64) (sum int64) {
	for _, in := range f.instances {
		sum += counter(&in.transport.sent).Load()
	}
	return sum
}

func changesNear(s *sentReports) *atomic.Int64 { return &s.changesNear }
func changesFar(s *sentReports) *atomic.Int64  { return &s.changesFar }
func completeFar(s *sentReports) *atomic.Int64 { return &s.completeFar }
func toRelays(s *sentReports) *atomic.Int64    { return &s.toRelays }
func relayed(s *sentReports) *atomic.Int64     { return &s.relayed }
func relayedFar(s *sentReports) *atomic.Int64  { return &s.relayedFar }

// every returns a function that selects one of n instances in each data centre.
func every(n int) func(i int) bool { return func(i int) bool { return i/dataCentres%n == 0 } }
