package loads_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

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
			t.Logf("to other data centres: %.0f reports of changes with %.2f copies each, %d complete reports; %d relayed copies",
				reports, perReport, complete, passedOn)
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
			body := &peerpb.Envelope_LoadReport{LoadReport: r}
			env := &peerpb.Envelope{From: from, Incarnation: sender.incarnation, Body: body}
			sender.link.RelayDatagrams([]string{target.name}, env)
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
