package sched

import "github.com/auburnmoor/auburnmoor/port/engine"

// maxIndexed bounds the blocks remembered of one engine.
const maxIndexed = 4096

// cacheIndex is the owner's belief about an engine's prefix cache.
type cacheIndex struct {
	blocks map[uint64]struct{}
	seq    uint64
	gaps   int
}

func newCacheIndex() cacheIndex { return cacheIndex{blocks: map[uint64]struct{}{}} }

// apply takes over cache events. A gap may hide evictions, and a belief in
// evicted blocks attracts requests to an engine that must compute them again.
// The index is therefore emptied at a gap: no belief costs one extra prefill,
// a wrong belief costs one for every request that it attracts.
func (x *cacheIndex) apply(events []engine.CacheEvent) {
	for _, ev := range events {
		if ev.Seq <= x.seq {
			continue
		}
		if x.seq != 0 && ev.Seq != x.seq+1 {
			clear(x.blocks)
			x.gaps++
		}
		x.seq = ev.Seq
		if ev.Evicted {
			delete(x.blocks, ev.Hash)
			continue
		}
		if len(x.blocks) < maxIndexed {
			x.blocks[ev.Hash] = struct{}{}
		}
	}
}

// disprove forgets the blocks of a prompt that the engine did not have.
func (x *cacheIndex) disprove(sample []uint64) {
	for _, h := range sample {
		delete(x.blocks, h)
	}
}

func (x *cacheIndex) known(h uint64) bool { _, ok := x.blocks[h]; return ok }
