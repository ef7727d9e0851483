package enginecore

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// maxEvents bounds the cache events kept for readers; older ones are a gap.
const maxEvents = 8192

type block struct {
	pins int
	used uint64
}

type timedEvent struct {
	at time.Duration
	ev engine.CacheEvent
}

// blockCache is a prefix cache with eviction of the least recently used block.
type blockCache struct {
	blocks map[uint64]*block
	clock  uint64
	seq    uint64
	gap    int
	events []timedEvent
}

func newBlockCache(gap int) *blockCache {
	return &blockCache{blocks: map[uint64]*block{}, gap: gap}
}

// match returns the leading blocks of chain that are cached.
func (b *blockCache) match(chain []uint64) []uint64 {
	n := 0
	for n < len(chain) && b.blocks[chain[n]] != nil {
		n++
	}
	return chain[:n]
}

func (b *blockCache) pin(hashes []uint64) {
	b.clock++
	for _, h := range hashes {
		b.blocks[h].pins++
		b.blocks[h].used = b.clock
	}
}

func (b *blockCache) unpin(hashes []uint64) {
	for _, h := range hashes {
		if e := b.blocks[h]; e != nil {
			e.pins--
		}
	}
}

// evict frees unpinned blocks until streams and cache fit into total; it
// evicts nothing when that is impossible.
func (b *blockCache) evict(now time.Duration, streams, total int64) bool {
	free := total - streams - b.tokens()
	if free >= 0 {
		return true
	}
	unpinned := int64(0)
	for _, e := range b.blocks {
		if e.pins == 0 {
			unpinned += prefix.TokensPerBlock
		}
	}
	if free+unpinned < 0 {
		return false
	}
	for free < 0 {
		b.drop(now, b.oldest())
		free += prefix.TokensPerBlock
	}
	return true
}

func (b *blockCache) oldest() uint64 {
	var best uint64
	var found *block
	for h, e := range b.blocks {
		if e.pins > 0 {
			continue
		}
		if found == nil || e.used < found.used || (e.used == found.used && h < best) {
			best, found = h, e
		}
	}
	return best
}

func (b *blockCache) drop(now time.Duration, h uint64) {
	delete(b.blocks, h)
	b.note(now, engine.CacheEvent{Hash: h, Evicted: true})
}

// add stores a finished prompt's blocks as far as room tokens allow.
func (b *blockCache) add(now time.Duration, chain []uint64, room int64) {
	b.clock++
	for _, h := range chain {
		if e := b.blocks[h]; e != nil {
			e.used = b.clock
			continue
		}
		if b.tokens()+prefix.TokensPerBlock > room {
			return
		}
		b.blocks[h] = &block{used: b.clock}
		b.note(now, engine.CacheEvent{Hash: h})
	}
}

func (b *blockCache) tokens() int64 { return int64(len(b.blocks)) * prefix.TokensPerBlock }

func (b *blockCache) note(now time.Duration, ev engine.CacheEvent) {
	b.seq++
	if b.gap > 0 && b.seq%uint64(b.gap) == 0 {
		return
	}
	ev.Seq = b.seq
	b.events = append(b.events, timedEvent{at: now, ev: ev})
	if len(b.events) > maxEvents {
		b.events = b.events[len(b.events)-maxEvents:]
	}
}

func (b *blockCache) since(seq uint64, until time.Duration) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, e := range b.events {
		if e.ev.Seq > seq && e.at <= until {
			out = append(out, e.ev)
		}
	}
	return out
}
