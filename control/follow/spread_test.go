package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

var _ = Describe("the time from the store's first word of a version to its adoption", func() {
	const now = time.Minute
	var scope tally.TestScope
	var lines *observer.ObservedLogs
	var f *Follower
	BeforeEach(func() {
		scope = tally.NewTestScope("", nil)
		var core zapcore.Core
		core, lines = observer.New(zapcore.InfoLevel)
		f = &Follower{log: zap.New(core), scope: scope, now: func() time.Duration { return now }}
		f.table.Store(route.NewTable(route.Config{Version: 8}))
	})
	recorded := func() (n int64) {
		for _, h := range scope.Snapshot().Histograms() {
			for _, count := range h.Durations() {
				n += count
			}
		}
		return n
	}
	late := func() int { return lines.FilterMessage("configuration in force late").Len() }

	It("is recorded, and logged if it is long", func() {
		f.recordSpread(&content{version: 9, heardAt: now - 100*time.Millisecond}, "peer")
		Expect(recorded()).To(Equal(int64(1)))
		Expect(late()).To(BeZero())
		f.recordNewerConfig(configID{version: 10})
		f.recordSpread(&content{version: 10, heardAt: now - 1500*time.Millisecond}, "peer")
		Expect(recorded()).To(Equal(int64(2)))
		Expect(late()).To(Equal(1))
		Expect(lines.FilterField(zap.Duration("after", 1500*time.Millisecond)).Len()).To(Equal(1))
		Expect(lines.FilterField(zap.Duration("announced", 0)).Len()).To(Equal(1))
	})

	It("is not recorded if it is unknown", func() {
		f.recordSpread(&content{version: 9}, "peer")
		Expect(recorded()).To(BeZero())
	})

	It("is told with the configuration, by its age", func() {
		f.encoded.Store(&content{version: 9, heardAt: now - time.Second})
		reply := f.configReply()
		Expect(reply.AgeUs).To(Equal(time.Second.Microseconds()))
		Expect(f.heardAt(reply)).To(Equal(now - time.Second))
		Expect(f.heardAt(&peerpb.ConfigReply{})).To(BeZero())
		Expect(f.heardAt(&peerpb.ConfigReply{AgeUs: (2 * now).Microseconds()})).To(BeNumerically(">", 0))
	})
})
