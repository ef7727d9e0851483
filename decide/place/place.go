// Package place derives owners and affinities from names alone, so that every
// instance with the same member list reaches the same answer without a store.
package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member responsible for key by rendezvous hashing: when a
// member leaves, only its own keys move. It returns "" without members.
func Owner(key string, members []string) string {
	best, owner := uint64(0), ""
	for _, m := range members {
		if s := score(key, m); owner == "" || s > best || (s == best && m < owner) {
			best, owner = s, m
		}
	}
	return owner
}

// Rank returns the first n members in order of their score for key.
func Rank(key string, members []string, n int) []string {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out[:min(n, len(out))]
}

// usualWeight is the weight of a member that does not tell one.
const usualWeight = 400

// Weighted is the score of a member for key by weighted rendezvous hashing: the chance
// to have the highest one grows with the weight. A zero weight stands for a usual one.
func Weighted(key, member string, weight uint32) float64 {
	if weight == 0 {
		weight = usualWeight
	}
	const most = 1 << 53
	u := (float64(score(key, member)>>11) + 0.5) / most
	return -float64(weight) / math.Log(u)
}

// Among reports whether self is one of the first n members for key: one of the
// few that do a duty which the others leave to them.
func Among(self, key string, members []string, n int) bool {
	return slices.Contains(Rank(key, members, n), self)
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// pointsPerTarget is the number of positions of each target on a Ring.
const pointsPerTarget = 16

type point struct {
	at     uint64
	target int32
}

// Ring maps hashes to targets consistently with a look-up in O(log n).
type Ring struct{ points []point }

// NewRing places the named targets on a ring.
func NewRing(names []string) Ring {
	points := make([]point, 0, len(names)*pointsPerTarget)
	for i, n := range names {
		h := xxhash.Sum64String(n)
		for range pointsPerTarget {
			points = append(points, point{at: h, target: int32(i)})
			h = mix(h)
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	return Ring{points: points}
}

// Lookup returns the index of the target for h, or -1 on an empty ring.
func (r Ring) Lookup(h uint64) int {
	if len(r.points) == 0 {
		return -1
	}
	i, _ := slices.BinarySearchFunc(r.points, h, func(p point, h uint64) int { return cmp.Compare(p.at, h) })
	return int(r.points[i%len(r.points)].target)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Assign gives every key an owner so that no member gets more than one key
// above an even share. Keys are taken in order and go to their best member
// that has room; a change of one member moves few keys beside its own. Plain
// rendezvous hashing left one of three instances with five of six engines.
func Assign(keys, members []string) map[string]string {
	out := make(map[string]string, len(keys))
	if len(members) == 0 {
		return out
	}
	room := (len(keys) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	sorted := slices.Sorted(slices.Values(keys))
	for _, k := range sorted {
		best, owner := uint64(0), ""
		for _, m := range members {
			if load[m] >= room {
				continue
			}
			if s := score(k, m); owner == "" || s > best || (s == best && m < owner) {
				best, owner = s, m
			}
		}
		out[k] = owner
		load[owner]++
	}
	return out
}
