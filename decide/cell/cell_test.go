package cell_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestCell(t *testing.T) { testkit.Suite(t, "cell") }

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("i%03d", i))
	}
	return out
}

func servers(n int) (out []backends.Server) {
	for i := range n {
		out = append(out, backends.Server{ID: fmt.Sprintf("s%03d", i)})
	}
	return out
}

// Guards against control traffic that grows with the fleet. When each instance informs all
// others of every placement and every end of work, 74 instances run out of processor time and
// 295 out of memory.
var _ = Describe("cells", func() {
	DescribeTable("are of bounded size and contain each instance and each server once", func(instances, engines, count int) {
		live, all := names(instances), servers(engines)
		instanceCells, serverCells, cells := map[string]int{}, map[string]int{}, map[string]cell.Cell{}
		for _, self := range live {
			cells[self] = cell.Of(self, live, engines)
		}
		for _, self := range live {
			c := cells[self]
			Expect(c.Count).To(Equal(count))
			if count > 1 {
				Expect(len(c.Peers) + 1).To(And(BeNumerically(">=", 50), BeNumerically("<=", 100)))
			}
			for _, m := range c.Peers {
				if cells[m].Index != c.Index {
					Fail("an instance of another cell counts as a member of this one")
				}
			}
			instanceCells[self] = c.Index
			share := c.Share(all, false)
			Expect(len(share)).To(BeNumerically(">=", min(engines, 17)))
			for _, s := range share {
				if at, taken := serverCells[s.ID]; taken && at != c.Index {
					Fail("a server belongs to two cells")
				}
				serverCells[s.ID] = c.Index
			}
		}
		Expect(instanceCells).To(HaveLen(instances))
		Expect(serverCells).To(HaveLen(engines))
	},
		Entry("6", 6, 21, 1),
		Entry("9", 9, 16, 1),
		Entry("22", 22, 9, 1),
		Entry("74", 74, 60, 1),
		Entry("98", 98, 78, 1),
		Entry("100", 100, 78, 2),
		Entry("150", 150, 100, 2),
		Entry("199", 199, 120, 2),
		Entry("295", 295, 172, 4),
		Entry("350", 350, 750, 4),
		Entry("many instances with few engines", 295, 20, 1),
		Entry("985", 985, 935, 16),
	)

	// Guards against placements that cost more than an instance has: each of 300 instances looked
	// at 750 engines for each attempt.
	DescribeTable("have a bounded number of engines while there are instances enough", func(instances, engines int) {
		live, all := names(instances), servers(engines)
		c := cell.Of(live[0], live, engines)
		Expect(len(c.Share(all, false))).To(BeNumerically("<", 256))
		Expect(len(c.Peers) + 1).To(BeNumerically(">=", 12))
	},
		Entry("30 and 300", 30, 300),
		Entry("100 and 1,000", 100, 1000),
		Entry("300 and 3,000", 300, 3000),
		Entry("985 and 935", 985, 935),
		Entry("350 and 750", 350, 750),
	)

	// Guards against a start in which each of 985 instances reports to all others: there is no
	// configuration yet, so no engine is known, and the fleet counted as one cell.
	It("are divided before any engine is known", func() {
		live := names(985)
		Expect(cell.Of(live[0], live, 0)).To(Equal(cell.Of(live[0], live, 935)))
	})

	It("change their shares by at most one server when one is removed", func() {
		live := names(295)
		all := servers(172)
		for _, self := range live[:40] {
			c := cell.Of(self, live, 172)
			before := c.Share(all, false)
			after := cell.Of(self, live, 171).Share(slices.Delete(slices.Clone(all), 77, 78), false)
			kept := 0
			for _, s := range after {
				if slices.ContainsFunc(before, func(b backends.Server) bool { return b.ID == s.ID }) {
					kept++
				}
			}
			Expect(len(after) - kept).To(BeNumerically("<=", 1))
		}
	})

	It("are merged in pairs when half of the engines are lost", func() {
		live := names(295)
		for _, self := range live {
			if cell.Of(self, live, 86).Index/2 != cell.Of(self, live, 86/2).Index {
				Fail("an instance is in neither of the two cells that were merged")
			}
		}
	})

	DescribeTable("share a plain service so that each has enough servers for retries", func(n, shares int) {
		live := names(295)
		got := map[string]bool{}
		for _, self := range live {
			share := cell.Of(self, live, 172).Share(servers(n), true)
			Expect(len(share)).To(BeNumerically(">=", min(n, 3)))
			got[fmt.Sprint(share)] = true
		}
		Expect(got).To(HaveLen(shares))
	},
		Entry("3 servers", 3, 1), Entry("7", 7, 2), Entry("12", 12, 4), Entry("40", 40, 4),
	)

	It("put an instance that is missing from the list into a cell without others", func() {
		Expect(cell.Of("x", names(100), 100)).To(Equal(cell.Cell{Count: 1}))
	})
})
