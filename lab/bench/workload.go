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

// modelName is the only model that the emulated engines serve.
const modelName = "model@v1"

// Arrival is a generated request and its arrival time.
type Arrival struct {
	At            time.Duration
	Job           *peerpb.Job
	NonRepeatable bool
	Kind          string
	Class         Class
	chain         []uint64
}

// Class is a range of prompt lengths.
type Class string

// The classes, named by their range in prompt tokens.
const (
	Short  Class = "1k-8k"
	Medium Class = "8k-32k"
	Large  Class = "32k-100k"
	Long   Class = "100k-480k"
	Huge   Class = "480k-1M"
)

// Classes lists the classes by increasing prompt length.
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

// IsLong reports whether a class is above 100k tokens, as are 2% of the requests
// of both mixes.
func (c Class) IsLong() bool { return c == Long || c == Huge }

// Source describes one kind of request; Fraction is its share of the mix, Min and
// Max bound the prompt tokens.
type Source struct {
	Kind          string
	Fraction      float64
	Min, Max      float64
	Output        int64
	Limit         time.Duration
	Target        time.Duration
	NonRepeatable bool
}

// Mix is the traffic of a site: its sources and the weights of its customers.
type Mix struct {
	Sources   []Source
	Customers []int64
}

// TePuna is the traffic of the marking router: queries, drafts, portfolio
// reviews and appeal reviews; one request in fifty exceeds 100k tokens.
var TePuna = Mix{
	Sources: []Source{
		{Kind: "essay-query", Fraction: 0.70, Min: 1_000, Max: 8_000, Output: 60, Limit: 30 * time.Second, Target: time.Second},
		{Kind: "draft", Fraction: 0.20, Min: 4_000, Max: 32_000, Output: 200, Limit: time.Minute, Target: 2 * time.Second},
		{Kind: "appeal-review", Fraction: 0.08, Min: 10_000, Max: 100_000, Output: 200, Limit: 10 * time.Minute, Target: 10 * time.Minute, NonRepeatable: true},
		{Kind: "portfolio-review", Fraction: 0.02, Min: 100_001, Max: 1_000_000, Output: 200, Limit: 10 * time.Minute, Target: 10 * time.Minute},
	},
	Customers: []int64{8, 6, 4, 2, 1, 1, 1, 1, 1, 1},
}

// Thistlegate is the traffic of the bug tracker: triage summaries, crash-log
// digests and whole-project reviews.
var Thistlegate = Mix{
	Sources: []Source{
		{Kind: "triage", Fraction: 0.65, Min: 1_000, Max: 5_000, Output: 80, Limit: 20 * time.Second, Target: time.Second},
		{Kind: "crash-digest", Fraction: 0.28, Min: 4_000, Max: 64_000, Output: 150, Limit: time.Minute, Target: 5 * time.Second},
		{Kind: "ticket-history", Fraction: 0.05, Min: 10_000, Max: 100_000, Output: 150, Limit: 5 * time.Minute, Target: 5 * time.Minute},
		{Kind: "milestone-review", Fraction: 0.02, Min: 100_001, Max: 1_000_000, Output: 300, Limit: 10 * time.Minute, Target: 10 * time.Minute},
	},
	Customers: []int64{8, 8, 4, 2, 1, 1, 1, 1, 1, 1},
}

// decodeBatch is the assumed number of streams per decode step in the capacity
// estimate.
const decodeBatch = 8

// ServiceTime estimates the engine time of a request.
func ServiceTime(a enginecore.Assumptions, prompt float64, output int64) time.Duration {
	perToken := float64(a.PerPrefillToken) + float64(a.StepBase)/float64(a.ChunkTokens)
	perOutput := float64(a.PerDecode) + float64(a.StepBase)/decodeBatch
	return time.Duration(prompt*perToken + float64(output)*perOutput)
}

// Capacity is the rate in requests per second that fully utilizes the engines,
// ignoring cached prefixes.
func (m Mix) Capacity(a enginecore.Assumptions, engines int) float64 {
	mean := 0.0
	for _, s := range m.Sources {
		mean += s.Fraction * ServiceTime(a, logUniformMean(s.Min, s.Max), s.Output).Seconds()
	}
	return float64(engines) / mean
}

func logUniformMean(lo, hi float64) float64 { return (hi - lo) / math.Log(hi/lo) }

// Generate draws Poisson arrivals over d at rate requests per second. Each
// source has its own random sequence, so excluding one does not change the
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
			at += r.ExpFloat64() / (rate * s.Fraction)
			if at > d.Seconds() {
				break
			}
			out = append(out, m.draw(r, s, i, n, time.Duration(at*float64(time.Second))))
		}
	}
	return out
}

// sharedPrefixShare is the share of requests that begin with one of their
// customer's shared documents.
const (
	sharedPrefixShare = 0.5
	docsPerCustomer   = 4
	maxSharedBlocks   = 6
)

func (m Mix) draw(r *rand.Rand, s Source, source, n int, at time.Duration) Arrival {
	prompt := int64(math.Exp(math.Log(s.Min) + r.Float64()*(math.Log(s.Max)-math.Log(s.Min))))
	c := m.drawCustomer(r)
	a := Arrival{At: at, NonRepeatable: s.NonRepeatable, Kind: s.Kind, Class: classOf(prompt)}
	a.chain = drawChain(r, c, prompt, uint64(source)<<32|uint64(n))
	a.Job = &peerpb.Job{
		Id: fmt.Sprintf("r~%d~%d", source, n), Customer: fmt.Sprintf("customer-%d", c), Model: modelName,
		PromptTokens: prompt, MaxTokens: s.Output, Prefix: prefix.Sample(a.chain),
		RemainingUs: s.Limit.Microseconds(), TargetUs: s.Target.Microseconds(), Weight: m.Customers[c],
	}
	return a
}

func (m Mix) drawCustomer(r *rand.Rand) int {
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

// drawChain generates the block hashes of a prompt.
func drawChain(r *rand.Rand, customer int, prompt int64, id uint64) []uint64 {
	chain := make([]uint64, prompt/prefix.TokensPerBlock)
	shared := 0
	doc := uint64(customer)<<8 | uint64(r.IntN(docsPerCustomer))
	if r.Float64() < sharedPrefixShare {
		shared = min(1+int(doc%maxSharedBlocks), len(chain))
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

// engineRequest builds the engine request for a start action.
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
