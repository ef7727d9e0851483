package ratelimit

import (
	"github.com/cespare/xxhash/v2"
)

// Owner returns the instance that gives out the permits of a server, by rendezvous hashing over
// the given instances, or "" if there are none.
func Owner(key Key, instances []string) (owner string) {
	var best uint64
	for _, name := range instances {
		if score := mix(xxhash.Sum64String(name) ^ uint64(key)); owner == "" || score > best {
			owner, best = name, score
		}
	}
	return owner
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// ShareOf returns the part of a rate that the instances in sight of an owner may use: all of it
// if they are more than half of all instances, or else as many parts as they are.
func ShareOf(perSecond float64, inSight, all int) float64 {
	if 2*inSight > all {
		return perSecond
	}
	return perSecond * float64(inSight) / float64(all)
}
