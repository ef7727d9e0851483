package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestBackends(t *testing.T) { testkit.Suite(t, "backends") }

var _ = Describe("set", func() {
	a := backends.Server{ID: "a", Service: "s", Addr: "10.0.0.1:80"}
	b := backends.Server{ID: "b", Service: "s", Addr: "10.0.0.2:80"}
	leaving := a
	leaving.Leaving = true

	It("follows changes", func() {
		set := backends.NewSet()
		Expect(set.Replace(0, []backends.Server{a, b}, 5)).To(BeTrue())
		Expect(set.Apply(0, []backends.Change{{ID: "b"}}, 6)).To(BeTrue())
		Expect(set.Snapshot().Ready("s")).To(Equal([]backends.Server{a}))
	})

	// A leaving server gets a new request. The watch told that it is leaving;
	// then a stale read, seconds behind, showed it ready again.
	It("never takes a leaving server back", func() {
		set := backends.NewSet()
		set.Replace(0, []backends.Server{a}, 5)
		set.Apply(time.Second, []backends.Change{{ID: "a", Server: &leaving}}, 9)
		Expect(set.Replace(2*time.Second, []backends.Server{a}, 7)).To(BeFalse())
		set.Replace(2*time.Second, []backends.Server{a}, 9)
		Expect(set.Snapshot().Ready("s")).To(BeEmpty())
		_, known := set.Snapshot().Get("a")
		Expect(known).To(BeTrue())
	})
})
