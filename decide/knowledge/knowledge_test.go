package knowledge_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestKnowledge(t *testing.T) { testkit.Suite(t, "knowledge") }

var _ = Describe("the state of a copy of store content", func() {
	p := knowledge.Policy{ValidFor: 4 * time.Second}
	DescribeTable("is", func(now time.Duration, c knowledge.Copy, want knowledge.State) {
		Expect(p.State(now, c)).To(Equal(want))
	},
		Entry("unknown without a copy", time.Second, knowledge.Copy{}, knowledge.Unknown),
		Entry("old if never confirmed", time.Second, knowledge.Copy{Exists: true}, knowledge.Old),
		Entry("confirmed", 14*time.Second, knowledge.Copy{Exists: true, EverConfirmed: true, ConfirmedAt: 10 * time.Second}, knowledge.Confirmed),
		Entry("old after the confirmation expires", 14*time.Second+1, knowledge.Copy{Exists: true, EverConfirmed: true, ConfirmedAt: 10 * time.Second}, knowledge.Old),
		Entry("old once another instance has a newer version", 11*time.Second, knowledge.Copy{Exists: true, Superseded: true, EverConfirmed: true, ConfirmedAt: 10 * time.Second}, knowledge.Old),
	)

	It("is encoded as text and decoded again", func() {
		for _, s := range []knowledge.State{knowledge.Unknown, knowledge.Old, knowledge.Confirmed} {
			raw, err := s.MarshalText()
			Expect(err).NotTo(HaveOccurred())
			var decoded knowledge.State
			Expect(decoded.UnmarshalText(raw)).To(Succeed())
			Expect(decoded).To(Equal(s))
		}
		Expect(new(knowledge.State).UnmarshalText([]byte("new"))).NotTo(Succeed())
	})
})
