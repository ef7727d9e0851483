package backends_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

var _ = Describe("a delta between two lists", func() {
	server := func(id string) *backends.Server { return &backends.Server{ID: id, Service: "s", Slots: 1} }
	var set *backends.Set
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{*server("a")}, at(90))
	})

	// Guards against a server that is listed again because its heartbeat is applied after its removal.
	It("holds the last state of a server that changed several times", func() {
		before := set.Snapshot()
		changes := []backends.Change{{ID: "b", Server: server("b")}, {ID: "a", Server: server("a")}, {ID: "b"}, {ID: "a"}, {ID: "a", Server: server("a")}}
		set.Apply(0, changes, at(95))
		d := set.Snapshot().DeltaSince(before, changes)
		Expect(d.Changes).To(HaveExactElements(backends.Change{ID: "b"}, HaveField("Server.ID", "a")))
		Expect(d.Ambiguous()).To(BeFalse())
	})

	// Guards against former versions of this program, which send the removal and the heartbeat in one
	// message without their order.
	It("does not lead anywhere if it has two changes of one server", func() {
		d := backends.Delta{After: at(90), AfterDigest: set.Snapshot().Digest, At: at(95), Changes: []backends.Change{{ID: "b"}, {ID: "b", Server: server("b")}}}
		Expect(set.Snapshot().FollowedBy(d)).To(BeFalse())
		d.Changes = d.Changes[:1]
		Expect(set.Snapshot().FollowedBy(d)).To(BeTrue())
	})
})
