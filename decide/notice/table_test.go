package notice_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestNotice(t *testing.T) { testkit.Suite(t, "notice") }

var _ = Describe("what servers say of themselves", func() {
	a, b := notice.Key{Server: "a", Life: 1}, notice.Key{Server: "b", Life: 1}
	none := func(notice.Key) bool { return false }
	all := func(notice.Key) bool { return true }
	var t *notice.Table
	BeforeEach(func() { t = notice.NewTable() })

	Describe("leaving", func() {
		said := notice.Leaving{By: "x", Heard: time.Second, Learned: 2 * time.Second}

		It("holds for one life of one server", func() {
			Expect(t.RecordLeaving(a, said)).To(BeTrue())
			Expect(t.RecordLeaving(a, notice.Leaving{By: "y"})).To(BeFalse())
			Expect(t.Leaves(a)).To(BeTrue())
			Expect(t.Leaving()[a]).To(Equal(said), "who heard it first is kept")
			Expect(t.Leaves(notice.Key{Server: "a", Life: 2})).To(BeFalse())
			Expect(t.Leaves(b)).To(BeFalse())
		})

		It("is kept while the server is listed, and for a while without", func() {
			t.RecordLeaving(a, said)
			t.Expire(time.Hour, all)
			Expect(t.Leaves(a)).To(BeTrue())
			t.Expire(30*time.Second, none)
			Expect(t.Leaves(a)).To(BeTrue())
			t.Expire(31*time.Second, none)
			Expect(t.Leaves(a)).To(BeFalse())
		})

		It("is told again while it is recent", func() {
			t.RecordLeaving(a, said)
			Expect(t.LearnedSince(2 * time.Second)).To(HaveKey(a))
			Expect(t.LearnedSince(3 * time.Second)).To(BeEmpty())
		})

		It("is bounded in number", func() {
			for i := range 10_000 {
				t.RecordLeaving(notice.Key{Server: strconv.Itoa(i)}, said)
			}
			leaving, _ := t.Len()
			Expect(leaving).To(BeNumerically("<=", 4096))
		})
	})

	Describe("rest", func() {
		It("lasts as long as the server asked for", func() {
			until, fresh := t.RecordRest(time.Second, a, 3*time.Second)
			Expect(until).To(Equal(4 * time.Second))
			Expect(fresh).To(BeTrue())
			Expect(t.RestLeft(2*time.Second, a)).To(Equal(2 * time.Second))
			Expect(t.RestLeft(4*time.Second, a)).To(BeZero())
			Expect(t.RestLeft(2*time.Second, b)).To(BeZero())
			Expect(t.RestLeft(2*time.Second, notice.Key{Server: "a", Life: 2})).To(BeZero())
		})

		It("is not ended by a shorter one", func() {
			t.RecordRest(0, a, 5*time.Second)
			until, fresh := t.RecordRest(time.Second, a, time.Second)
			Expect(until).To(Equal(5 * time.Second))
			Expect(fresh).To(BeFalse())
			until, _ = t.RecordRest(4*time.Second, a, 3*time.Second)
			Expect(until).To(Equal(7 * time.Second))
			Expect(t.Resting(4 * time.Second)[a].Answers).To(Equal(3))
		})

		It("is bounded in time and number", func() {
			until, _ := t.RecordRest(0, a, 24*time.Hour)
			Expect(until).To(Equal(notice.MaxRest))
			for i := range 10_000 {
				t.RecordRest(time.Duration(i), notice.Key{Server: strconv.Itoa(i)}, time.Second)
			}
			_, resting := t.Len()
			Expect(resting).To(BeNumerically("<=", 4096))
		})

		It("is forgotten once it ended", func() {
			t.RecordRest(0, a, time.Second)
			t.Expire(time.Second, all)
			_, resting := t.Len()
			Expect(resting).To(BeZero())
		})
	})
})
