package loads_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

func TestRelaysInFleet(t *testing.T) {
	play := func(name string, relayReports bool, former func(int) bool, scene func(t *testing.T, f *fleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{t: t, net: simnet.New(1, 900*time.Microsecond)}
				defer f.stop()
				f.startAll(relayReports, former)
				scene(t, f)
			})
		})
	}

	// Guards against a setting that does not reduce the copies between data centres, or reduces the
	// complete reports, which are heartbeats.
	copies := map[bool][2]float64{}
	for _, relayReports := range []bool{false, true} {
		play(fmt.Sprintf("copies between data centres with relay_reports = %v", relayReports), relayReports, nil, func(t *testing.T, f *fleet) {
			const duration = 4
			near, far, complete, passedOn := f.sum(changesNear), f.sum(changesFar), f.sum(completeFar), f.sum(relayed)
			time.Sleep(duration * time.Second)
			near, far, complete, passedOn = f.sum(changesNear)-near, f.sum(changesFar)-far, f.sum(completeFar)-complete, f.sum(relayed)-passedOn
			reports := float64(near) / inOwnDataCentre
			perReport := float64(far) / reports
			copies[relayReports] = [2]float64{perReport, float64(complete)}
			want, wantPassedOn := float64(inOthers), 0.0
			if relayReports {
				want, wantPassedOn = dataCentres-1, reports*(dataCentres-1)*(perDataCentre-1)
			}
			t.Logf("%.0f reports of changes with %.2f copies each to other data centres, %d relayed copies, %d complete reports to other data centres", reports, perReport, passedOn, complete)
			if perReport < want-0.05 || perReport > want+0.05 {
				t.Errorf("%.2f copies of each report to other data centres, want %.0f", perReport, want)
			}
			if got := float64(passedOn); got < 0.99*wantPassedOn || got > 1.01*wantPassedOn {
				t.Errorf("%.0f copies passed on by relays, want %.0f", got, wantPassedOn)
			}
			if n := f.sum(relayedFar); n != 0 {
				t.Errorf("%d relayed copies to other data centres", n)
			}
			f.working.Store(false)
			time.Sleep(100 * time.Millisecond)
			f.requireAgreement("without trouble, before the next complete report", true)
		})
	}
	if without, with := copies[false][1], copies[true][1]; with < 0.95*without {
		t.Errorf("%.0f complete reports with relays, %.0f without", with, without)
	}

	// Guards against relays that are only a few of the instances.
	play("all instances relay and forward equally often", true, nil, func(t *testing.T, f *fleet) {
		time.Sleep(4 * time.Second)
		var counts []int64
		for _, in := range f.instances {
			counts = append(counts, in.counter("load_reports_forwarded_total"))
		}
		if least, most := slices.Min(counts), slices.Max(counts); least == 0 || most > 2*least {
			t.Errorf("forwarded reports by instance: %v", counts)
		}
	})

	// Guards against work that stays unknown because the relays of its reports are dead.
	play("half of the instances die", true, nil, func(t *testing.T, f *fleet) {
		time.Sleep(2 * time.Second)
		for i, in := range f.instances {
			if every(2)(i) {
				f.kill(in)
			}
		}
		before := f.sum(toRelays)
		time.Sleep(400 * time.Millisecond)
		if f.sum(toRelays) == before {
			t.Error("no report went to a relay after the loss")
		}
		f.working.Store(false)
		time.Sleep(50 * time.Millisecond)
		if len(f.disagreements(false)) == 0 {
			t.Error("no report was lost at a dead relay, so nothing had to be repaired")
		}
		time.Sleep(completeInterval + slack)
		f.requireAgreement("one complete report later", false)
		time.Sleep(goneAfter)
		f.requireAgreement("after the dead are gone", true)
	})

	// Guards against work that stays unknown, and members that stay lost, after relays were frozen or
	// packets of all instances were lost.
	inOneDataCentre := func(i int) bool { return i%dataCentres == 1 }
	troubles := []struct {
		name    string
		trouble simnet.Trouble
		hit     func(int) bool
	}{
		{"relays freeze and wake", simnet.Trouble{Frozen: true}, every(3)},
		{"relays lose their input", simnet.Trouble{CutIn: true}, every(3)},
		{"relays lose their output", simnet.Trouble{CutOut: true}, every(3)},
		{"packets are lost", simnet.Trouble{Loss: 0.05}, every(1)},
		{"a data centre is cut off", simnet.Trouble{CutIn: true, CutOut: true}, inOneDataCentre},
		{"a data centre freezes and wakes", simnet.Trouble{Frozen: true}, inOneDataCentre},
	}
	for _, c := range troubles {
		for _, duration := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
			play(fmt.Sprintf("%s for %v", c.name, duration), true, nil, func(t *testing.T, f *fleet) {
				time.Sleep(time.Second)
				for i, in := range f.instances {
					if c.hit(i) {
						in.host.SetTrouble(c.trouble)
					}
				}
				time.Sleep(duration)
				for _, in := range f.instances {
					in.host.SetTrouble(simnet.Trouble{})
				}
				// Until the views are complete again after a longer trouble.
				if duration > goneAfter {
					time.Sleep(3 * time.Second)
				}
				f.working.Store(false)
				time.Sleep(completeInterval + slack)
				for _, in := range f.instances {
					if n := len(in.members.View().Alive); n != len(f.instances) {
						t.Errorf("%s knows %d instances", in.name, n)
					}
				}
				f.requireAgreement("after the trouble", true)
			})
		}
	}

	// Guards against a fleet whose instances disagree while it is updated one by one.
	play("a third of the instances run a former version", true, every(3), func(t *testing.T, f *fleet) {
		time.Sleep(2 * time.Second)
		if f.sum(relayed) == 0 {
			t.Error("nothing was relayed")
		}
		f.working.Store(false)
		time.Sleep(completeInterval + slack)
		f.requireAgreement("one complete report later", true)
	})

	// Guards against a member that is gone and gets requests again, because a relay that was frozen
	// passes on its reports.
	play("late reports of an instance that is gone", true, nil, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		gone, relay := f.instances[0], f.instances[1]
		late := &peerpb.Envelope{From: gone.name, Incarnation: gone.incarnation, Body: &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{
			Relayed: true, Sequence: 1 << 40, Servers: []uint32{uint32(spread.KeyOf(gone.server))}, Calls: []uint32{9},
		}}}
		f.kill(gone)
		time.Sleep(goneAfter)
		for range 5 {
			relay.link.RelayDatagrams(relay.members.Peers(), late)
			time.Sleep(500 * time.Millisecond)
			for _, in := range f.instances {
				if in.alive.Load() && in.members.View().Lives(gone.name, gone.incarnation) {
					t.Errorf("%s was revived at %s", gone.name, in.name)
				}
			}
		}
		f.working.Store(false)
		time.Sleep(completeInterval + slack)
		f.requireAgreement("after the late reports", true)
	})

	// Guards against reports that go round between relays, and against relays that spread work of
	// instances of another cell.
	play("reports that are not to be passed on", true, nil, func(t *testing.T, f *fleet) {
		f.working.Store(false)
		time.Sleep(time.Second)
		sender, target := f.instances[0], f.instances[1]
		sequence := uint64(1 << 40)
		// passedOn returns how many copies of a report the target passes on.
		passedOn := func(from string, r *peerpb.LoadReport) int64 {
			before := f.sum(relayed)
			sequence++
			r.Sequence = sequence
			sender.link.RelayDatagrams([]string{target.name}, &peerpb.Envelope{From: from, Incarnation: sender.incarnation, Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
			time.Sleep(10 * time.Millisecond)
			return f.sum(relayed) - before
		}
		if n := passedOn(sender.name, &peerpb.LoadReport{Relay: true}); n != perDataCentre-1 {
			t.Errorf("%d copies of a report to be relayed, want %d", n, perDataCentre-1)
		}
		if n := passedOn(sender.name, &peerpb.LoadReport{Relay: true, Relayed: true}); n != 0 {
			t.Errorf("%d copies of a relayed report", n)
		}
		if n := passedOn(sender.name, &peerpb.LoadReport{}); n != 0 {
			t.Errorf("%d copies of a direct report", n)
		}
		if n := passedOn("stranger", &peerpb.LoadReport{Relay: true}); n != 0 {
			t.Errorf("%d copies of a report of an instance that is not known", n)
		}
	})

	// Guards against relays that have to open connections to pass on a report.
	play("a report that is too large for a datagram", true, nil, func(t *testing.T, f *fleet) {
		f.working.Store(false)
		time.Sleep(time.Second)
		sender := f.instances[0]
		before := sender.counter("load_reports_relayed_total")
		var servers []string
		for i := range 300 {
			servers = append(servers, fmt.Sprintf("large-%d", i))
		}
		sender.place(servers...)
		time.Sleep(50 * time.Millisecond)
		for _, in := range f.instances {
			if got := in.loads.Total("large-7").Calls; got != 1 {
				t.Errorf("%s knows of %d calls", in.name, got)
			}
		}
		if n := sender.counter("load_reports_relayed_total") - before; n != 0 {
			t.Errorf("%d reports to relays", n)
		}
	})

	// Guards against an instance that starts and does not learn what others place until their next
	// complete reports, since it has no direct report of them yet or relays do not know it yet.
	play("an instance that starts", true, nil, func(t *testing.T, f *fleet) {
		f.working.Store(false)
		time.Sleep(time.Second)
		newcomer := f.add(len(f.instances))
		f.start(newcomer, true)
		knows := func(in, other *instance) bool { return in.members.View().Lives(other.name, other.incarnation) }
		placedAt := map[*instance]time.Duration{}
		for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
			time.Sleep(time.Millisecond)
			for _, sender := range f.instances {
				at, placed := placedAt[sender]
				switch {
				case sender.host.DataCentre() == newcomer.host.DataCentre():
				case !placed && knows(sender, newcomer) && knows(newcomer, sender):
					sender.place("new-" + sender.name)
					placedAt[sender] = now
				case placed && now == at+10*time.Millisecond && newcomer.loads.Total("new-"+sender.name).Calls != 1:
					t.Errorf("work of %s is not known", sender.name)
				}
			}
		}
		if len(placedAt) != inOthers {
			t.Errorf("%d instances know the new one", len(placedAt))
		}
	})
}
