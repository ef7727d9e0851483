package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

var _ = Describe("repeated cold times", func() {
	const usual = 10 * time.Second
	all := func(string) bool { return true }
	var set *backends.Set
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{{ID: "a", Service: "s", Life: 1}}, at(1))
	})
	// repeated has the set hear a statement of a position, and returns until when the server is cold.
	repeated := func(now, remaining time.Duration, revision int64) time.Duration {
		stated := backends.ColdTime{Known: true, Remaining: remaining, FromPeer: true, At: at(revision)}
		set.AdoptCold(now, []backends.ColdStatement{{ID: "a", Life: 1, ColdTime: stated}})
		return set.Snapshot().ColdUntil("a", usual)
	}
	stated := func(now, remaining time.Duration, revision int64) {
		v := backends.Server{ID: "a", Service: "s", Life: 1, Cold: backends.ColdTime{Known: true, Remaining: remaining}}
		Expect(set.Apply(now, []backends.Change{{ID: "a", Server: &v}}, at(revision))).To(BeTrue())
	}

	// Guards against an instance that missed the message and overruns the server.
	It("count where the statement was missed", func() {
		Expect(repeated(time.Second, 4*time.Second, 2)).To(Equal(5 * time.Second))
		Expect(set.Snapshot().ColdStatements(2*time.Second, all)).To(Equal([]backends.ColdStatement{
			{ID: "a", Life: 1, ColdTime: backends.ColdTime{Known: true, Remaining: 3 * time.Second, FromPeer: true, At: at(2)}},
		}))
		Expect(set.Snapshot().ColdStatements(2*time.Second, func(string) bool { return false })).To(BeEmpty())
		Expect(set.Snapshot().ColdStatements(5*time.Second, all)).To(BeEmpty())
	})

	// Guards against a cold time that grows with the delay of each repetition.
	It("of the same position are not extended", func() {
		Expect(repeated(time.Second, 4*time.Second, 2)).To(Equal(5 * time.Second))
		Expect(repeated(3*time.Second, 4*time.Second, 2)).To(Equal(5 * time.Second))
		Expect(repeated(time.Second, 3*time.Second, 2)).To(Equal(4 * time.Second))
	})

	// Guards against a warm server that instances with an older statement make cold again.
	It("of an earlier position have no effect", func() {
		stated(time.Second, 8*time.Second, 2)
		stated(2*time.Second, 0, 3)
		Expect(repeated(3*time.Second, 6*time.Second, 2)).To(Equal(2 * time.Second))
		Expect(repeated(3*time.Second, 6*time.Second, 4)).To(Equal(9 * time.Second))
		stated(4*time.Second, 0, 3)
		Expect(set.Snapshot().ColdUntil("a", usual)).To(Equal(9 * time.Second))
	})

	// Guards against servers that stay unused where the message that they are warm was lost.
	It("include for a short time the end that came early", func() {
		stated(time.Second, 8*time.Second, 2)
		stated(2*time.Second, 0, 3)
		Expect(set.Snapshot().ColdStatements(3*time.Second, all)).To(HaveExactElements(HaveField("Remaining", time.Duration(0))))
		Expect(set.Snapshot().ColdStatements(4*time.Second, all)).To(BeEmpty())
	})

	DescribeTable("are ignored", func(s backends.ColdStatement) {
		s.ColdTime = backends.ColdTime{Known: true, Remaining: time.Hour, FromPeer: true, At: s.At}
		Expect(set.AdoptCold(time.Second, []backends.ColdStatement{s})).To(BeFalse())
		Expect(set.Snapshot().ColdUntil("a", usual)).To(BeZero())
	},
		Entry("for another incarnation", backends.ColdStatement{ID: "a", Life: 2, ColdTime: backends.ColdTime{At: at(2)}}),
		Entry("for a server that is not listed", backends.ColdStatement{ID: "b", Life: 1, ColdTime: backends.ColdTime{At: at(2)}}),
		Entry("without a position", backends.ColdStatement{ID: "a", Life: 1, ColdTime: backends.ColdTime{At: position.Position{}}}),
	)
})
