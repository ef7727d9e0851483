package follow

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

var _ = Describe("repeated cold times", func() {
	const servers = coldPerMessage*maxColdMessages + 1
	id := func(i int) string { return fmt.Sprintf("a-server-with-a-long-name-%04d", i) }
	// follower lists servers, the first of which are cold.
	follower := func(cold int) *Follower {
		scope := tally.NewTestScope("", nil)
		f := &Follower{
			log: zap.NewNop(), scope: scope, now: func() time.Duration { return time.Hour },
			serverSet: backends.NewSet(), coldForwarded: map[string]time.Duration{},
		}
		f.table.Store(route.NewTable(route.Config{Version: 8, Services: []route.Service{{Name: "s", ColdRate: 6}}}))
		var list []backends.Server
		for i := range servers {
			stated := backends.ColdTime{Known: i < cold, Remaining: 4 * time.Second}
			list = append(list, backends.Server{ID: id(i), Service: "s", Life: 1 << 40, Cold: stated})
		}
		f.serverSet.Replace(f.now(), list, position.Position{Era: 1 << 40, Revision: 1 << 40})
		f.publishServers()
		return f
	}

	// Guards against instances that overrun a cold server because the message that it became cold was lost.
	It("reach instances that missed the message, and are counted there", func() {
		to := follower(0)
		for _, m := range follower(3).coldMessages(time.Hour, follower(3).Servers()) {
			to.adoptColdTimes("peer", m)
			to.adoptColdTimes("peer", m)
		}
		Expect(to.coldServers(to.now(), to.Servers())).To(HaveLen(3))
		counters := to.scope.(tally.TestScope).Snapshot().Counters()
		Expect(counters["cold_times_repaired_total+"].Value()).To(Equal(int64(3)))
	})

	// Guards against bytes that grow with the fleet's servers, and against datagrams that are lost whole.
	It("are none without cold servers, and otherwise bounded in number and size", func() {
		Expect(follower(0).coldMessages(time.Hour, follower(0).Servers())).To(BeEmpty())
		out := follower(servers).coldMessages(time.Hour, follower(servers).Servers())
		Expect(out).To(HaveLen(maxColdMessages))
		for _, m := range out {
			Expect(proto.Size(m)).To(BeNumerically("<=", peerlink.MaxDatagramBody))
		}
	})

	// Guards against a server that states in its answers that it is cold and is overrun, and against work
	// for each answer.
	It("take over what servers state in answers", func() {
		f, to := follower(0), follower(0)
		f.StateCold(id(5), 1<<40, 4*time.Second)
		f.StateCold(id(6), 1, 4*time.Second)
		f.StateCold("unknown", 1<<40, 4*time.Second)
		known := f.Servers()
		f.StateCold(id(5), 1<<40, 4*time.Second-coldTolerance)
		Expect(f.Servers()).To(BeIdenticalTo(known))
		for _, m := range f.coldMessages(time.Hour, known) {
			to.adoptColdTimes("peer", m)
		}
		for _, g := range []*Follower{f, to} {
			Expect(g.coldServers(g.now(), g.Servers())).To(HaveExactElements(HaveField("ID", id(5))))
		}
		f.StateCold(id(5), 1<<40, 0)
		Expect(f.coldServers(f.now(), f.Servers())).To(BeEmpty())
	})

	// Guards against a faulty peer that makes an instance fail or warm servers cold.
	It("are ignored if they are malformed", func() {
		f := follower(0)
		f.adoptColdTimes("peer", &peerpb.ColdServers{Servers: []*peerpb.ColdServer{nil, {Id: id(1), Life: 1 << 40}, {Id: id(2), ColdMs: 5}}})
		Expect(f.coldServers(f.now(), f.Servers())).To(BeEmpty())
		f.adoptColdTimes("peer", nil)
	})
})
