package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
)

// Traffic of a run.
const (
	callerCount = 8
	deadline    = 5 * time.Second
	// answerPatience is how long a caller waits past its deadline for a final answer.
	answerPatience = 3 * time.Second
	// addressTTL is how long callers use resolved addresses.
	addressTTL = time.Second
	// maxPause bounds the time between two requests of a caller.
	maxPause = 60 * time.Millisecond
	// probeInterval is how often each instance is probed for an added route.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe and an address lookup.
	probeTimeout = time.Second
	// Prompt lengths in tokens; a long prompt needs two engines.
	normalPrompt, longPrompt = 900, 150_000
)

// requestKind is a kind of request and its part of the traffic.
type requestKind struct {
	path         string
	promptTokens int
	// atMostOnce marks non-repeatable requests.
	atMostOnce bool
	// key is the customer's key.
	key     string
	percent int
}

// alwaysAllowed reports whether every configuration has the route and the key.
func (s requestKind) alwaysAllowed() bool { return s.path != swingPath && s.key != extraKey }

// requestKinds are the requests that callers send.
var requestKinds = []requestKind{
	{path: askPath, promptTokens: normalPrompt, key: key, percent: 40},
	{path: askPath, promptTokens: longPrompt, key: key, percent: 5},
	{path: lookPath, key: key, percent: 22},
	{path: printPath, atMostOnce: true, key: key, percent: 23},
	{path: swingPath, key: key, percent: 5},
	{path: askPath, promptTokens: normalPrompt, key: extraKey, percent: 5},
}

// record is one request and its answer.
type record struct {
	id   string
	kind requestKind
	// probe is the index of the added route that was probed, or -1.
	probe  int
	sentTo *instance
	// life is the instance's start count when the request was sent.
	life int
	sent time.Time
	done time.Time
	// sentAhead is set if the connection was closed before the answer to an earlier request on it
	// was complete or after one that said so.
	sentAhead bool
	caller.Answer
}

// traffic generates the requests of a run and records their answers.
type traffic struct {
	site    *site
	fleet   *fleet
	seed    uint64
	sent    atomic.Int64
	mu      sync.Mutex
	records []record
}

func (t *traffic) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { t.runCaller(ctx, i) })
	}
	for i, in := range t.fleet.instances {
		wg.Go(func() { t.probeRoutes(ctx, in) })
		wg.Go(func() { t.sendAhead(ctx, in, i) })
	}
	wg.Wait()
}

func pickKind(r *rand.Rand) requestKind {
	n := r.IntN(100)
	for _, s := range requestKinds {
		if n -= s.percent; n < 0 {
			return s
		}
	}
	return requestKinds[0]
}

// runCaller sends the requests of one caller, which reuses its connections and resolves
// addresses anew after addressTTL.
func (t *traffic) runCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(t.seed, uint64(i)+10))
	c := caller.New()
	defer c.Close()
	var addrs []string
	var expiry time.Time
	for ctx.Err() == nil {
		if time.Now().After(expiry) {
			if resolved := t.resolve(ctx, c, r); len(resolved) > 0 {
				addrs, expiry = resolved, time.Now().Add(addressTTL)
			}
		}
		if in := t.pickInstance(addrs, r); in != nil {
			t.send(ctx, c, in, pickKind(r), -1)
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
}

func (t *traffic) resolve(ctx context.Context, c *caller.Caller, r *rand.Rand) []string {
	in := t.fleet.instances[r.IntN(len(t.fleet.instances))]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// An error is ignored: the next lookup picks another instance.
	addrs, _ := c.Addresses(ctx, in.directoryAddr, host, in.dataCentre)
	return addrs
}

func (t *traffic) pickInstance(addrs []string, r *rand.Rand) *instance {
	if len(addrs) == 0 {
		return nil
	}
	addr := addrs[r.IntN(len(addrs))]
	for _, in := range t.fleet.instances {
		if in.callerAddr == addr {
			return in
		}
	}
	return nil
}

// probeRoutes sends requests for added routes to one instance.
func (t *traffic) probeRoutes(ctx context.Context, in *instance) {
	r := rand.New(rand.NewPCG(t.seed, 5))
	c := caller.New()
	defer c.Close()
	for ctx.Err() == nil {
		if n := t.site.routeCount(); n > 0 {
			k := n - 1
			if r.IntN(3) == 0 {
				k = r.IntN(n)
			}
			t.send(ctx, c, in, requestKind{path: routePath(k), key: key}, k)
		}
		time.Sleep(probeInterval)
	}
}

func (t *traffic) send(ctx context.Context, c *caller.Caller, in *instance, s requestKind, probe int) {
	limit := deadline
	if probe >= 0 {
		limit = probeTimeout
	}
	rec, req := t.newRequest(in, s, probe, limit)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit+answerPatience)
	defer cancel()
	rec.Answer = c.Send(ctx, in.callerProxy.addr(), req)
	rec.done = time.Now()
	t.add(rec)
}

// newRequest returns a request to send now and its record.
func (t *traffic) newRequest(in *instance, s requestKind, probe int, limit time.Duration) (record, caller.Request) {
	n := t.sent.Add(1)
	rec := record{id: fmt.Sprintf("q%d-%d", t.seed, n), kind: s, probe: probe, sentTo: in, life: in.currentLife(), sent: time.Now()}
	return rec, caller.Request{
		ID: rec.id, Host: host, Path: fmt.Sprint(s.path, n), Key: s.key, Body: rec.id, PromptTokens: s.promptTokens, Deadline: limit,
	}
}

func (t *traffic) add(rec record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, rec)
}

// reconnectPause is the time until a caller that sends ahead opens another connection.
const reconnectPause = 100 * time.Millisecond

// sendAhead uses one connection to an instance for as long as the instance keeps it open, also
// while it drains, and sends each request before the last one is answered.
func (t *traffic) sendAhead(ctx context.Context, in *instance, i int) {
	r := rand.New(rand.NewPCG(t.seed, uint64(i)+aheadStream))
	for ctx.Err() == nil {
		if c, err := caller.Dial(in.callerProxy.addr()); err == nil {
			t.useConnection(ctx, c, in, r)
			c.Close()
		}
		time.Sleep(reconnectPause)
	}
}

// aheadStream separates the draws of callers that send ahead from those of others.
const aheadStream = 1000

// useConnection returns when the connection is closed or the run has ended.
func (t *traffic) useConnection(ctx context.Context, c *caller.Connection, in *instance, r *rand.Rand) {
	rec, req := t.newRequest(in, pickKind(r), -1, deadline)
	if c.Write(req) != nil {
		return
	}
	for {
		next, nextReq := t.newRequest(in, pickKind(r), -1, deadline)
		sentNext := ctx.Err() == nil && c.Write(nextReq) == nil
		var open bool
		rec.Answer, open = c.Read(deadline + answerPatience)
		rec.done = time.Now()
		t.add(rec)
		if !sentNext {
			return
		}
		if !open {
			next.sentAhead, next.done, next.Err = true, rec.done, errClosedBefore
			t.add(next)
			return
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
		// The instance reads the next request only now.
		next.sent = rec.done
		rec = next
	}
}

// errClosedBefore is the result of a request whose connection was closed before its turn.
var errClosedBefore = errors.New("the connection was closed before the request was read")

// deadlyInterval is the time between two attempts of a request that crashes engines.
const deadlyInterval = 100 * time.Millisecond

// repeatDeadly sends a request that crashes engines to random instances until the fault
// ends.
func (t *traffic) repeatDeadly(f Fault) {
	r := rand.New(rand.NewPCG(f.Pick, 6))
	c := caller.New()
	defer c.Close()
	for deadlineAt := time.Now().Add(f.For.Std()); time.Now().Before(deadlineAt); time.Sleep(deadlyInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		in := t.fleet.instances[r.IntN(len(t.fleet.instances))]
		c.Send(ctx, in.callerProxy.addr(), caller.Request{
			ID: fmt.Sprintf("d%d-%d", t.seed, t.sent.Add(1)), Host: host, Path: askPath + "deadly", Key: key, Body: deadlyBody,
			PromptTokens: normalPrompt, Deadline: deadline,
		})
		cancel()
	}
}
