// Package load generates load against running instances and checks every
// response. Request count, duration and concurrency are bounded.
package load

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// Options configure a run.
type Options struct {
	// Entries are the caller-facing addresses of the entry instances.
	Entries []string
	// Direct is the address of an engine that receives every second request
	// without an entry in between, for comparison; empty for none.
	Direct string
	// DirectModel is the loaded model version to request from Direct.
	DirectModel string
	Key         string
	Model       string
	Kind        string
	// Rate is in requests per second; Count and Duration bound the run.
	Rate     float64
	Count    int
	Duration time.Duration
	// MinTokens and MaxTokens bound the prompt lengths, drawn log-uniformly;
	// one in LongEvery is drawn between 100k and LongTokens instead.
	MinTokens, MaxTokens int
	LongEvery            int
	LongTokens           int
	Output               int64
	Stream               bool
	// Service is a plain service to call instead of a model.
	Service string
	// Repeat is how many times each service call is sent with the same
	// Idempotency-Key.
	Repeat int
	// InFlight bounds the concurrent requests; arrivals beyond it are counted
	// as not sent.
	InFlight int
	Seed     uint64
}

// Target names the receiver of a request.
type Target string

// Targets of a comparison run.
const (
	ThroughEntry   Target = "entry"
	DirectToEngine Target = "direct"
)

// lengthClass is a range of prompt lengths with an upper bound in tokens.
type lengthClass struct {
	Name string
	Max  int
}

var lengthClasses = []lengthClass{{"<=8k", 8_000}, {"<=32k", 32_000}, {"<=100k", 100_000}, {"<=480k", 480_000}, {">480k", math.MaxInt}}

func lengthClassOf(tokens int) string {
	for _, c := range lengthClasses {
		if tokens <= c.Max {
			return c.Name
		}
	}
	return ""
}

// Bounds of the histograms in microseconds.
const (
	histMin    = 1
	histMax    = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

// Result holds the counts and latencies of one target.
type Result struct {
	Sent     int
	Answered int
	// Wrong counts complete responses with unexpected content.
	Wrong int
	// RepeatedExecutions counts responses that show a further execution of the same
	// idempotency key.
	RepeatedExecutions int
	Errors             map[string]int
	First              map[string]*hdrhistogram.Histogram
	Total              *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{Errors: map[string]int{}, First: map[string]*hdrhistogram.Histogram{}, Total: hdrhistogram.New(histMin, histMax, histDigits)}
}

// Report is the outcome of a run.
type Report struct {
	Options Options
	Took    time.Duration
	// NotSent counts arrivals dropped because InFlight was reached.
	NotSent int
	Results map[Target]*Result
}

// Failed reports whether a response was wrong or a key was executed more than
// once; errors do not count.
func (r *Report) Failed() bool {
	for _, x := range r.Results {
		if x.Wrong > 0 || x.RepeatedExecutions > 0 {
			return true
		}
	}
	return false
}

type runner struct {
	o      Options
	client *client
	mu     sync.Mutex
	report *Report
	bodies map[string]string // last response body by idempotency key
}

// Run sends the load and waits for every response.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &runner{o: o, client: newClient(o), bodies: map[string]string{}, report: &Report{Options: o, Results: map[Target]*Result{ThroughEntry: newResult()}}}
	if o.Direct != "" {
		r.report.Results[DirectToEngine] = newResult()
	}
	began := time.Now()
	err := r.send(ctx)
	r.report.Took = time.Since(began)
	return r.report, err
}

func (r *runner) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.o.Duration+5*time.Minute)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(r.o.Rate), max(1, int(r.o.Rate/100)))
	rnd := rand.New(rand.NewPCG(r.o.Seed, 1))
	slots := make(chan struct{}, r.o.InFlight)
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; n < r.o.Count && time.Since(began) < r.o.Duration; n++ {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		job := r.draw(rnd, n)
		select {
		case slots <- struct{}{}:
		default:
			r.report.NotSent++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.execute(ctx, job)
		})
	}
	wg.Wait()
	return ctx.Err()
}

// request is one randomly drawn request.
type request struct {
	n      int
	target Target
	tokens int
	prompt string
	key    string
}

const wordBytes = 8

func (r *runner) draw(rnd *rand.Rand, n int) request {
	tokens := logUniform(rnd, r.o.MinTokens, r.o.MaxTokens)
	if r.o.LongEvery > 0 && n%r.o.LongEvery == r.o.LongEvery-1 {
		tokens = logUniform(rnd, 100_000, r.o.LongTokens)
	}
	req := request{n: n, target: ThroughEntry, tokens: tokens}
	if r.o.Direct != "" && n%2 == 1 {
		req.target = DirectToEngine
	}
	if r.o.Service != "" {
		req.key = randomWord(rnd)
		return req
	}
	word := randomWord(rnd)
	req.prompt = word + strings.Repeat(word, max(0, tokens*4/wordBytes-1))
	return req
}

func logUniform(r *rand.Rand, lo, hi int) int {
	if hi <= lo {
		return lo
	}
	return int(float64(lo) * math.Pow(float64(hi)/float64(lo), r.Float64()))
}

func randomWord(r *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	b := make([]byte, wordBytes)
	for i := range b {
		b[i] = letters[r.IntN(len(letters))]
	}
	return string(b)
}

func (r *runner) execute(ctx context.Context, req request) {
	if r.o.Service != "" {
		r.callRepeatedly(ctx, req)
		return
	}
	var a callResult
	if req.target == DirectToEngine {
		a = r.client.completeDirect(ctx, req)
	} else {
		a = r.client.complete(ctx, req)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(req, a)
}

func (r *runner) record(req request, a callResult) {
	res := r.report.Results[req.target]
	res.Sent++
	if a.err != "" {
		res.Errors[a.err]++
		return
	}
	res.Answered++
	if !a.correct {
		res.Wrong++
	}
	c := lengthClassOf(req.tokens)
	if res.First[c] == nil {
		res.First[c] = hdrhistogram.New(histMin, histMax, histDigits)
	}
	_ = res.First[c].RecordValue(a.first.Microseconds())
	_ = res.Total.RecordValue(a.total.Microseconds())
}

// callRepeatedly sends the same idempotency key several times; successful
// responses that differ are counted as doubled executions.
func (r *runner) callRepeatedly(ctx context.Context, req request) {
	for range max(1, r.o.Repeat) {
		a := r.client.callService(ctx, req)
		r.mu.Lock()
		r.record(req, a)
		if a.err == "" && req.key != "" {
			if other, ok := r.bodies[req.key]; ok && other != a.body {
				r.report.Results[ThroughEntry].RepeatedExecutions++
			}
			r.bodies[req.key] = a.body
		}
		r.mu.Unlock()
	}
}
