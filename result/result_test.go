package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/result"
)

func TestResult(t *testing.T) { testkit.Suite(t, "result") }

var _ = Describe("the table of result codes", func() {
	It("uses each number and name once", func() {
		seen := map[string]bool{}
		for _, e := range result.Table {
			for _, k := range []string{fmt.Sprint(uint32(e.Code)), e.Name} {
				Expect(seen).NotTo(HaveKey(k))
				seen[k] = true
			}
		}
	})

	It("matches docs/RESULT-CODES.md", func() {
		raw, err := os.ReadFile("../docs/RESULT-CODES.md")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range result.Table {
			Expect(string(raw)).To(ContainSubstring(result.DocLine(e)))
		}
		Expect(strings.Count(string(raw), "\n| ")).To(Equal(len(result.Table)+1), "codes in the documentation")
	})
})
