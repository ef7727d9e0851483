package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

// at is a position of the first era.
func at(revision int64) position.Position { return position.Position{Era: 1, Revision: revision} }

func TestBackends(t *testing.T) { testkit.Suite(t, "backends") }

var _ = Describe("set", func() {
	a := backends.Server{ID: "a", Service: "s", Addr: "10.0.0.1:80"}
	b := backends.Server{ID: "b", Service: "s", Addr: "10.0.0.2:80"}
	leaving := a
	leaving.Leaving = true

	It("follows changes", func() {
		set := backends.NewSet()
		Expect(set.Replace(0, []backends.Server{a, b}, at(5))).To(BeTrue())
		Expect(set.Apply(0, []backends.Change{{ID: "b"}}, at(6))).To(BeTrue())
		Expect(set.Snapshot().Ready("s")).To(Equal([]backends.Server{a}))
	})

	// A leaving server gets a new request. The watch told that it is leaving;
	// then a stale read, seconds behind, showed it ready again.
	It("never takes a leaving server back", func() {
		set := backends.NewSet()
		set.Replace(0, []backends.Server{a}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &leaving}}, at(9))
		Expect(set.Replace(2*time.Second, []backends.Server{a}, at(7))).To(BeFalse())
		set.Replace(2*time.Second, []backends.Server{a}, at(9))
		Expect(set.Snapshot().Ready("s")).To(BeEmpty())
		_, known := set.Snapshot().Get("a")
		Expect(known).To(BeTrue())
	})

	// A service stays without its only server for half a minute: it was emptied, crashed
	// and started again under its ID; the memory of its leaving outlived it.
	DescribeTable("takes another life of the ID for another server", func(left, came backends.Life, ready bool) {
		old, next := leaving, a
		old.Life, next.Life = left, came
		set := backends.NewSet()
		set.Replace(0, []backends.Server{old}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &next}}, at(6))
		Expect(set.Snapshot().Ready("s")).To(HaveLen(map[bool]int{true: 1}[ready]))
	},
		Entry("later", backends.Life(1000), backends.Life(2000), true),
		Entry("whose clock was stepped back", backends.Life(2000), backends.Life(1000), true),
		Entry("but not the same one", backends.Life(1000), backends.Life(1000), false),
		Entry("but not one that is not known", backends.Life(1000), backends.Life(0), false),
		Entry("nor one after a life that is not known", backends.Life(0), backends.Life(1000), false),
	)

	// A server stays out for half a minute after it left and started again twice: once it
	// did not tell its life.
	It("takes a life for another one once a known life left after one that was not known", func() {
		first, second, third := leaving, leaving, a
		second.Life, third.Life = 1000, 2000
		set := backends.NewSet()
		set.Replace(0, []backends.Server{first}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &second}}, at(6))
		set.Apply(2*time.Second, []backends.Change{{ID: "a", Server: &third}}, at(7))
		Expect(set.Snapshot().Ready("s")).To(HaveLen(1))
	})

	It("loses a new life to a late entry of the old one only until the next heartbeat", func() {
		first, second := leaving, a
		first.Life, second.Life = 1000, 2000
		set := backends.NewSet()
		set.Replace(0, []backends.Server{second}, at(5))
		set.Apply(0, []backends.Change{{ID: "a", Server: &first}}, at(6))
		Expect(set.Snapshot().Ready("s")).To(BeEmpty())
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &second}}, at(7))
		Expect(set.Snapshot().Ready("s")).To(HaveLen(1))
	})
})
