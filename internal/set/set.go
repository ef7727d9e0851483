// Package set builds sets from lists.
package set

// Of returns the set of the items.
func Of[T comparable](items []T) map[T]bool {
	out := make(map[T]bool, len(items))
	for _, item := range items {
		out[item] = true
	}
	return out
}
