package passes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/settings"
)

// Ranges from which Draw takes a deployment; around the known ones by a factor
// of about two either way. A rate is drawn as the share of the engines' time
// that reading and writing ask for on the mean of a run.
const (
	leastEngines, mostEngines   = 6, 40
	leastReadPerMs, mostReadMs  = 110, 420
	leastStep, mostStep         = 600 * time.Microsecond, 1500 * time.Microsecond
	leastStride, mostStride     = 30, 80
	leastUse, mostUse           = 0.35, 0.6
	leastDeepShare, mostDeep    = 0.2, 0.7
	leastMemory, mostMemory     = 220_000, 600_000
	leastDeepTokens, mostTokens = 120_000, 320_000
)

// Draw returns n deployments that follow from a seed.
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
		Name: "short", Prompt: Length{Mean: between(r, 2000, 8000), Spread: 0.9, Most: 25_000}, Events: events(r, 20, 45),
		First: ms(between(r, 250, 500)), Pause: ms(between(r, 180, 330)), Deadline: ms(10_000), Worth: 1.3, LateWorth: 0.33,
	}
	mid := Kind{
		Name: "mid", Prompt: Length{Mean: between(r, 30_000, 60_000), Spread: 0.5, Most: 130_000}, Events: events(r, 12, 28),
		First: ms(between(r, 1200, 2000)), Pause: ms(between(r, 450, 800)), Deadline: ms(10_000), Worth: between(r, 2.5, 4.5), LateWorth: 0.9,
	}
	deepTokens := between(r, leastDeepTokens, mostTokens)
	deep := Kind{
		Name: "deep", Prompt: Length{Mean: deepTokens, Spread: 0.55, Most: 4.5 * deepTokens}, Events: events(r, 10, 24),
		First: ms(between(r, 2500, 4500)), Pause: ms(between(r, 700, 1200)), Deadline: ms(15_000), Worth: between(r, 18, 32),
	}
	deep.LateWorth = deep.Worth / 4
	use, share := between(r, leastUse, mostUse), between(r, leastDeepShare, mostDeep)
	deep.PerSecond = l.Engines.rate(deep, use*share)
	mid.PerSecond = l.Engines.rate(mid, use*0.1)
	short.PerSecond = l.Engines.rate(short, use*(0.9-share))
	swing := between(r, 1, 2.8)
	short.Bursts = []float64{0.35, swing, 0.35}
	mid.Bursts = []float64{1.3, 0.5, 1.3}
	deep.Bursts = []float64{swing, 0.05, swing}
	if r.IntN(2) == 0 {
		short.Bursts, deep.Bursts = deep.Bursts, short.Bursts
	}
	l.Kinds = []Kind{short, mid, deep}
	return l
}

func drawEngine(r *rand.Rand) Engine {
	speed := logBetween(r, leastReadPerMs, mostReadMs)
	return Engine{
		Count: leastEngines + r.IntN(mostEngines-leastEngines), Slots: 8 + 4*r.IntN(5), Memory: int64(between(r, leastMemory, mostMemory)),
		Step:          settings.Duration(between(r, float64(leastStep), float64(mostStep))),
		StepPerWriter: settings.Duration(between(r, 3, 7) * 1000), StepPerThousand: settings.Duration(between(r, 2, 4) * 1000),
		ReadPerSecond: speed * 1000, PairsPerMillion: settings.Duration(between(r, 16, 34) / speed * float64(time.Millisecond)),
		Chunk: int64(1024 * (1 + r.IntN(3))), Stride: leastStride + r.IntN(mostStride-leastStride), UsualAnswer: 1600,
	}
}

// rate is the rate at which a kind asks for a share of the engines' time: an
// engine that reads does nothing else, one that writes does so for all of its
// slots at once.
func (e Engine) rate(k Kind, use float64) float64 {
	spec := e.spec()
	sq := math.Exp(k.Prompt.Spread * k.Prompt.Spread)
	read := k.Prompt.Mean/spec.PrefillTokensPerSecond + k.Prompt.Mean*k.Prompt.Mean*sq/2e6*spec.TimePerMillionPairs.Seconds()
	step := spec.Step + time.Duration(spec.Slots)*(spec.StepPerSequence+time.Duration(k.Prompt.Mean)*spec.StepPerThousandTokens/1000)
	write := k.Events.Mean * float64(spec.StepsPerPass) * step.Seconds() / float64(spec.Slots)
	return use * float64(e.Count) / (read + write)
}

func between(r *rand.Rand, least, most float64) float64 { return least + r.Float64()*(most-least) }

func logBetween(r *rand.Rand, least, most float64) float64 {
	return math.Exp(between(r, math.Log(least), math.Log(most)))
}

func events(r *rand.Rand, least, most float64) Length {
	mean := between(r, least, most)
	return Length{Mean: mean, Spread: 0.6, Most: 2.5 * mean}
}

func ms(v float64) settings.Duration { return settings.Duration(v * float64(time.Millisecond)) }
