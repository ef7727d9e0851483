package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestHealth(t *testing.T) { testkit.Suite(t, "health") }

var _ = Describe("ejection", func() {
	var tr *health.Tracker

	BeforeEach(func() {
		tr = health.NewTracker(0.3, rand.New(rand.NewPCG(1, 1)))
		for _, n := range []string{"a", "b", "c", "d"} {
			tr.Add(n)
		}
	})

	fail := func(now time.Duration, name string, n int) {
		for range n {
			tr.Failure(now, name)
		}
	}

	It("ejects a failing server, probes it once and readmits it", func() {
		fail(0, "a", 3)
		Expect(tr.Usable(time.Second, "a")).To(BeFalse())
		Expect(tr.Usable(6*time.Second, "a")).To(BeTrue())
		tr.Begin(6*time.Second, "a")
		Expect(tr.Usable(6*time.Second, "a")).To(BeFalse(), "a second concurrent probe")
		tr.Success(6*time.Second, "a")
		Expect(tr.Usable(6*time.Second, "a")).To(BeTrue())
	})

	It("lasts longer after each failed probe", func() {
		fail(0, "a", 3)
		tr.Begin(6*time.Second, "a")
		tr.Failure(6*time.Second, "a")
		Expect(tr.Usable(10*time.Second, "a")).To(BeFalse())
		Expect(tr.Usable(17*time.Second, "a")).To(BeTrue())
	})

	// Guards against ejecting all backend servers for a minute when the network of the
	// entry instance fails for a moment, which looks like a failure of each of them.
	It("never exceeds its share of servers", func() {
		for _, n := range []string{"a", "b", "c", "d"} {
			fail(0, n, 5)
		}
		Expect(tr.EjectedCount()).To(Equal(1))
	})
})
