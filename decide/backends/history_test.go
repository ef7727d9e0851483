package backends_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

var _ = Describe("the digests of the lists that were held last", func() {
	var h backends.History
	hold := func(revision int64, digest uint64) { h.Record(&backends.Snapshot{At: at(revision), Digest: digest}) }
	advance := func(revision int64) { h.Advance(at(revision)) }
	BeforeEach(func() { h = backends.History{} })

	It("contradict others at the same positions", func() {
		hold(10, 7)
		hold(12, 8)
		advance(15)
		hold(20, 7)
		for revision, digest := range map[int64]uint64{10: 7, 12: 8, 14: 8, 15: 8, 20: 7} {
			Expect(h.Contradicts(at(revision), digest)).To(BeFalse(), "%d", revision)
			Expect(h.Contradicts(at(revision), digest+1)).To(BeTrue(), "%d", revision)
		}
	})

	It("say nothing of positions at which none was held", func() {
		Expect(h.Contradicts(at(0), 1)).To(BeFalse())
		hold(10, 7)
		hold(20, 8)
		for _, revision := range []int64{0, 9, 11, 19, 21} {
			Expect(h.Contradicts(at(revision), 1)).To(BeFalse(), "%d", revision)
		}
	})

	// Guards against a list that is verified for nothing because a server came and went between two
	// positions at which it was the same.
	It("say nothing of what was between two equal lists", func() {
		hold(10, 7)
		hold(15, 7)
		Expect(h.Contradicts(at(12), 8)).To(BeFalse())
		Expect(h.Contradicts(at(10), 8)).To(BeTrue())
		Expect(h.Contradicts(at(15), 8)).To(BeTrue())
	})

	It("are those of a list that was repaired at its position", func() {
		hold(10, 7)
		hold(10, 9)
		Expect(h.Contradicts(at(10), 9)).To(BeFalse())
		advance(15)
		hold(15, 8)
		Expect(h.Contradicts(at(15), 8)).To(BeFalse())
		Expect(h.Contradicts(at(12), 8)).To(BeFalse())
	})

	It("are forgotten in their order", func() {
		for revision := range int64(100) {
			hold(revision+1, uint64(revision))
		}
		Expect(h.Contradicts(at(1), 99)).To(BeFalse())
		Expect(h.Contradicts(at(100), 1)).To(BeTrue())
	})
})
