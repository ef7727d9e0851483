package manifest_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/manifest"
)

func TestManifest(t *testing.T) { testkit.Suite(t, "manifest") }

var examples = []string{"../examples/te-puna.toml", "../examples/thistlegate.toml"}

var _ = Describe("a manifest", func() {
	It("is valid in both examples and finds customers only by their key", func() {
		for _, path := range examples {
			raw, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			m, err := manifest.Parse(raw)
			Expect(err).NotTo(HaveOccurred())
			ix := manifest.NewIndex(m)
			c, ok := ix.CustomerByKey("demo-key")
			Expect(ok).To(BeTrue())
			Expect(c.Name).To(Equal(m.Customers[0].Name))
			_, ok = ix.CustomerByKey("demo-kez")
			Expect(ok).To(BeFalse())
		}
	})

	It("reports unknown keys, out-of-range values and conflicts together", func() {
		_, err := manifest.Parse([]byte(`
site = "s"
colour = "red"
[[service]]
name = "a"
type = "model"
default_kind = "none"
[[service]]
name = "a"
type = "shop"
default_kind = "k"
[[kind]]
name = "k"
answer_quickly = true
may_wait = true
time_limit = "1s"
first_token = "2s"
[[customer]]
name = "c"
key_hashes = ["abc"]
share = 0
`))
		for _, part := range []string{"colour", "model_name", "oneof", "declared twice", "not declared", "answer_quickly and may_wait", "exceeds time_limit", "key_hashes", "share"} {
			Expect(err).To(MatchError(ContainSubstring(part)))
		}
	})

	It("rejects two customers with the same key", func() {
		h := manifest.HashKey("x")
		_, err := manifest.Parse([]byte(`site = "s"
[[service]]
name = "a"
type = "plain"
default_kind = "k"
[[kind]]
name = "k"
time_limit = "1s"
[[customer]]
name = "c"
key_hashes = ["` + h + `"]
share = 1
[[customer]]
name = "d"
key_hashes = ["` + h + `"]
share = 1
`))
		Expect(err).To(MatchError(ContainSubstring("share a key hash")))
	})

	It("recognizes versions of one model and adapter", func() {
		s := manifest.Service{ModelName: "m", Version: "v2", Adapter: "a"}
		Expect(manifest.SameModel("m@v1+a", s)).To(BeTrue())
		Expect(manifest.SameModel("m@v1", s)).To(BeFalse())
		Expect(manifest.SameModel("n@v1+a", s)).To(BeFalse())
	})
})

func FuzzParse(f *testing.F) {
	for _, path := range examples {
		raw, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(raw))
	}
	f.Fuzz(func(_ *testing.T, raw string) {
		if m, err := manifest.Parse([]byte(raw)); err == nil {
			manifest.NewIndex(m).CustomerByKey("x")
		}
	})
}
