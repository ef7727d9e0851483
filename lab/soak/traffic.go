package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
)

// Traffic of a run.
const (
	callers  = 8
	deadline = 5 * time.Second
	// patience is what a caller waits beyond its deadline for a final answer.
	patience = 3 * time.Second
	// keepAddresses is how long callers use the addresses that they were told.
	keepAddresses = time.Second
	// pause is the longest time between two requests of a caller.
	pause = 60 * time.Millisecond
	// probeEvery is how often each instance is asked which configuration is in force.
	probeEvery = 100 * time.Millisecond
	// probeTimeout bounds such a question.
	probeTimeout = time.Second
	// Lengths of prompts in tokens; deep ones need two engines.
	usualPrompt, deepPrompt = 900, 150_000
)

// sort is a sort of request.
type sort struct {
	path         string
	promptTokens int
	// once marks requests that run at most once.
	once  bool
	share int
}

// sorts are what callers send, with shares of a hundred.
var sorts = []sort{
	{path: askPath, promptTokens: usualPrompt, share: 45},
	{path: askPath, promptTokens: deepPrompt, share: 5},
	{path: lookPath, share: 25},
	{path: printPath, once: true, share: 25},
}

// record is one request and what became of it.
type record struct {
	id   string
	sort sort
	// probe is the number of the added route that was asked for, or -1.
	probe int
	at    *instance
	// life is that of the instance when it was sent.
	life int
	sent time.Time
	done time.Time
	caller.Answer
}

// traffic is what callers send and get.
type traffic struct {
	site  *site
	fleet *fleet
	seed  uint64
	sent  atomic.Int64
	mu    sync.Mutex
	got   []record
}

func (t *traffic) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { t.call(ctx, i) })
	}
	for _, in := range t.fleet.instances {
		wg.Go(func() { t.probe(ctx, in) })
	}
	wg.Wait()
}

func pick(r *rand.Rand) sort {
	n := r.IntN(100)
	for _, s := range sorts {
		if n -= s.share; n < 0 {
			return s
		}
	}
	return sorts[0]
}

// call is one caller: it keeps its connections and asks for addresses as they are told to.
func (t *traffic) call(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(t.seed, uint64(i)+10))
	c := caller.New()
	defer c.Close()
	var addrs []string
	var until time.Time
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if told := t.addresses(ctx, c, r); len(told) > 0 {
				addrs, until = told, time.Now().Add(keepAddresses)
			}
		}
		if in := t.instanceOf(addrs, r); in != nil {
			t.send(ctx, c, in, pick(r), -1)
		}
		time.Sleep(time.Duration(r.Int64N(int64(pause))))
	}
}

func (t *traffic) addresses(ctx context.Context, c *caller.Caller, r *rand.Rand) []string {
	in := t.fleet.instances[r.IntN(len(t.fleet.instances))]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// A directory that does not answer is one of several.
	addrs, _ := c.Addresses(ctx, in.directory, host, in.dataCentre)
	return addrs
}

func (t *traffic) instanceOf(addrs []string, r *rand.Rand) *instance {
	if len(addrs) == 0 {
		return nil
	}
	addr := addrs[r.IntN(len(addrs))]
	for _, in := range t.fleet.instances {
		if in.caller == addr {
			return in
		}
	}
	return nil
}

// probe asks one instance for routes that were added.
func (t *traffic) probe(ctx context.Context, in *instance) {
	r := rand.New(rand.NewPCG(t.seed, 5))
	c := caller.New()
	defer c.Close()
	for ctx.Err() == nil {
		if n := t.site.newest(); n > 0 {
			k := n - 1
			if r.IntN(3) == 0 {
				k = r.IntN(n)
			}
			t.send(ctx, c, in, sort{path: addedPath(k)}, k)
		}
		time.Sleep(probeEvery)
	}
}

func (t *traffic) send(ctx context.Context, c *caller.Caller, in *instance, s sort, probe int) {
	n := t.sent.Add(1)
	rec := record{id: fmt.Sprintf("q%d-%d", t.seed, n), sort: s, probe: probe, at: in}
	rec.life, _ = in.now()
	limit := deadline
	if probe >= 0 {
		limit = probeTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit+patience)
	defer cancel()
	rec.sent = time.Now()
	rec.Answer = c.Send(ctx, in.front.addr(), caller.Request{
		ID: rec.id, Host: host, Path: fmt.Sprint(s.path, n), Key: key, Body: rec.id, PromptTokens: s.promptTokens, Deadline: limit,
	})
	rec.done = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, rec)
}

// deadlyPause is the time between two tries of a request that crashes engines.
const deadlyPause = 100 * time.Millisecond

// deadly repeats one request that crashes engines, at any instance, for a while.
func (t *traffic) deadly(f Fault) {
	r := rand.New(rand.NewPCG(f.Pick, 6))
	c := caller.New()
	defer c.Close()
	for until := time.Now().Add(f.For.Std()); time.Now().Before(until); time.Sleep(deadlyPause) {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		in := t.fleet.instances[r.IntN(len(t.fleet.instances))]
		c.Send(ctx, in.front.addr(), caller.Request{
			ID: fmt.Sprintf("d%d-%d", t.seed, t.sent.Add(1)), Host: host, Path: askPath + "deadly", Key: key, Body: deadlyBody,
			PromptTokens: usualPrompt, Deadline: deadline,
		})
		cancel()
	}
}
