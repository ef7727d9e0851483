package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// pool holds the engines that serve one model.
type pool struct {
	engines []*EngineInfo
	ring    place.Ring
}

// directory is the entry's view of the engines, indexed so that the cost of a
// placement does not grow with their number.
type directory struct {
	byName map[string]*EngineInfo
	pools  map[string]*pool
}

func newDirectory(engines []EngineInfo) *directory {
	d := &directory{byName: map[string]*EngineInfo{}, pools: map[string]*pool{}}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b EngineInfo) int { return cmp.Compare(a.Name, b.Name) })
	for i := range engines {
		e := &engines[i]
		d.byName[e.Name] = e
		if e.Leaving || e.Owner == "" {
			continue
		}
		for _, m := range e.Models {
			if d.pools[m] == nil {
				d.pools[m] = &pool{}
			}
			d.pools[m].engines = append(d.pools[m].engines, e)
		}
	}
	for _, p := range d.pools {
		var names []string
		for _, e := range p.engines {
			names = append(names, e.Name)
		}
		p.ring = place.NewRing(names)
	}
	return d
}

// drawsPerCandidate bounds the random draws per candidate, so that the cost of
// a placement is constant even when most engines are unsuitable.
const drawsPerCandidate = 8

// candidates appends up to n engines for a job to buf: the one that the job's
// prefix hashes to, for cache affinity, then random ones.
func (p *pool) candidates(buf []*EngineInfo, j *peerpb.Job, n int, r *rand.Rand, unsuitable func(*EngineInfo) bool) []*EngineInfo {
	if len(j.Prefix) > 0 {
		if e := p.engines[p.ring.Lookup(j.Prefix[0])]; !unsuitable(e) {
			buf = append(buf, e)
		}
	}
	for draws := n * drawsPerCandidate; draws > 0 && len(buf) < min(n, len(p.engines)); draws-- {
		e := p.engines[r.IntN(len(p.engines))]
		if slices.Contains(buf, e) || unsuitable(e) {
			continue
		}
		buf = append(buf, e)
	}
	return buf
}

// maxKVTotal returns the largest KV memory in the pool, or zero if none is known.
func (p *pool) maxKVTotal() int64 {
	largest := int64(0)
	for _, e := range p.engines {
		largest = max(largest, e.KVTotal)
	}
	return largest
}
