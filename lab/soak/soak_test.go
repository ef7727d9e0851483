package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/soak"
	"github.com/auburnmoor/auburnmoor/settings"
)

func TestSoak(t *testing.T) { testkit.Suite(t, "soak") }

const length, plannedLength = 24 * time.Second, 21 * time.Second

func draw(seed uint64) soak.Plan {
	p, err := soak.Draw(seed, 4, length)
	Expect(err).NotTo(HaveOccurred())
	return p
}

var _ = Describe("a plan", func() {
	It("is the same for equal seeds and differs between seeds", func() {
		Expect(draw(7)).To(Equal(draw(7)))
		Expect(draw(7)).NotTo(Equal(draw(8)))
	})

	It("survives encoding and parsing unchanged", func() {
		raw, err := draw(7).Format()
		Expect(err).NotTo(HaveOccurred())
		Expect(soak.ParsePlan(raw)).To(Equal(draw(7)))
	})

	It("of planned work has nothing but signals, silent servers and changes of the configuration", func() {
		p, err := soak.DrawPlanned(7, 4, length)
		Expect(err).NotTo(HaveOccurred())
		kinds := map[soak.Kind]bool{}
		for _, f := range p.Faults {
			kinds[f.Kind] = true
		}
		Expect(kinds).To(Equal(map[soak.Kind]bool{soak.Signals: true, soak.Silence: true, soak.Reconfigure: true}))
	})

	It("loses only the removed fault", func() {
		p := draw(7)
		reduced := p.Without(0)
		Expect(reduced.Faults).To(Equal(p.Faults[1:]))
		Expect(p).To(Equal(draw(7)))
	})

	DescribeTable("is rejected", func(raw, message string) {
		_, err := soak.ParsePlan([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("without instances", `length = "30s"`, "instances"),
		Entry("with too many instances", "instances = 1000\nlength = \"30s\"", "instances"),
		Entry("when it is too short", "instances = 3\nlength = \"1s\"", "length"),
		Entry("with an unknown field", "instances = 3\nlength = \"30s\"\nspeed = 2", "plan"),
		Entry("with an unknown kind", "instances = 3\nlength = \"30s\"\n[[fault]]\nkind = \"flood\"", "kind"),
		Entry("with a fault beyond its end", "instances = 3\nlength = \"30s\"\n[[fault]]\nkind = \"kill\"\nat = \"31s\"", "out of range"),
	)
})

var _ = Describe("a run of real processes", Ordered, func() {
	var bin string
	BeforeAll(func() {
		bin = filepath.Join(GinkgoT().TempDir(), "auburnmoor")
		out, err := exec.Command("go", "build", "-o", bin, "../../cmd/auburnmoor").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})
	play := func(p soak.Plan, m soak.Mutant) soak.Result {
		r, err := soak.Play(context.Background(), p, soak.Options{Binary: bin, Dir: GinkgoT().TempDir(), Mutant: m})
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("keeps all promises under the faults of a seed", func() {
		r := play(draw(3), "")
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Served).To(BeNumerically(">", 500))
	})

	It("answers all requests under planned work while servers fall silent", func() {
		p, err := soak.DrawPlanned(1, 4, plannedLength)
		Expect(err).NotTo(HaveOccurred())
		r := play(p, "")
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Served).To(BeNumerically(">", 500))
	})

	It("keeps all promises under each regression plan", func() {
		plans, err := filepath.Glob("regressions/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(plans).NotTo(BeEmpty())
		for _, path := range plans {
			raw, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			p, err := soak.ParsePlan(raw)
			Expect(err).NotTo(HaveOccurred(), path)
			Expect(play(p, "").Violations).To(BeEmpty(), path)
		}
	})

	It("detects servers that get more than they take", func() {
		p := draw(3)
		p.Faults = []soak.Fault{{Kind: soak.Limit, At: settings.Duration(6 * time.Second), For: settings.Duration(8 * time.Second), Share: 1}}
		Expect(play(p, soak.HidesLimits).Violated(soak.Limited)).To(BeTrue())
		Expect(play(p, "").Violations).To(BeEmpty())
	})

	It("detects cold servers that get more than their rate", func() {
		p := draw(3)
		p.Faults = []soak.Fault{{Kind: soak.Cold, At: settings.Duration(6 * time.Second), Share: 1}}
		Expect(play(p, soak.HidesCold).Violated(soak.Paced)).To(BeTrue())
		Expect(play(p, "").Violations).To(BeEmpty())
	})

	// Guards against requests to servers whose entries were removed shortly after a heartbeat.
	It("detects servers that get requests after their entries were removed", func() {
		p := draw(3)
		p.Instances = 8
		p.Faults = nil
		for at := 6 * time.Second; at < 14*time.Second; at += time.Second {
			p.Faults = append(p.Faults, soak.Fault{Kind: soak.Vanish, At: settings.Duration(at), Share: 0.5, Pick: uint64(at)})
		}
		Expect(play(p, soak.KeepsEntry).Violated(soak.Leaving)).To(BeTrue())
		Expect(play(p, "").Violations).To(BeEmpty())
	})

	// Guards against clients that end an instance, beside kills, shutdowns and frozen instances.
	It("detects instances that keep all that clients send", func() {
		p := draw(3)
		second := settings.Duration(time.Second)
		p.Faults = nil
		for pick := range uint64(8) {
			// All instances have a crowd that stops short of the end of bodies, some each of the others.
			share := 0.5
			if pick == 0 {
				share = 1
			}
			p.Faults = append(p.Faults, soak.Fault{Kind: soak.Crowd, At: 6 * second, For: 6 * second, Share: share, Pick: pick})
		}
		p.Faults = append(p.Faults,
			soak.Fault{Kind: soak.Kill, At: 8 * second, Share: 0.25, Pick: 1}, soak.Fault{Kind: soak.Term, At: 8 * second, Share: 0.25, Pick: 2},
			soak.Fault{Kind: soak.Freeze, At: 9 * second, For: second, Share: 0.25, Pick: 3})
		Expect(play(p, soak.TakesAll).Violated(soak.Bounded)).To(BeTrue())
		Expect(play(p, "").Violations).To(BeEmpty())
	})

	It("detects a configuration that takes effect too late", func() {
		Expect(play(draw(3), soak.LateConfig).Violated(soak.InForce)).To(BeTrue())
	})
})
