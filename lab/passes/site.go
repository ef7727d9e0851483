package passes

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Kind is a kind of request of a site.
type Kind struct {
	Name string
	// PerSecond is the mean rate without bursts.
	PerSecond float64
	// Prompt and Events are the means of log-normal lengths, with their spreads
	// and largest values.
	Prompt, PromptSpread, PromptMost float64
	Events, EventsSpread, EventsMost float64
	// First and Gap are the useful times; Deadline is when the client gives up.
	First, Gap, Deadline time.Duration
	// Worth and LateWorth are the mean values of an answer in and out of time.
	Worth, LateWorth float64
	// Bursts are factors of the rate in the thirds of a run.
	Bursts [3]float64
}

// Site is a load and the engines that serve it.
type Site struct {
	Name    string
	Engines int
	Kinds   []Kind
}

// eventTokens is the number of tokens of one event: a stride.
const eventTokens = 51

// engineSpec is that of both sites.
var engineSpec = &route.Engine{
	Slots: 16, Memory: 315_000, Step: 850 * time.Microsecond, StepPerWriter: 4250 * time.Nanosecond, StepPerThousand: 2850 * time.Nanosecond,
	ReadPerSecond: 177_000, PairsPerMillion: 184 * time.Microsecond, Chunk: 2048, Stride: eventTokens, UsualAnswer: 1622,
}

func kinds(short, mid, deep float64) []Kind {
	return []Kind{
		{Name: "short", PerSecond: short, Prompt: 5000, PromptSpread: 0.9, PromptMost: 23_800, Events: 32.9, EventsSpread: 0.7, EventsMost: 82,
			First: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.33, Bursts: [3]float64{0.35, 2.4, 0.35}},
		{Name: "mid", PerSecond: mid, Prompt: 45_000, PromptSpread: 0.5, PromptMost: 110_000, Events: 19.7, EventsSpread: 0.6, EventsMost: 49,
			First: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Worth: 4.2, LateWorth: 1, Bursts: [3]float64{1.3, 0.5, 1.3}},
		{Name: "deep", PerSecond: deep, Prompt: 154_000, PromptSpread: 0.55, PromptMost: 700_000, Events: 16.5, EventsSpread: 0.5, EventsMost: 41,
			First: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Worth: 21, LateWorth: 5.2, Bursts: [3]float64{2.6, 0.05, 2.8}},
	}
}

// Sites are the loads of the two users, from their sheets.
func Sites() []Site {
	return []Site{
		{Name: "tepuna", Engines: 21, Kinds: kinds(42.9*0.8, 2.18*0.8, 1.32*0.8)},
		{Name: "thistlegate", Engines: 16, Kinds: kinds(32.6*0.85, 1.66*0.85, 0.998*0.85)},
	}
}

// draw returns a log-normal length of the given mean.
func draw(r *rand.Rand, mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// worth is the value of an answer in proportion to its prompt, at most four
// times the mean.
func (k Kind) worth(prompt int64, base float64) float64 {
	return min(4*base, base*(0.3+0.7*float64(prompt)/k.Prompt))
}

// patience is the silence after which a client gives a stream up.
func (k Kind) patience() time.Duration {
	return max(2*time.Second, 4*k.First, 8*k.Gap)
}
