// Package partial selects the first elements of a list without sorting all of it.
package partial

import (
	"slices"
	"sort"
)

// First returns the first n items in the order of less; equal ones keep their order. Its cost is
// linear in the number of items while n is small.
func First[T any](items []T, n int, less func(a, b T) bool) []T {
	n = max(0, min(n, len(items)))
	first := make([]T, 0, n)
	for _, item := range items {
		if len(first) == n && (n == 0 || !less(item, first[n-1])) {
			continue
		}
		at := sort.Search(len(first), func(i int) bool { return less(item, first[i]) })
		first = slices.Insert(first[:min(len(first), n-1)], at, item)
	}
	return first
}
