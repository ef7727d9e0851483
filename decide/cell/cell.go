// Package cell divides a fleet into cells: groups of instances of bounded size, each with
// its own share of the backend servers. Instances of one cell inform each other of all work
// that they place; those of other cells need not know of it, because they place on other
// servers. So the number of messages to an instance doesn't grow with the fleet. A small
// fleet is one cell.
//
// The cell of an instance and its servers are computed from the lists of live instances and
// of servers alone, without agreement. Two instances whose lists differ may for a while
// place on the same server without knowing of each other: the server then queues or rejects
// work, as it does for requests placed in the same millisecond. No guarantee depends on the
// cells.
//
// The package does no I/O and reads no clock.
package cell

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// Minimum sizes of cells and shares.
const (
	// minInstances is the minimum number of instances per cell in a divided fleet; a cell
	// has fewer than twice as many. With 50 to 100 instances serving one request a second
	// each, an instance receives some 150 to 300 changes a second. Smaller cells could prefill
	// only few large prompts at a time.
	minInstances = 50
	// Where a cell would have maxEngines or more, it has fewer instances, at least leastInstances:
	// placing a request looks at all engines of the cell, and a placement held back at many
	// instances of a small core does so dozens of times a second.
	maxEngines     = 256
	leastInstances = 12
	// minEngines is the minimum number of engines per cell: the largest prompts are held and
	// prefilled by one engine with 16 helpers.
	minEngines = 17
	// minPlainServers is the minimum number of servers of a plain service per share, so that
	// a request can be retried elsewhere when a server fails.
	minPlainServers = 3
)

// Cell is the cell of one instance.
type Cell struct {
	// Index is the number of the cell, from 0 to Count-1.
	Index, Count int
	// Peers are the other instances of the cell.
	Peers []string
	// Range contains the hashes of the names of the cell's instances and of no others.
	Range HashRange
}

// HashRange is a range of hashes of names, from From up to Until, exclusive; zero for Until
// stands for no limit.
type HashRange struct{ From, Until uint64 }

// Contains reports whether a hash is in the range.
func (r HashRange) Contains(hash uint64) bool {
	return hash >= r.From && (r.Until == 0 || hash < r.Until)
}

// HashOf returns the hash that determines the cell of the instance with a name.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// Of returns the cell of self; live are all live instances, self included. engines is the
// number of servers of the model service with the fewest, zero if there is none or if it is not
// known yet, which does not limit the number of cells: as one cell, a large fleet that starts
// without a configuration would exchange reports between all of its instances.
func Of(self string, live []string, engines int) Cell {
	order := sortedByHash(live, func(name string) string { return name })
	c := Cell{Count: floorPowerOfTwo(len(order) / minInstances)}
	if engines > 0 {
		byCost := min(floorPowerOfTwo(2*engines/maxEngines), floorPowerOfTwo(len(order)/leastInstances))
		c.Count = min(max(c.Count, byCost), floorPowerOfTwo(engines/minEngines))
	}
	rank := slices.Index(order, self)
	if rank < 0 {
		// An instance that is missing from the list gets a cell without others.
		c.Count = 1
		return c
	}
	for i := range c.Count {
		from, to := bounds(len(order), c.Count, i)
		if rank < from || rank >= to {
			continue
		}
		c.Index = i
		c.Range = rangeOf(order, from, to)
		c.Peers = slices.DeleteFunc(slices.Clone(order[from:to]), func(name string) bool { return name == self })
	}
	return c
}

// Share returns the cell's share of the servers of a service, sorted by ID. A plain service
// with few servers is divided into fewer shares than there are cells; several cells then use
// the same share.
func (c Cell) Share(servers []backends.Server, plain bool) []backends.Server {
	minServers := minEngines
	if plain {
		minServers = minPlainServers
	}
	shares := min(c.Count, floorPowerOfTwo(len(servers)/minServers))
	if shares <= 1 {
		return servers
	}
	order := sortedByHash(servers, func(s backends.Server) string { return s.ID })
	from, to := bounds(len(order), shares, c.Index*shares/c.Count)
	out := order[from:to]
	slices.SortFunc(out, func(a, b backends.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// rangeOf returns the range of the hashes of order[from:to]; order is sorted by hash.
func rangeOf(order []string, from, to int) (r HashRange) {
	if from > 0 {
		r.From = HashOf(order[from])
	}
	if to < len(order) {
		r.Until = HashOf(order[to])
	}
	return r
}

// bounds returns the range of part i when n items are divided into equal parts. When an item
// is added or removed, each bound moves by at most one.
func bounds(n, parts, i int) (from, to int) { return i * n / parts, (i + 1) * n / parts }

// floorPowerOfTwo returns the greatest power of two up to n, at least one. With powers of
// two, a change of the number of cells splits each cell in two or merges pairs of cells.
func floorPowerOfTwo(n int) int {
	if n < 1 {
		return 1
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// sortedByHash returns items ordered by the hash of their names, equal hashes by name.
func sortedByHash[T any](items []T, name func(T) string) []T {
	type hashed struct {
		hash uint64
		item T
	}
	all := make([]hashed, len(items))
	for i, item := range items {
		all[i] = hashed{HashOf(name(item)), item}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(name(a.item), name(b.item)))
	})
	out := make([]T, len(all))
	for i, h := range all {
		out[i] = h.item
	}
	return out
}
