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

// Guards against invalid flags or files that end the program with a stack trace instead
// of a message.
var _ = Describe("invalid input", func() {
	run := func(args ...string) (code int, stdout, stderr string) {
		var out, err strings.Builder
		code = cli.Main(args, &out, &err)
		return code, out.String(), err.String()
	}

	DescribeTable("prints only an error that names it and exits with code 2", func(want string, args ...string) {
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

	It("names a log file without request lines", func() {
		name := filepath.Join(GinkgoT().TempDir(), "foreign.log")
		Expect(os.WriteFile(name, []byte("not a line {\"of\": \"ours\"\n"), 0o600)).To(Succeed())
		code, stdout, stderr := run("losses", name)
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(stderr).To(ContainSubstring("foreign.log"))
		Expect(stdout).To(BeEmpty())
	})
})
