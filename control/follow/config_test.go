package follow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

var _ = Describe("a configuration sent to peers", func() {
	// Guards against a watching instance that stays on an older version: a peer sent content
	// together with the revision of the next version, and the instance watched from after it.
	It("carries the revision of its own content", func() {
		f := &Follower{log: zap.NewNop()}
		Expect(f.configReply()).To(BeNil())
		f.encoded.Store(&content{version: 8, at: position.Position{Revision: 40}, deflated: deflate([]byte("{}"))})
		f.advanceConfigAt(position.Position{Revision: 50})
		Expect(f.configReply().Revision).To(Equal(int64(40)))
		Expect(f.configReply().Version).To(Equal(uint64(8)))
	})

	It("survives compression and decompression", func() {
		raw := []byte(`{"version":8,"routes":[]}`)
		back, err := inflate(deflate(raw))
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(raw))
		_, err = inflate([]byte("no compressed bytes"))
		Expect(err).To(HaveOccurred())
		_, err = inflate(deflate(make([]byte, maxConfigBytes+1)))
		Expect(err).To(MatchError(ContainSubstring("more than")))
	})

	It("does not replace a newer one", func() {
		f := &Follower{log: zap.NewNop()}
		f.table.Store(route.NewTable(route.Config{Version: 9}))
		f.encoded.Store(&content{version: 9})
		Expect(f.adopt(catalog.Config{Config: route.Config{Version: 8}}, "peer", 0, nil)).To(BeFalse())
		Expect(f.version()).To(Equal(uint64(9)))
	})

	// The store lost version 9 and the operator wrote it again with other content: the
	// content accepted last wins over a late copy of the old one.
	DescribeTable("replaces another", func(held, offered configID, want bool) {
		Expect(held.supersededBy(offered)).To(Equal(want))
	},
		Entry("of a lower version", configID{8, 2, 1}, configID{9, 1, 2}, true),
		Entry("of the same version, in a later era, with other content", configID{9, 1, 1}, configID{9, 2, 2}, true),
		Entry("not if it is the same one", configID{9, 1, 1}, configID{9, 2, 1}, false),
		Entry("not if it is of an earlier era", configID{9, 2, 1}, configID{9, 1, 2}, false),
		Entry("not if its version is lower, though its era is later", configID{9, 1, 1}, configID{8, 2, 2}, false),
	)
})
