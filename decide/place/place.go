// Package place maps keys to members by hashing their names, so that instances
// with the same member list agree on the result without coordination.
package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/internal/partial"
)

// Owner returns the owner of key by rendezvous hashing: when a member leaves, only
// its own keys move. It returns "" if there are no members.
func Owner(key string, members []string) string {
	bestScore, owner := uint64(0), ""
	for _, m := range members {
		if s := score(key, m); owner == "" || s > bestScore || (s == bestScore && m < owner) {
			bestScore, owner = s, m
		}
	}
	return owner
}

// Rank returns the n members with the highest scores for key, in that order.
func Rank(key string, members []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, score(key, m)}
	}
	first := partial.First(all, n, func(a, b scored) bool { return a.score > b.score || a.score == b.score && a.name < b.name })
	out := make([]string, len(first))
	for i, s := range first {
		out[i] = s.name
	}
	return out
}

// defaultWeight is the weight of a member that does not report one.
const defaultWeight = 400

// WeightedScore returns the score of a member for key by weighted rendezvous hashing:
// the chance of the highest score is proportional to the weight. A zero weight
// stands for the default weight.
func WeightedScore(key, member string, weight uint32) float64 {
	if weight == 0 {
		weight = defaultWeight
	}
	const resolution = 1 << 53
	u := (float64(score(key, member)>>11) + 0.5) / resolution
	return -float64(weight) / math.Log(u)
}

// InTop reports whether self is one of the n highest-ranked members for key, for
// tasks that only a few members perform.
func InTop(self, key string, members []string, n int) bool {
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

// pointsPerTarget is the number of points (virtual nodes) of a target on a Ring.
const pointsPerTarget = 16

type point struct {
	at     uint64
	target int32
}

// Ring maps hashes to targets by consistent hashing, with look-up in O(log n).
type Ring struct{ points []point }

// NewRing returns a ring of the named targets.
func NewRing(names []string) Ring {
	points := make([]point, 0, len(names)*pointsPerTarget)
	for i, n := range names {
		h := xxhash.Sum64String(n)
		for range pointsPerTarget {
			points = append(points, point{at: h, target: int32(i)})
			h = splitmix64(h)
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	return Ring{points: points}
}

// Lookup returns the index of the target for h, or -1 if the ring is empty.
func (r Ring) Lookup(h uint64) int {
	if len(r.points) == 0 {
		return -1
	}
	i, _ := slices.BinarySearchFunc(r.points, h, func(p point, h uint64) int { return cmp.Compare(p.at, h) })
	return int(r.points[i%len(r.points)].target)
}

// splitmix64 is one step of the generator of that name.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Assign assigns each key an owner such that no member owns more than the even
// share, rounded up. Each key, in sorted order, goes to the member with the highest
// score that is not full, so a change of one member moves few keys besides its own.
// Plain rendezvous hashing is uneven: one of three instances owned five of six
// engines.
func Assign(keys, members []string) map[string]string {
	out := make(map[string]string, len(keys))
	if len(members) == 0 {
		return out
	}
	maxKeys := (len(keys) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	sorted := slices.Sorted(slices.Values(keys))
	for _, k := range sorted {
		bestScore, owner := uint64(0), ""
		for _, m := range members {
			if load[m] >= maxKeys {
				continue
			}
			if s := score(k, m); owner == "" || s > bestScore || (s == bestScore && m < owner) {
				bestScore, owner = s, m
			}
		}
		out[k] = owner
		load[owner]++
	}
	return out
}
