package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRetry(t *testing.T) { testkit.Suite(t, "retry") }

var _ = Describe("retries", func() {
	// Guards against a doubled load on a failing fleet because every request is retried.
	It("are limited to a share of the successes", func() {
		b := retry.NewBudget(0.1)
		retries := 0
		for i := range 1000 {
			if i%2 == 0 {
				b.AddSuccess()
			} else if b.Take() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 10+50))
		Expect(b.Denied()).To(BeNumerically(">", 400))
	})

	It("are delayed by a bounded backoff with jitter", func() {
		r := rand.New(rand.NewPCG(1, 1))
		seen := map[time.Duration]bool{}
		for range 100 {
			d := retry.Backoff(r, 10*time.Millisecond, time.Second, 3)
			Expect(d).To(And(BeNumerically(">=", 40*time.Millisecond), BeNumerically("<=", 80*time.Millisecond)))
			seen[d] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
		Expect(retry.Backoff(r, 10*time.Millisecond, time.Second, 60)).To(BeNumerically("<=", time.Second))
	})
})
