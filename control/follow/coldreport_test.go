package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

var _ = Describe("cold servers", func() {
	var now time.Duration
	var lines *observer.ObservedLogs
	var f *Follower
	var revision int64
	BeforeEach(func() {
		now = time.Minute
		var core zapcore.Core
		core, lines = observer.New(zapcore.InfoLevel)
		f = &Follower{log: zap.New(core), scope: tally.NoopScope, now: func() time.Duration { return now }, serverSet: backends.NewSet()}
		f.coldForwarded, f.coldLogged = map[string]time.Duration{}, map[string]backends.ColdServer{}
		f.table.Store(route.NewTable(route.Config{Version: 8, Services: []route.Service{{Name: "s", ColdRate: 6}, {Name: "unlimited"}}}))
		f.serverSet.Replace(now, []backends.Server{{ID: "a", Service: "s", Life: 1}, {ID: "b", Service: "unlimited", Life: 1}}, position.Position{})
		f.publishServers()
	})
	state := func(id, service string, remaining time.Duration) (forwarded bool) {
		revision++
		v := backends.Server{ID: id, Service: service, Life: 1, Cold: backends.ColdTime{Known: true, Remaining: remaining}}
		f.serverSet.Apply(now, []backends.Change{{ID: id, Server: &v}}, position.Position{Revision: revision})
		return f.coldTimesChanged(f.publishServers())
	}
	logged := func() (out []string) {
		f.reportCold()
		for _, l := range lines.TakeAll() {
			out = append(out, l.Message)
		}
		return out
	}

	// Guards against a line for each heartbeat of each cold server.
	It("are logged when they become cold and when they are warm", func() {
		Expect(logged()).To(BeEmpty())
		state("a", "s", 4*time.Second)
		state("b", "unlimited", 4*time.Second)
		Expect(logged()).To(Equal([]string{"server is cold"}))
		now += time.Second
		state("a", "s", 3*time.Second)
		Expect(logged()).To(BeEmpty())
		now += 3 * time.Second
		Expect(logged()).To(Equal([]string{"server is no longer cold"}))
		Expect(logged()).To(BeEmpty())
	})

	// Guards against a message to all instances with each heartbeat of each cold server, and against a
	// longer cold time that does not reach them because it grew in small steps.
	It("are forwarded if the end of their cold time moves", func() {
		Expect(state("a", "s", 4*time.Second)).To(BeTrue())
		now += time.Second
		Expect(state("a", "s", 3100*time.Millisecond)).To(BeFalse())
		Expect(state("a", "s", 3600*time.Millisecond)).To(BeTrue())
		now += 300 * time.Millisecond
		Expect(state("a", "s", 3600*time.Millisecond)).To(BeFalse())
		now += 300 * time.Millisecond
		Expect(state("a", "s", 3600*time.Millisecond)).To(BeTrue())
		Expect(state("b", "unlimited", 4*time.Second)).To(BeFalse())
	})
})
