package testkit_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestKit(t *testing.T) { testkit.Suite(t, "testkit") }

var _ = Describe("the list of known failures", func() {
	const valid = "a fleet serves all, order by size, issue 7; go test ./x, seed 1, 0.2 of 0.9 answered\n"

	It("is parsed", func() {
		known, err := testkit.ParseKnownFailures(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(HaveLen(1))
		Expect(known[0].Test).To(Equal("a fleet serves all"))
	})

	It("may have more lines than allowed if they are of crowds", func() {
		known, err := testkit.ParseKnownFailures(strings.Repeat(valid, 6) + strings.Repeat("a crowd at "+valid, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(HaveLen(9))
	})

	It("may be empty", func() {
		Expect(testkit.ParseKnownFailures("\n")).To(BeEmpty())
	})

	DescribeTable("is rejected", func(raw string) {
		_, err := testkit.ParseKnownFailures(raw)
		Expect(err).To(HaveOccurred())
	},
		Entry("without a way to reproduce the failure", "a, b, issue 7\n"),
		Entry("without an issue", "a, b; c, d, e\n"),
		Entry("without a test", ", b, issue 7; c, d, e\n"),
		Entry("with more lines than allowed", strings.Repeat(valid, 7)),
	)
})
