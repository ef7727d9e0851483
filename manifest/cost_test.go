package manifest_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/auburnmoor/auburnmoor/manifest"
)

// BenchmarkAdopt measures parsing and indexing of a manifest with many customers.
func BenchmarkAdopt(b *testing.B) {
	base, err := os.ReadFile("../examples/te-puna.toml")
	if err != nil {
		b.Fatal(err)
	}
	for _, customers := range []int{10, 1_000, 9_000, 27_000} {
		var s strings.Builder
		s.Write(base)
		for i := range customers {
			fmt.Fprintf(&s, "\n[[customer]]\nname = \"school-%05d\"\nkey_hashes = [%q]\nshare = 1\n", i, manifest.HashKey(fmt.Sprint("k", i)))
		}
		raw := []byte(s.String())
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(raw)), "bytes")
			for b.Loop() {
				m, err := manifest.Parse(raw)
				if err != nil {
					b.Fatal(err)
				}
				manifest.NewIndex(m)
			}
		})
	}
}
