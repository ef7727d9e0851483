package e2e

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// The kinds of requests: to engines, idempotent and not idempotent.
const (
	askPath   = "/ask/1"
	lookPath  = "/look/1"
	printPath = "/print/1"
)

// callers send requests to a site whose servers say something of themselves.
type callers struct {
	site *partitionedSite

	mu sync.Mutex
	// sentAt are the times at which callers sent their requests, by ID.
	sentAt map[string]time.Time
	sent   int
	served int
}

func newCallers(s *partitionedSite) *callers {
	return &callers{site: s, sentAt: map[string]time.Time{}}
}

// send sends one request and reports whether it was served.
func (c *callers) send(id, path string, entry int) bool {
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.sent++
	c.mu.Unlock()
	a := attempt{path: path, id: id, key: "k1", body: "prompt"}
	want := workerserver.Body(id)
	if path == askPath {
		a.tokens, want = 900, completeStream(id)
	}
	resp, body := a.send(entry)
	if resp.StatusCode != 200 || body != want {
		GinkgoWriter.Printf("%s: %d %q\n", id, resp.StatusCode, body)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	return true
}

// run sends requests of some kinds at a constant rate to the instances in turn and waits for
// their answers.
func (c *callers) run(prefix string, perSecond int, d time.Duration, paths ...string) {
	var wg sync.WaitGroup
	i := 0
	for end := time.Now().Add(d); time.Now().Before(end); i++ {
		id, entry, path := fmt.Sprint(prefix, "-", i), i%platformEntries, paths[i/platformEntries%len(paths)]
		wg.Go(func() {
			defer GinkgoRecover()
			c.send(id, path, entry)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}

// requests are the requests that instances sent to a server and that reached it after a time.
func requests(w *workerserver.Server, after time.Time) (out []workerserver.Arrival) {
	for _, a := range w.Arrivals() {
		if a.Sender != "" && a.At.After(after) {
			out = append(out, a)
		}
	}
	return out
}

// told are the times at which a server first answered each instance after a time.
func told(w *workerserver.Server, after time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	for _, a := range w.Arrivals() {
		first, ok := out[a.Sender]
		if a.Sender != "" && a.AnsweredAt.After(after) && (!ok || a.AnsweredAt.Before(first)) {
			out[a.Sender] = a.AnsweredAt
		}
	}
	return out
}

// sentAfter returns those requests to a server that callers sent more than bound after a time.
func (c *callers) sentAfter(w *workerserver.Server, at time.Time, bound time.Duration, from func(sender string) bool) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range w.Arrivals() {
		late := c.sentAt[a.ID].Sub(at)
		if a.Sender != "" && from(a.Sender) && late > bound {
			out = append(out, fmt.Sprintf("%s from %s %d ms after", a.ID, a.Sender, late.Milliseconds()))
		}
	}
	return out
}

// sentDespiteNotice returns the requests to a server that callers sent more than bound after the
// server had told the instance which passed them on that it leaves.
func (c *callers) sentDespiteNotice(w *workerserver.Server, noticed time.Time, bound time.Duration) (out []string) {
	for sender, at := range told(w, noticed) {
		out = append(out, c.sentAfter(w, at, bound, func(s string) bool { return s == sender })...)
	}
	return out
}

// sentDuringRest returns for each refusal of a server the requests of the refused instance that
// reached the server between from and the end of the rest, if they are more than allowed.
func sentDuringRest(w *workerserver.Server, begin time.Time, rest, from time.Duration, allowed int) (out []string) {
	all := requests(w, begin)
	for _, refused := range all {
		if refused.Status != 503 {
			continue
		}
		n := 0
		for _, a := range all {
			after := a.At.Sub(refused.AnsweredAt)
			if a.Sender == refused.Sender && after > from && after < rest {
				n++
			}
		}
		if n > allowed {
			out = append(out, fmt.Sprintf("%d from %s in %v after %s", n, refused.Sender, rest, refused.ID))
		}
	}
	return out
}
