package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// memberOf returns a member state of the size found in production: full names, addresses
// and three engines.
func memberOf(i int) *peerpb.MemberState {
	s := &peerpb.MemberState{
		Name: fmt.Sprintf("entry-%04d", i), Incarnation: 1 << 50, DataCentre: fmt.Sprint("dc-", i%12), Region: fmt.Sprint("region-", i%3),
		PeerAddr: "10.20.30.40:7201", CallerAddr: "10.20.30.40:7101",
	}
	for k := range 3 {
		s.Engines = append(s.Engines, &peerpb.EngineState{Name: fmt.Sprintf("engine-%04d-%d", i, k), KvTotal: 480_000, Models: []string{"tutor@v1", "triage@v3"}, Role: "any", Addr: "10.20.40.50:8000", DataCentre: "dc-1"})
	}
	return s
}

// exchange runs one second of gossip of one instance: its own rounds and the given messages
// of others. It returns the bytes of both directions.
func exchange(t *member.Table, msgs []*peerpb.Gossip, now time.Duration) (bytes int) {
	for end := now + time.Second; now < end; now += 100 * time.Millisecond {
		for _, m := range t.Tick(now) {
			raw, _ := proto.Marshal(m.Gossip)
			bytes += len(raw)
		}
	}
	for _, m := range msgs {
		raw, _ := proto.Marshal(m)
		bytes += len(raw)
		g := &peerpb.Gossip{}
		_ = proto.Unmarshal(raw, g)
		t.Receive(now, g)
	}
	return bytes
}

// BenchmarkSecond measures the cost of membership per instance and second; B/s counts both
// directions.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{9, 50, 150, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := member.NewTable(memberOf(0), member.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
			now, total := time.Duration(0), 0
			beat := uint64(0)
			b.ReportAllocs()
			for range 60 {
				beat += 2
				gossipSecond(t, n, beat, now)
				now += time.Second
			}
			for b.Loop() {
				beat += 2
				total += gossipSecond(t, n, beat, now)
				now += time.Second
			}
			b.ReportMetric(float64(total)/float64(b.N), "B/s")
		})
	}
}

// gossipSecond runs one second of gossip in a fleet of n with the messages that an instance
// of a healthy fleet receives: as many as it sends.
func gossipSecond(t *member.Table, n int, beat uint64, now time.Duration) int {
	var msgs []*peerpb.Gossip
	for m := range 6 {
		g := &peerpb.Gossip{}
		for k := range min(17, n) {
			s := memberOf(1 + (int(beat)*17+m*17+k)%(n-1))
			s.Heartbeat = beat
			if beat > 20 && (m+k)%16 != 0 {
				s = &peerpb.MemberState{Name: s.Name, Incarnation: s.Incarnation, Heartbeat: beat, Brief: true}
			}
			g.Members = append(g.Members, s)
		}
		msgs = append(msgs, g)
	}
	return exchange(t, msgs, now)
}

// TestGossipBudget bounds the control traffic of an instance to 22 KB/s at the largest
// planned fleet, 350 instances.
func TestGossipBudget(t *testing.T) {
	const budget = 22 << 10
	table := member.NewTable(memberOf(0), member.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	total := 0
	for i := range 160 {
		bytes := gossipSecond(table, 350, uint64(2*i+2), time.Duration(i)*time.Second)
		if i >= 60 {
			total += bytes
		}
	}
	if total/100 > budget || total == 0 {
		t.Fatalf("%d bytes a second", total/100)
	}
}

// BenchmarkRoster measures one count of the fleet, with a seed that was never heard from.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{6, 75, 300, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := member.NewTable(memberOf(0), member.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
			g := &peerpb.Gossip{}
			for i := 1; i < n; i++ {
				g.Members = append(g.Members, memberOf(i))
			}
			t.Receive(0, g)
			t.SetContacts([]member.Contact{{Name: "seed", PeerAddr: "192.0.2.1:1"}})
			b.ReportAllocs()
			for b.Loop() {
				t.Roster(time.Second, time.Second)
			}
		})
	}
}
