// Package prefix computes the block hashes of a prompt, by which engines and
// schedulers identify shared prompt prefixes.
//
// Hash i covers the prompt up to the end of block i, so two prompts with an equal
// hash have the same prefix up to that block. A scheduler therefore needs only a
// geometric sample of the hashes: about 20 for a million tokens.
package prefix

import "github.com/cespare/xxhash/v2"

// Sizes of a token, as estimated without a tokenizer, and of a cache block.
const (
	BytesPerToken  = 4
	TokensPerBlock = 1024
	blockBytes     = BytesPerToken * TokensPerBlock
)

// EstimateTokens estimates the number of tokens of a prompt of n bytes.
func EstimateTokens(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// Chain returns the cumulative hash at the end of every full block.
func Chain(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/blockBytes)
	d := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		out = append(out, d.Sum64())
	}
	return out
}

// Sample returns the hashes of chain at the block counts given by SampleBlocks.
func Sample(chain []uint64) []uint64 {
	var out []uint64
	for i := 0; SampleBlocks(i) <= len(chain); i++ {
		out = append(out, chain[SampleBlocks(i)-1])
	}
	return out
}

// SampleBlocks returns the number of blocks that sample i covers: 1, 2, 3, 4, 6,
// 8, 12, 16, ...
func SampleBlocks(i int) int {
	if i == 0 {
		return 1
	}
	base := 1 << ((i + 1) / 2)
	if i%2 == 0 {
		return base + base/2
	}
	return base
}

// CachedTokens returns the length of the longest sampled prefix that is cached.
func CachedTokens(sample []uint64, cached func(uint64) bool) int64 {
	for i := len(sample) - 1; i >= 0; i-- {
		if cached(sample[i]) {
			return int64(SampleBlocks(i) * TokensPerBlock)
		}
	}
	return 0
}
