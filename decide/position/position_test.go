package position_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestPosition(t *testing.T) { testkit.Suite(t, "position") }

var _ = Describe("positions of the store", func() {
	DescribeTable("are ordered by era, then revision", func(a, b position.Position, before bool) {
		Expect(a.Before(b)).To(Equal(before))
		Expect(position.Later(a, b)).To(Equal(map[bool]position.Position{true: b, false: a}[before]))
	},
		Entry("within an era", position.Position{Era: 1, Revision: 4}, position.Position{Era: 1, Revision: 5}, true),
		Entry("equal positions", position.Position{Era: 1, Revision: 5}, position.Position{Era: 1, Revision: 5}, false),
		Entry("a lower revision of a later era", position.Position{Era: 1, Revision: 90}, position.Position{Era: 2, Revision: 5}, true),
		Entry("a position without an era", position.Position{Revision: 90}, position.Position{Era: 1}, true),
	)
})
