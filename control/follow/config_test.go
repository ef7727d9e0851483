package follow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

var _ = Describe("a configuration that is passed on", func() {
	// An instance that watches has an older version in force than its peers, and hears of
	// it from gossip only: it took content over just when its peer had heard of the next
	// version, with the revision of that, and watched from behind it.
	It("names the revision of its own content", func() {
		f := &Follower{log: zap.NewNop()}
		Expect(f.configReply()).To(BeNil())
		f.raw.Store(&content{version: 8, at: position.Position{Revision: 40}, deflated: deflate([]byte("{}"))})
		f.noteConfigAt(position.Position{Revision: 50})
		Expect(f.configReply().Revision).To(Equal(int64(40)))
		Expect(f.configReply().Version).To(Equal(uint64(8)))
	})

	It("comes out as it was", func() {
		raw := []byte(`{"version":8,"routes":[]}`)
		back, err := inflate(deflate(raw))
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(raw))
		_, err = inflate([]byte("no compressed bytes"))
		Expect(err).To(HaveOccurred())
		_, err = inflate(deflate(make([]byte, mostConfig+1)))
		Expect(err).To(MatchError(ContainSubstring("more than")))
	})

	It("is not taken over in place of a newer one", func() {
		f := &Follower{log: zap.NewNop()}
		f.table.Store(route.NewTable(route.Config{Version: 9}))
		f.raw.Store(&content{version: 9})
		Expect(f.adopt(catalog.Config{Config: route.Config{Version: 8}}, "peer", nil)).To(BeFalse())
		Expect(f.version()).To(Equal(uint64(9)))
	})

	// The store lost version 9 and the operator wrote it anew, with other content: what
	// was accepted last holds. A copy of the old content that comes late does not.
	DescribeTable("is taken over in place of another", func(held, offered configID, want bool) {
		Expect(held.older(offered)).To(Equal(want))
	},
		Entry("of a lower version", configID{8, 2, 1}, configID{9, 1, 2}, true),
		Entry("of the same version, in a later era, with other content", configID{9, 1, 1}, configID{9, 2, 2}, true),
		Entry("not if it is the same one", configID{9, 1, 1}, configID{9, 2, 1}, false),
		Entry("not if it is of an earlier era", configID{9, 2, 1}, configID{9, 1, 2}, false),
		Entry("not if its version is lower, though its era is later", configID{9, 1, 1}, configID{8, 2, 2}, false),
	)
})
