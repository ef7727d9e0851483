package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/balance"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestBalance(t *testing.T) { testkit.Suite(t, "balance") }

var _ = Describe("a pool of backend servers", func() {
	var p *balance.Pool

	BeforeEach(func() {
		p = balance.NewPool(0.1, 0.5, rand.New(rand.NewPCG(1, 1)))
		p.SetServers([]balance.Server{{Name: "a"}, {Name: "b"}})
	})

	It("prefers the server with fewer outstanding calls", func() {
		count := map[string]int{}
		for range 100 {
			s, ok := p.Pick(0, nil)
			Expect(ok).To(BeTrue())
			count[s.Name]++
		}
		Expect(count["a"]).To(BeNumerically("~", 50, 10))
	})

	It("never picks a server that was tried or removed", func() {
		s, _ := p.Pick(0, []string{"a"})
		Expect(s.Name).To(Equal("b"))
		_, ok := p.Pick(0, []string{"a", "b"})
		Expect(ok).To(BeFalse())
		p.SetServers([]balance.Server{{Name: "a"}})
		for range 20 {
			s, _ := p.Pick(0, nil)
			Expect(s.Name).To(Equal("a"))
		}
	})

	// Guards against retries that go on after an operator disabled them: limits were read
	// only when a service was first seen.
	It("applies new limits", func() {
		p.SetLimits(0, 0.5)
		for range 50 {
			p.TakeRetry()
		}
		s, _ := p.Pick(0, nil)
		p.Done(0, s.Name, balance.Succeeded)
		Expect(p.TakeRetry()).To(BeFalse())
	})

	// Guards against 503 responses of a healthy service: callers with short timeouts hung up
	// three times, which counted as failures of the server.
	It("does not eject a server whose callers cancelled", func() {
		for range 10 {
			s, _ := p.Pick(0, []string{"b"})
			p.Done(0, s.Name, balance.CallerCancelled)
		}
		Expect(p.Dump().Ejected).To(BeZero())
		for range 3 {
			s, _ := p.Pick(0, []string{"b"})
			p.Done(time.Second, s.Name, balance.Failed)
		}
		Expect(p.Dump().Ejected).To(Equal(1))
	})
})
