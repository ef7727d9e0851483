package passes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/settings"
)

// Ranges from which Draw takes the parameters of a deployment: about a factor of two
// around the known deployments, either way. A rate is drawn as a utilization, the
// mean share of the engines' time that prefill and decode need.
const (
	minEngines, maxEngines         = 6, 40
	minReadPerMs, maxReadPerMs     = 110, 420
	minStep, maxStep               = 600 * time.Microsecond, 1500 * time.Microsecond
	minStride, maxStride           = 30, 80
	minUtilization, maxUtilization = 0.35, 0.6
	minDeepShare, maxDeepShare     = 0.2, 0.7
	minMemory, maxMemory           = 220_000, 600_000
	minDeepTokens, maxDeepTokens   = 120_000, 320_000
)

// Draw returns n random deployments that are determined by seed.
func Draw(n int, seed uint64) []Load {
	out := make([]Load, n)
	for i := range out {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		out[i] = drawLoad(r, fmt.Sprintf("drawn-%d-%d", seed, i))
	}
	return out
}

func drawLoad(r *rand.Rand, name string) Load {
	l := Load{
		Name: name, Instances: 3 + r.IntN(10), Bursts: 3, Engines: drawEngine(r),
		Hop: settings.Duration(time.Millisecond), Peers: settings.Duration(between(r, 0.8, 4) * float64(time.Millisecond)),
	}
	short := Kind{
		Name: "short", Prompt: Length{Mean: between(r, 2000, 8000), Sigma: 0.9, Max: 25_000}, Events: events(r, 20, 45),
		First: ms(between(r, 250, 500)), Pause: ms(between(r, 180, 330)), Deadline: ms(10_000), AnswerValue: 1.3, LateValue: 0.33,
	}
	mid := Kind{
		Name: "mid", Prompt: Length{Mean: between(r, 30_000, 60_000), Sigma: 0.5, Max: 130_000}, Events: events(r, 12, 28),
		First: ms(between(r, 1200, 2000)), Pause: ms(between(r, 450, 800)), Deadline: ms(10_000), AnswerValue: between(r, 2.5, 4.5), LateValue: 0.9,
	}
	deepTokens := between(r, minDeepTokens, maxDeepTokens)
	deep := Kind{
		Name: "deep", Prompt: Length{Mean: deepTokens, Sigma: 0.55, Max: 4.5 * deepTokens}, Events: events(r, 10, 24),
		First: ms(between(r, 2500, 4500)), Pause: ms(between(r, 700, 1200)), Deadline: ms(15_000), AnswerValue: between(r, 18, 32),
	}
	deep.LateValue = deep.AnswerValue / 4
	utilization, share := between(r, minUtilization, maxUtilization), between(r, minDeepShare, maxDeepShare)
	deep.PerSecond = l.Engines.rate(deep, utilization*share)
	mid.PerSecond = l.Engines.rate(mid, utilization*0.1)
	short.PerSecond = l.Engines.rate(short, utilization*(0.9-share))
	burstFactor := between(r, 1, 2.8)
	short.Bursts = []float64{0.35, burstFactor, 0.35}
	mid.Bursts = []float64{1.3, 0.5, 1.3}
	deep.Bursts = []float64{burstFactor, 0.05, burstFactor}
	if r.IntN(2) == 0 {
		short.Bursts, deep.Bursts = deep.Bursts, short.Bursts
	}
	l.Kinds = []Kind{short, mid, deep}
	return l
}

func drawEngine(r *rand.Rand) Engine {
	speed := logBetween(r, minReadPerMs, maxReadPerMs)
	return Engine{
		Count: minEngines + r.IntN(maxEngines-minEngines), Slots: 8 + 4*r.IntN(5), Memory: int64(between(r, minMemory, maxMemory)),
		Step:          settings.Duration(between(r, float64(minStep), float64(maxStep))),
		StepPerWriter: settings.Duration(between(r, 3, 7) * 1000), StepPerThousand: settings.Duration(between(r, 2, 4) * 1000),
		ReadPerSecond: speed * 1000, PairsPerMillion: settings.Duration(between(r, 16, 34) / speed * float64(time.Millisecond)),
		Chunk: int64(1024 * (1 + r.IntN(3))), Stride: minStride + r.IntN(maxStride-minStride), MeanAnswer: 1600,
	}
}

// rate returns the request rate at which a kind needs the given share of the engines'
// time. An engine in prefill does nothing else; one in decode serves all of its slots
// at once.
func (e Engine) rate(k Kind, utilization float64) float64 {
	spec := e.spec()
	sq := math.Exp(k.Prompt.Sigma * k.Prompt.Sigma)
	read := k.Prompt.Mean/spec.PrefillTokensPerSecond + k.Prompt.Mean*k.Prompt.Mean*sq/2e6*spec.TimePerMillionPairs.Seconds()
	step := spec.Step + time.Duration(spec.Slots)*(spec.StepPerSequence+time.Duration(k.Prompt.Mean)*spec.StepPerThousandTokens/1000)
	write := k.Events.Mean * float64(spec.StepsPerPass) * step.Seconds() / float64(spec.Slots)
	return utilization * float64(e.Count) / (read + write)
}

func between(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

func logBetween(r *rand.Rand, low, high float64) float64 {
	return math.Exp(between(r, math.Log(low), math.Log(high)))
}

func events(r *rand.Rand, low, high float64) Length {
	mean := between(r, low, high)
	return Length{Mean: mean, Sigma: 0.6, Max: 2.5 * mean}
}

func ms(v float64) settings.Duration { return settings.Duration(v * float64(time.Millisecond)) }
