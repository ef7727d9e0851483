package sched

import "github.com/auburnmoor/auburnmoor/port/engine"

// maxIndexedBlocks bounds the blocks indexed per engine.
const maxIndexedBlocks = 4096

// cacheIndex is the owner's approximate copy of an engine's prefix cache index.
type cacheIndex struct {
	blocks map[uint64]struct{}
	seq    uint64
	gaps   int
}

func newCacheIndex() cacheIndex { return cacheIndex{blocks: map[uint64]struct{}{}} }

// apply applies cache events. A gap in the sequence may hide evictions, so the
// index is cleared: a missing entry costs one extra prefill, a stale one costs a
// prefill for every request that it attracts to the engine.
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
		if len(x.blocks) < maxIndexedBlocks {
			x.blocks[ev.Hash] = struct{}{}
		}
	}
}

// forget removes the blocks of a prompt that the engine did not have.
func (x *cacheIndex) forget(sample []uint64) {
	for _, h := range sample {
		delete(x.blocks, h)
	}
}

func (x *cacheIndex) contains(h uint64) bool { _, ok := x.blocks[h]; return ok }
