package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/cli"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestCLI(t *testing.T) { testkit.Suite(t, "cli") }

// A wrong flag or file ended the program with a stack trace instead of a message.
var _ = Describe("bad input", func() {
	run := func(args ...string) (code int, stdout, stderr string) {
		var out, err strings.Builder
		code = cli.Main(args, &out, &err)
		return code, out.String(), err.String()
	}

	DescribeTable("gets a message that names it, exit code 2 and nothing else", func(want string, args ...string) {
		code, stdout, stderr := run(args...)
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(stderr).To(ContainSubstring(want))
		Expect(stdout).To(BeEmpty())
	},
		Entry(nil, "--seeds", "passes", "--load", "camps", "--seeds", "0"),
		Entry(nil, "--rate", "passes", "--load", "camps", "--rate", "0"),
		Entry(nil, "--draw", "passes", "--draw=-1"),
		Entry(nil, "--duration", "passes", "--load", "camps", "--duration", "0s"),
		Entry(nil, "no-such-load", "passes", "--load", "no-such-load"),
		Entry(nil, "no-such-log", "losses", "no-such-log"),
	)

	It("such as a log without a request is named", func() {
		name := filepath.Join(GinkgoT().TempDir(), "foreign.log")
		Expect(os.WriteFile(name, []byte("not a line {\"of\": \"ours\"\n"), 0o600)).To(Succeed())
		code, stdout, stderr := run("losses", name)
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(stderr).To(ContainSubstring("foreign.log"))
		Expect(stdout).To(BeEmpty())
	})
})
