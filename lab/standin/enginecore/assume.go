// Package enginecore emulates a model engine: continuous batching, chunked
// prefill, limited KV memory, a prefix cache, priorities and orders. It takes
// the time as an argument and starts no goroutine, so that the stand-in server
// and the experiments in virtual time run the same code.
package enginecore

import "time"

// Assumptions are the step times and batch limits of an engine. The real step times
// are unknown, so every figure that depends on them is measured with Assumed(0.5),
// Assumed(1) and Assumed(2).
type Assumptions struct {
	// StepBase is the fixed cost of one step.
	StepBase time.Duration
	// PerPrefillToken is the cost of one prompt token in a step.
	PerPrefillToken time.Duration
	// PerDecode is the cost of one running stream in a step.
	PerDecode time.Duration
	// PerImportToken is the cost of importing one token of an exported KV cache.
	PerImportToken time.Duration
	// LoadModel is the time to load the weights of a model.
	LoadModel time.Duration
	// ChunkTokens bounds the prompt tokens of one step.
	ChunkTokens int
	// MaxBatch bounds the streams in one step.
	MaxBatch int
}

// Assumed returns the assumed step times, scaled by factor.
func Assumed(factor float64) Assumptions {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Assumptions{
		StepBase:        scale(6 * time.Millisecond),
		PerPrefillToken: scale(20 * time.Microsecond),
		PerDecode:       scale(100 * time.Microsecond),
		PerImportToken:  scale(500 * time.Nanosecond),
		LoadModel:       scale(2 * time.Second),
		ChunkTokens:     512,
		MaxBatch:        64,
	}
}

// KV memory sizes in tokens. The longest prompts (a million tokens) need more than
// twice the larger one.
const (
	SmallKV = 240_000
	LargeKV = 480_000
)
