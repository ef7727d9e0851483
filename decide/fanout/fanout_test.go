package fanout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/fanout"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// Values of the package that the properties check.
const (
	maxSilence = 1500 * time.Millisecond
	minRelayed = 4
)

// now is the time of all drawn reports.
const now = 10 * time.Second

// drawFleet draws the instances of one cell. Most were heard from lately.
func drawFleet(t *rapid.T) []fanout.Peer {
	dataCentres := rapid.IntRange(1, 5).Draw(t, "data centres")
	fleet := make([]fanout.Peer, rapid.IntRange(2, 101).Draw(t, "instances"))
	for i := range fleet {
		silence := time.Duration(rapid.IntRange(0, 1500).Draw(t, "silence")) * time.Millisecond
		if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
			silence = maxSilence + time.Duration(rapid.IntRange(1, 8500).Draw(t, "more"))*time.Millisecond
		}
		fleet[i] = fanout.Peer{
			Name: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", rapid.IntRange(0, dataCentres-1).Draw(t, "data centre")),
			HeardAt: now - silence,
		}
	}
	return fleet
}

// drawSender draws a fleet and one of its instances.
func drawSender(t *rapid.T) (fleet []fanout.Peer, sender fanout.Peer) {
	fleet = drawFleet(t)
	return fleet, fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "sender")]
}

func without(fleet []fanout.Peer, name string) []fanout.Peer {
	return slices.DeleteFunc(slices.Clone(fleet), func(p fanout.Peer) bool { return p.Name == name })
}

func find(fleet []fanout.Peer, name string) fanout.Peer {
	return fleet[slices.IndexFunc(fleet, func(p fanout.Peer) bool { return p.Name == name })]
}

// Guards against instances that a report does not reach, and against traffic for copies that are
// dropped as duplicates.
func TestEachPeerIsReachedOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, sender := drawSender(t)
		plan := fanout.Choose(now, sender.Name, sender.DataCentre, without(fleet, sender.Name), rapid.Uint64().Draw(t, "round"))
		reached := map[string]int{}
		for _, name := range slices.Concat(plan.Direct, plan.Relays) {
			reached[name]++
		}
		for _, relay := range plan.Relays {
			for _, name := range fanout.Neighbours(sender.Name, find(fleet, relay).DataCentre, without(fleet, relay)) {
				reached[name]++
			}
		}
		for _, p := range without(fleet, sender.Name) {
			if reached[p.Name] != 1 {
				t.Fatalf("%v is reached %d times", p, reached[p.Name])
			}
		}
		if reached[sender.Name] != 0 {
			t.Fatal("the sender gets its own report")
		}
	})
}

// Guards against reports that are lost at a relay that is gone, and against more than one copy
// to a data centre.
func TestRelaysProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, sender := drawSender(t)
		peers := without(fleet, sender.Name)
		plan := fanout.Choose(now, sender.Name, sender.DataCentre, peers, rapid.Uint64().Draw(t, "round"))
		relays := map[string]int{}
		for _, name := range plan.Relays {
			p := find(peers, name)
			relays[p.DataCentre]++
			if now-p.HeardAt > maxSilence {
				t.Fatalf("relay %v is silent", p)
			}
		}
		members, heard := map[string]int{}, map[string]bool{}
		for _, p := range peers {
			members[p.DataCentre]++
			heard[p.DataCentre] = heard[p.DataCentre] || now-p.HeardAt <= maxSilence
		}
		for dataCentre, n := range members {
			want := 0
			if dataCentre != sender.DataCentre && n >= minRelayed && heard[dataCentre] {
				want = 1
			}
			if relays[dataCentre] != want {
				t.Fatalf("%d relays in %s with %d peers, want %d", relays[dataCentre], dataCentre, n, want)
			}
		}
	})
}

// Guards against a few instances that pass on most of the reports: instances are small, and the
// loss of one of them would lose many reports in a row.
func TestRotationIsEvenProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, sender := drawSender(t)
		peers := without(fleet, sender.Name)
		members, candidates := map[string]int{}, map[string]int{}
		for _, p := range peers {
			members[p.DataCentre]++
			if now-p.HeardAt <= maxSilence {
				candidates[p.DataCentre]++
			}
		}
		first, rounds := rapid.Uint64().Draw(t, "round"), rapid.IntRange(1, 300).Draw(t, "rounds")
		used := map[string]int{}
		for i := range rounds {
			for _, relay := range fanout.Choose(now, sender.Name, sender.DataCentre, peers, first+uint64(i)).Relays {
				used[relay]++
			}
		}
		for _, p := range peers {
			if p.DataCentre == sender.DataCentre || members[p.DataCentre] < minRelayed || now-p.HeardAt > maxSilence {
				continue
			}
			n := candidates[p.DataCentre]
			// One more or less, as the counter may wrap around and restart the turns.
			if least, most := rounds/n-1, (rounds+n-1)/n+1; used[p.Name] < least || used[p.Name] > most {
				t.Fatalf("%s is the relay of %d of %d reports, one of %d relays", p.Name, used[p.Name], rounds, n)
			}
		}
	})
}

// Guards against instances that all use the same relay after they have started together.
func TestSendersUseDifferentRelays(t *testing.T) {
	var peers []fanout.Peer
	for i := range 30 {
		peers = append(peers, fanout.Peer{Name: fmt.Sprintf("i-%d", i), DataCentre: "far", HeardAt: now})
	}
	used := map[string]int{}
	for i := range 300 {
		used[fanout.Choose(now, fmt.Sprintf("sender-%d", i), "near", peers, 1).Relays[0]]++
	}
	for name, n := range used {
		if n > 30 {
			t.Errorf("%s is the first relay of %d of 300 senders", name, n)
		}
	}
}

// Guards against a new instance that misses reports because a relay does not know it yet, and
// against the use of such an instance as a relay.
func TestNewPeersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, sender := drawSender(t)
		peers := without(fleet, sender.Name)
		var established []fanout.Peer
		for i := range peers {
			if rapid.IntRange(0, 2).Draw(t, "new") == 0 {
				peers[i].Since = now - time.Duration(rapid.IntRange(0, 1999).Draw(t, "age"))*time.Millisecond
				continue
			}
			established = append(established, peers[i])
		}
		round := rapid.Uint64().Draw(t, "round")
		plan := fanout.Choose(now, sender.Name, sender.DataCentre, peers, round)
		for _, p := range peers {
			if p.Since > 0 && !slices.Contains(plan.Direct, p.Name) {
				t.Fatalf("new peer %v gets no direct copy", p)
			}
		}
		if want := fanout.Choose(now, sender.Name, sender.DataCentre, established, round); !slices.Equal(plan.Relays, want.Relays) {
			t.Fatalf("relays %v, %v without the new peers", plan.Relays, want.Relays)
		}
	})
}

// Guards against relays that pass on reports of instances whose work they do not count themselves,
// and against peers that never get reports because their data centre is not known.
func TestUnknownInstances(t *testing.T) {
	peers := []fanout.Peer{{Name: "a", DataCentre: "near"}, {Name: "b", DataCentre: "near"}, {Name: "c", DataCentre: "far"}}
	if got := fanout.Neighbours("stranger", "near", peers); got != nil {
		t.Errorf("report of a stranger passed on to %v", got)
	}
	if got := fanout.Neighbours("c", "near", peers); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("report of c passed on to %v", got)
	}
	var unknown []fanout.Peer
	for i := range 10 {
		unknown = append(unknown, fanout.Peer{Name: fmt.Sprint(i), HeardAt: now})
	}
	if plan := fanout.Choose(now, "a", "near", unknown, 0); len(plan.Direct) != len(unknown) || plan.Relays != nil {
		t.Errorf("%+v", plan)
	}
	// A peer that was never heard from has HeardAt zero, which is recent just after the start.
	silent := slices.Clone(unknown)
	for i := range silent {
		silent[i].DataCentre, silent[i].HeardAt, silent[i].Since = "far", 0, -time.Minute
	}
	if plan := fanout.Choose(time.Millisecond, "a", "near", silent, 0); plan.Relays != nil {
		t.Errorf("%v was never heard from", plan.Relays)
	}
}
