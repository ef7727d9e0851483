package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/soak"
	"github.com/auburnmoor/auburnmoor/settings"
)

var _ = Describe("servers that speak of themselves, in a run of real processes", Ordered, func() {
	var bin string
	BeforeAll(func() {
		bin = filepath.Join(GinkgoT().TempDir(), "auburnmoor")
		out, err := exec.Command("go", "build", "-o", bin, "../../cmd/auburnmoor").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	// Guards against checks that find nothing, and against words that are not heard.
	DescribeTable("are heard, and it is found out if not", func(k soak.Kind, lasts time.Duration, broken soak.Promise) {
		p := draw(3)
		p.Faults = []soak.Fault{{Kind: k, At: settings.Duration(6 * time.Second), For: settings.Duration(lasts), Share: 0.5, Pick: 1}}
		play := func(m soak.Mutant) soak.Result {
			r, err := soak.Play(context.Background(), p, soak.Options{Binary: bin, Dir: GinkgoT().TempDir(), Mutant: m})
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		Expect(play(soak.HidesWords).Violated(broken)).To(BeTrue())
		Expect(play("").Violations).To(BeEmpty())
	},
		Entry("leaving", soak.SayLeaving, time.Duration(0), soak.Heard),
		Entry("rest", soak.AskRest, 8*time.Second, soak.Rested),
	)
})
