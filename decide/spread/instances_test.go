package spread_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

var _ = Describe("placing at several instances", func() {
	// Guards against refusals after the loss of all instances: those that had just started all
	// chose the same helpers, which reject further parts when they have as many as slots.
	DescribeTable("gives no engine too many parts while instances do not know each other's load", func(instances int, prompt int64) {
		parts := map[string]int{}
		for i := range instances {
			p := must(newFleet(54).place(spread.Request{Prompt: prompt, Answer: 10, Instance: fmt.Sprint("i", i), Rotation: 1 + i*7919}))
			for _, h := range p.Helpers() {
				parts[h.Server.ID]++
			}
		}
		for server, n := range parts {
			Expect(n).To(BeNumerically("<=", engine.Slots), server)
		}
	},
		Entry("short prompts", 68, int64(5000)),
		Entry("long prompts", 20, int64(24_000)),
	)

	// Guards against short prompts that wait for a slot of one engine while others have free ones:
	// several instances placed them before they heard of each other's.
	It("places short prompts of several instances at the same moment on different engines", func() {
		writers := map[string]int{}
		for i := range 12 {
			f := newFleet(54)
			for _, s := range f.servers {
				f.ledger.Add(s.ID, spread.Load{Calls: 6, HeldTokens: 30_000})
			}
			r := spread.Request{Prompt: 3000, Answer: 10, Instance: fmt.Sprint("i", i), Unreported: 1, DataCentre: "dc-1"}
			writers[must(f.place(r)).Writer().ID]++
		}
		Expect(len(writers)).To(BeNumerically(">=", 6))
	})

	// Guards against a choice among equal engines that depends on their order in the list.
	It("uses the engines of all other data centres if its own has none", func() {
		used := map[string]bool{}
		for i := range 30 {
			r := spread.Request{Prompt: 3000, Answer: 10, Instance: fmt.Sprint("i", i), Unreported: 1, DataCentre: "elsewhere"}
			used[must(newFleet(6).place(r)).Writer().DataCentre] = true
		}
		Expect(used).To(HaveLen(3))
	})
})
