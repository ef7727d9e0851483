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

// at returns a position of the first era.
func at(revision int64) position.Position { return position.Position{Era: 1, Revision: revision} }

func TestBackends(t *testing.T) { testkit.Suite(t, "backends") }

var _ = Describe("set", func() {
	a := backends.Server{ID: "a", Service: "s", Addr: "10.0.0.1:80"}
	b := backends.Server{ID: "b", Service: "s", Addr: "10.0.0.2:80"}
	leaving := a
	leaving.Leaving = true

	It("applies changes", func() {
		set := backends.NewSet()
		Expect(set.Replace(0, []backends.Server{a, b}, at(5))).To(BeTrue())
		Expect(set.Apply(0, []backends.Change{{ID: "b"}}, at(6))).To(BeTrue())
		Expect(set.Snapshot().Ready("s")).To(Equal([]backends.Server{a}))
	})

	// Guards against sending a request to a leaving server: the watch reported it as
	// leaving, then a read that lagged by seconds showed it ready again.
	It("never makes a leaving server ready again", func() {
		set := backends.NewSet()
		set.Replace(0, []backends.Server{a}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &leaving}}, at(9))
		Expect(set.Replace(2*time.Second, []backends.Server{a}, at(7))).To(BeFalse())
		set.Replace(2*time.Second, []backends.Server{a}, at(9))
		Expect(set.Snapshot().Ready("s")).To(BeEmpty())
		_, known := set.Snapshot().Get("a")
		Expect(known).To(BeTrue())
	})

	// Guards against requests to servers of an evacuated data centre, registered before or after.
	It("uses no server of an evacuated data centre until the evacuation ends", func() {
		near, far := a, b
		near.DataCentre, far.DataCentre = "dc-1", "dc-2"
		set := backends.NewSet()
		set.Replace(0, []backends.Server{near}, at(5))
		set.SetEvacuated(0, []string{"dc-1"}, false)
		set.Apply(0, []backends.Change{{ID: "b", Server: &far}}, at(6))
		Expect(set.Snapshot().Ready("s")).To(Equal([]backends.Server{far}))
		set.SetEvacuated(0, nil, false)
		Expect(set.Snapshot().Ready("s")).To(Equal([]backends.Server{near, far}))
	})

	// Guards against instances that request each other's list without end: a server in use in its
	// later life, listed in its earlier one, counted in the digest of a list that leaves it out.
	It("has the digest of the list that it passes on", func() {
		earlier, later := a, a
		earlier.Life, later.Life = 1, 2
		set := backends.NewSet()
		set.Replace(0, []backends.Server{later, b}, at(5))
		set.Replace(time.Second, []backends.Server{earlier, b}, position.Position{Era: 2, Revision: 3})
		snap := set.Snapshot()
		other := backends.NewSet()
		other.Replace(time.Second, snap.All(), snap.At)
		Expect(other.Snapshot().Digest).To(Equal(snap.Digest))
	})

	// Guards against losing a service's only server for 30 seconds: it was drained, crashed
	// and restarted under its ID, and the record of its departure hid the new life.
	DescribeTable("treats another life of the ID as another server", func(left, started backends.Life, ready bool) {
		old, next := leaving, a
		old.Life, next.Life = left, started
		set := backends.NewSet()
		set.Replace(0, []backends.Server{old}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &next}}, at(6))
		Expect(set.Snapshot().Ready("s")).To(HaveLen(map[bool]int{true: 1}[ready]))
	},
		Entry("started later", backends.Life(1000), backends.Life(2000), true),
		Entry("started earlier by a clock that was set back", backends.Life(2000), backends.Life(1000), true),
		Entry("but not the same life", backends.Life(1000), backends.Life(1000), false),
		Entry("but not an unknown life", backends.Life(1000), backends.Life(0), false),
		Entry("nor a life after an unknown one", backends.Life(0), backends.Life(1000), false),
	)

	// Guards against excluding a server for 30 seconds: it left and restarted twice, the
	// first time with an unknown life, whose record matched every later life.
	It("supersedes the departure of an unknown life by that of a known one", func() {
		first, second, third := leaving, leaving, a
		second.Life, third.Life = 1000, 2000
		set := backends.NewSet()
		set.Replace(0, []backends.Server{first}, at(5))
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &second}}, at(6))
		set.Apply(2*time.Second, []backends.Change{{ID: "a", Server: &third}}, at(7))
		Expect(set.Snapshot().Ready("s")).To(HaveLen(1))
	})

	It("hides a new life behind a late entry of the old one only until the next heartbeat", func() {
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
