package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// modelName is the one model that the emulated engines serve.
const modelName = "model@v1"

// Arrival is a request to come.
type Arrival struct {
	At    time.Duration
	Job   *peerpb.Job
	Once  bool
	Kind  string
	Class Class
	chain []uint64
}

// Class groups requests by prompt length.
type Class string

// The classes and the prompt tokens at which they begin.
const (
	Short  Class = "1k-8k"
	Medium Class = "8k-32k"
	Large  Class = "32k-100k"
	Long   Class = "100k-480k"
	Huge   Class = "480k-1M"
)

// Classes lists the classes in order.
var Classes = []Class{Short, Medium, Large, Long, Huge}

// classOf returns the class of a prompt length.
func classOf(tokens int64) Class {
	switch {
	case tokens <= 8_000:
		return Short
	case tokens <= 32_000:
		return Medium
	case tokens <= 100_000:
		return Large
	case tokens <= enginecore.LargeKV:
		return Long
	default:
		return Huge
	}
}

// IsLong reports whether a class is of the one in fifty over 100k tokens.
func (c Class) IsLong() bool { return c == Long || c == Huge }

// Source is one kind of request in a mix.
type Source struct {
	Kind     string
	Part     float64
	Min, Max float64
	Output   int64
	Limit    time.Duration
	Target   time.Duration
	Once     bool
}

// Mix is the traffic of a site.
type Mix struct {
	Sources   []Source
	Customers []int64
}

// TePuna is the traffic of the marking router: queries, drafts, portfolio
// reviews and appeal reviews; one request in fifty exceeds 100k tokens.
var TePuna = Mix{
	Sources: []Source{
		{Kind: "essay-query", Part: 0.70, Min: 1_000, Max: 8_000, Output: 60, Limit: 30 * time.Second, Target: time.Second},
		{Kind: "draft", Part: 0.20, Min: 4_000, Max: 32_000, Output: 200, Limit: time.Minute, Target: 2 * time.Second},
		{Kind: "appeal-review", Part: 0.08, Min: 10_000, Max: 100_000, Output: 200, Limit: 10 * time.Minute, Target: 10 * time.Minute, Once: true},
		{Kind: "portfolio-review", Part: 0.02, Min: 100_001, Max: 1_000_000, Output: 200, Limit: 10 * time.Minute, Target: 10 * time.Minute},
	},
	Customers: []int64{8, 6, 4, 2, 1, 1, 1, 1, 1, 1},
}

// Thistlegate is the traffic of the bug tracker: triage summaries, crash-log
// digests and whole-project reviews.
var Thistlegate = Mix{
	Sources: []Source{
		{Kind: "triage", Part: 0.65, Min: 1_000, Max: 5_000, Output: 80, Limit: 20 * time.Second, Target: time.Second},
		{Kind: "crash-digest", Part: 0.28, Min: 4_000, Max: 64_000, Output: 150, Limit: time.Minute, Target: 5 * time.Second},
		{Kind: "ticket-history", Part: 0.05, Min: 10_000, Max: 100_000, Output: 150, Limit: 5 * time.Minute, Target: 5 * time.Minute},
		{Kind: "milestone-review", Part: 0.02, Min: 100_001, Max: 1_000_000, Output: 300, Limit: 10 * time.Minute, Target: 10 * time.Minute},
	},
	Customers: []int64{8, 8, 4, 2, 1, 1, 1, 1, 1, 1},
}

// decodeBatch is the number of streams assumed to share a step when capacity
// is computed.
const decodeBatch = 8

// ServiceTime is the engine time that a request of this shape takes.
func ServiceTime(a enginecore.Assumptions, prompt float64, output int64) time.Duration {
	perToken := float64(a.PerPrefillToken) + float64(a.StepBase)/float64(a.ChunkTokens)
	perOutput := float64(a.PerDecode) + float64(a.StepBase)/decodeBatch
	return time.Duration(prompt*perToken + float64(output)*perOutput)
}

// Capacity is the rate of requests a second at which the engines are just
// busy, ignoring cached prefixes.
func (m Mix) Capacity(a enginecore.Assumptions, engines int) float64 {
	mean := 0.0
	for _, s := range m.Sources {
		mean += s.Part * ServiceTime(a, logUniformMean(s.Min, s.Max), s.Output).Seconds()
	}
	return float64(engines) / mean
}

func logUniformMean(lo, hi float64) float64 { return (hi - lo) / math.Log(hi/lo) }

// Generate draws the arrivals of duration at rate requests a second. Each
// source has its own random sequence, so leaving one out does not change the
// others.
func (m Mix) Generate(seed uint64, rate float64, d time.Duration, keep func(Source) bool) []Arrival {
	var out []Arrival
	for i, s := range m.Sources {
		if !keep(s) {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		at := 0.0
		for n := 0; ; n++ {
			at += r.ExpFloat64() / (rate * s.Part)
			if at > d.Seconds() {
				break
			}
			out = append(out, m.draw(r, s, i, n, time.Duration(at*float64(time.Second))))
		}
	}
	return out
}

// sharedPrefix is the part of requests that begin with one of their customer's
// common documents.
const (
	sharedPrefix   = 0.5
	docsPerOwner   = 4
	maxSharedBlock = 6
)

func (m Mix) draw(r *rand.Rand, s Source, source, n int, at time.Duration) Arrival {
	prompt := int64(math.Exp(math.Log(s.Min) + r.Float64()*(math.Log(s.Max)-math.Log(s.Min))))
	c := m.customer(r)
	a := Arrival{At: at, Once: s.Once, Kind: s.Kind, Class: classOf(prompt)}
	a.chain = drawChain(r, c, prompt, uint64(source)<<32|uint64(n))
	a.Job = &peerpb.Job{
		Id: fmt.Sprintf("r~%d~%d", source, n), Customer: fmt.Sprintf("customer-%d", c), Model: modelName,
		PromptTokens: prompt, MaxTokens: s.Output, Prefix: prefix.Sample(a.chain),
		RemainingUs: s.Limit.Microseconds(), TargetUs: s.Target.Microseconds(), Weight: m.Customers[c],
	}
	return a
}

func (m Mix) customer(r *rand.Rand) int {
	total := int64(0)
	for _, w := range m.Customers {
		total += w
	}
	x := r.Int64N(total)
	for i, w := range m.Customers {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// drawChain makes up the block hashes of a prompt.
func drawChain(r *rand.Rand, customer int, prompt int64, id uint64) []uint64 {
	chain := make([]uint64, prompt/prefix.TokensPerBlock)
	shared := 0
	doc := uint64(customer)<<8 | uint64(r.IntN(docsPerOwner))
	if r.Float64() < sharedPrefix {
		shared = min(1+int(doc%maxSharedBlock), len(chain))
	}
	for i := range chain {
		if i < shared {
			chain[i] = doc<<16 | uint64(i) | 1<<63
			continue
		}
		chain[i] = id<<16 | uint64(i)
	}
	return chain
}

// engineRequest is what an engine gets for a start.
func (o *Outcome) engineRequest(a dispatch.Start, id string) enginecore.Request {
	req := enginecore.Request{
		ID: id, Attempt: a.Attempt, Priority: a.Priority,
		PromptTokens: o.Job.PromptTokens, MaxTokens: o.Job.MaxTokens, Chain: o.chain,
	}
	if a.Segment == nil {
		return req
	}
	req.Chain, req.PromptTokens = nil, a.Segment.ToToken-a.Segment.FromToken
	req.ImportTokens = a.Segment.FromToken
	if !a.Segment.Last {
		req.Hold, req.MaxTokens = true, 0
	}
	return req
}
