package e2e

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	loanBudget = 40
	// loanPart bounds the part of one of three instances.
	loanPart = loanBudget / 3
	// loanSettle is the time after which the instances use their parts.
	loanSettle = 4 * time.Second
)

// attemptsBeyondFirst counts the arrivals at all engines beyond the first of each request.
func (s *platformSite) attemptsBeyondFirst() (n int) {
	seen := map[string]bool{}
	for _, w := range s.engines {
		for _, v := range w.Seen() {
			if seen[v.ID] {
				n++
			}
			seen[v.ID] = true
		}
	}
	return n
}

// Guards against a retry budget that stays unused because the requests arrive at one instance.
var _ = Describe("an instance that has used its part of the retry budget", func() {
	It("borrows retries of the other instances, within the budget of all", func() {
		s := newPlatformSiteUsing(fmt.Sprintf("[serve.relay]\nretry_extra = %d\nfirst_start = true\n", loanBudget), 4,
			workerserver.Config{Events: 1, Memory: engineMemory, DefaultFault: workerserver.Shed})
		DeferCleanup(s.close)
		time.Sleep(loanSettle)
		for n := range 2 * loanBudget {
			attempt{path: "/ask/1", id: fmt.Sprint("shed-", n), key: "k1", tokens: 400, body: "prompt"}.sendAndDiscard(0)
		}
		Expect(s.attemptsBeyondFirst()).To(And(BeNumerically(">", loanPart), BeNumerically("<=", loanBudget)))
	})
})
