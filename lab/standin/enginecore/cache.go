package enginecore

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// maxEvents bounds the cache events kept for readers; a reader sees dropped ones as a gap.
const maxEvents = 8192

type block struct {
	pins     int
	lastUsed uint64
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
	// loseEvery loses every n-th event; zero loses none.
	loseEvery int
	events    []timedEvent
}

func newBlockCache(loseEvery int) *blockCache {
	return &blockCache{blocks: map[uint64]*block{}, loseEvery: loseEvery}
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
		b.blocks[h].lastUsed = b.clock
	}
}

func (b *blockCache) unpin(hashes []uint64) {
	for _, h := range hashes {
		if e := b.blocks[h]; e != nil {
			e.pins--
		}
	}
}

// evict evicts unpinned blocks until the streams' memory and the cache fit into total
// and reports whether they do. It evicts nothing if they cannot fit.
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
		b.evictBlock(now, b.leastRecentlyUsed())
		free += prefix.TokensPerBlock
	}
	return true
}

func (b *blockCache) leastRecentlyUsed() uint64 {
	var best uint64
	var found *block
	for h, e := range b.blocks {
		if e.pins > 0 {
			continue
		}
		if found == nil || e.lastUsed < found.lastUsed || (e.lastUsed == found.lastUsed && h < best) {
			best, found = h, e
		}
	}
	return best
}

func (b *blockCache) evictBlock(now time.Duration, h uint64) {
	delete(b.blocks, h)
	b.recordEvent(now, engine.CacheEvent{Hash: h, Evicted: true})
}

// add caches the blocks of a finished prompt until the cache holds limit tokens.
func (b *blockCache) add(now time.Duration, chain []uint64, limit int64) {
	b.clock++
	for _, h := range chain {
		if e := b.blocks[h]; e != nil {
			e.lastUsed = b.clock
			continue
		}
		if b.tokens()+prefix.TokensPerBlock > limit {
			return
		}
		b.blocks[h] = &block{lastUsed: b.clock}
		b.recordEvent(now, engine.CacheEvent{Hash: h})
	}
}

func (b *blockCache) tokens() int64 { return int64(len(b.blocks)) * prefix.TokensPerBlock }

func (b *blockCache) recordEvent(now time.Duration, ev engine.CacheEvent) {
	b.seq++
	if b.loseEvery > 0 && b.seq%uint64(b.loseEvery) == 0 {
		return
	}
	ev.Seq = b.seq
	b.events = append(b.events, timedEvent{at: now, ev: ev})
	if len(b.events) > maxEvents {
		b.events = b.events[len(b.events)-maxEvents:]
	}
}

func (b *blockCache) eventsSince(seq uint64, until time.Duration) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, e := range b.events {
		if e.ev.Seq > seq && e.at <= until {
			out = append(out, e.ev)
		}
	}
	return out
}
