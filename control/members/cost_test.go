package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

// newMembers returns the module of an instance that knows n others with two engines each.
func newMembers(n int) *Members {
	m := &Members{log: zap.NewNop(), now: func() time.Duration { return time.Second }, states: map[string]*peerpb.EngineState{}}
	m.table = member.NewTable(&peerpb.MemberState{Name: "self"}, member.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	var g peerpb.Gossip
	for i := range n {
		s := &peerpb.MemberState{Name: fmt.Sprint("entry-", i), Incarnation: 1, Heartbeat: 1, CallerAddr: "10.0.0.1:7101"}
		for k := range 2 {
			name := fmt.Sprintf("engine-%d-%d", i, k)
			s.Engines = append(s.Engines, &peerpb.EngineState{Name: name, KvTotal: 480_000, Models: []string{"m@v1"}})
			m.lastList = append(m.lastList, instances.Instance{Name: name, Role: instances.RoleEngine, Addr: "10.0.0.2:8000"})
		}
		g.Members = append(g.Members, s)
	}
	m.table.Receive(0, &g)
	return m
}

// BenchmarkPublish measures a rebuild of the view, which runs on changes.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{9, 50, 150, 350, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMembers(n)
			b.ReportAllocs()
			for b.Loop() {
				m.liveDigest = 0
				m.publish()
			}
		})
	}
}

// Guards against an idle instance that rebuilds the view of the whole fleet ten times a second.
func TestPublishWithoutChange(t *testing.T) {
	m := newMembers(985)
	views := 0
	m.OnView(func(View) { views++ })
	m.publish()
	if allocs := testing.AllocsPerRun(100, m.publish); allocs > 0 {
		t.Errorf("%v allocations for an unchanged view", allocs)
	}
	if views != 1 {
		t.Errorf("%d views published, not 1", views)
	}
	leaving := &peerpb.MemberState{Name: "entry-3", Incarnation: 1, Heartbeat: 2, Version: 1, Leaving: true}
	m.table.Receive(time.Second, &peerpb.Gossip{Members: []*peerpb.MemberState{leaving}})
	m.publish()
	if views != 2 {
		t.Errorf("%d views published after a change, not 2", views)
	}
}
