package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

var _ = Describe("the state of the configuration", func() {
	const validFor = 4 * time.Second
	var now time.Duration
	var f *Follower
	BeforeEach(func() {
		now = 10 * time.Second
		f = &Follower{log: zap.NewNop(), now: func() time.Duration { return now }, confirmPolicy: knowledge.Policy{ValidFor: validFor}}
		f.table.Store(route.NewTable(route.Config{Version: 8}))
		f.encoded.Store(&content{version: 8})
		raise(&f.configConfirmedAt, now)
	})

	It("is confirmed until the confirmation expires", func() {
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
		now += validFor + 1
		Expect(f.ConfigState()).To(Equal(knowledge.Old))
	})

	It("is old while another instance holds a newer one", func() {
		f.recordNewerConfig(configID{version: 9})
		f.recordNewerConfig(configID{version: 7})
		Expect(f.ConfigState()).To(Equal(knowledge.Old))
		f.encoded.Store(&content{version: 9})
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
	})

	// Guards against a fleet that never confirms its configuration again, because a lost
	// instance had a version that no other instance has.
	It("is confirmed again once no live instance holds the newer one", func() {
		f.recordNewerConfig(configID{version: 9})
		now += validFor + 1
		raise(&f.configConfirmedAt, now)
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
	})
})
