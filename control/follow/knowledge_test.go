package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

var _ = Describe("how far a configuration can be relied on", func() {
	const holds = 4 * time.Second
	var now time.Duration
	var f *Follower
	BeforeEach(func() {
		now = 10 * time.Second
		f = &Follower{log: zap.NewNop(), now: func() time.Duration { return now }, holds: knowledge.Policy{ValidFor: holds}}
		f.table.Store(route.NewTable(route.Config{Version: 8}))
		f.raw.Store(&content{version: 8})
		f.confirm(now)
	})

	It("is confirmed until the confirmation ends", func() {
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
		now += holds + 1
		Expect(f.ConfigState()).To(Equal(knowledge.Old))
	})

	It("is old while another instance holds a newer one", func() {
		f.noteReplacing(configID{version: 9})
		f.noteReplacing(configID{version: 7})
		Expect(f.ConfigState()).To(Equal(knowledge.Old))
		f.raw.Store(&content{version: 9})
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
	})

	// Guards against a fleet that relies on nothing for good, and passes no confirmation
	// on, since an instance was lost with a version that nobody else has.
	It("is confirmed again once no live instance holds the newer one", func() {
		f.noteReplacing(configID{version: 9})
		now += holds + 1
		f.confirm(now)
		Expect(f.ConfigState()).To(Equal(knowledge.Confirmed))
	})
})
