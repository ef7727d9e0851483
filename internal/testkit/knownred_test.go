package testkit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestKit(t *testing.T) { testkit.Suite(t, "testkit") }

var _ = Describe("the list of known failures", func() {
	const good = "a fleet serves all, order by size, issue 7; go test ./x, seed 1, 0.2 of 0.9 answered\n"

	It("names tests", func() {
		reds, err := testkit.ParseKnownRed(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(reds).To(HaveLen(1))
		Expect(reds[0].Test).To(Equal("a fleet serves all"))
	})

	It("may be empty", func() {
		Expect(testkit.ParseKnownRed("\n")).To(BeEmpty())
	})

	DescribeTable("is refused", func(raw string) {
		_, err := testkit.ParseKnownRed(raw)
		Expect(err).To(HaveOccurred())
	},
		Entry("without how it was seen", "a, b, issue 7\n"),
		Entry("without an issue", "a, b; c, d, e\n"),
		Entry("without a test", ", b, issue 7; c, d, e\n"),
		Entry("with four lines", good+good+good+good),
	)
})
