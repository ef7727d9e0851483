package partial_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/internal/partial"
)

// TestFirst compares the selection with a stable sort of the whole list.
func TestFirst(t *testing.T) {
	type item struct{ key, index int }
	rapid.Check(t, func(t *rapid.T) {
		var items []item
		for i, key := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "keys") {
			items = append(items, item{key, i})
		}
		n := rapid.IntRange(-1, 12).Draw(t, "n")
		sorted := slices.Clone(items)
		slices.SortStableFunc(sorted, func(a, b item) int { return a.key - b.key })
		want := sorted[:max(0, min(n, len(sorted)))]
		NewWithT(t).Expect(partial.First(items, n, func(a, b item) bool { return a.key < b.key })).To(HaveExactElements(want))
	})
}
