package e2e

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
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
	resp, err := http.DefaultClient.Do(a.request(entry))
	Expect(err).NotTo(HaveOccurred())
	if body := readBody(resp); resp.StatusCode != 200 || body != want {
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

// pace is the rate of requests of a kind that two servers have room for, per second.
func pace(path string) int {
	if path == askPath {
		return 9
	}
	return 25
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

// firstTold is when a server first answered any instance after a time.
func firstTold(w *workerserver.Server, after time.Time) (at time.Time, ok bool) {
	all := slices.SortedFunc(maps.Values(told(w, after)), time.Time.Compare)
	if len(all) == 0 {
		return time.Time{}, false
	}
	return all[0], true
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

// enter writes the entry of a life of a server that began at born, in ms.
func (s *partitionedSite) enter(id, service, addr string, born int64) {
	GinkgoHelper()
	Expect(s.store.Put("servers", id, map[string]any{
		"service": service, "address": addr, "zone": "dc-0", "slots": 4, "state": "ready", "born": born,
	})).To(Succeed())
}

// freezeStore has the store answer nothing until the spec ends.
func (s *partitionedSite) freezeStore() {
	s.store.SetFaults(storeserver.Faults{Silent: true})
	DeferCleanup(func() { s.store.SetFaults(storeserver.Faults{}) })
}

// fleetOfThree starts a site of three instances, three engines and three plain servers that have
// served some requests, and returns it with its callers.
func fleetOfThree() (*partitionedSite, *callers) { return fleetWith(3) }

func fleetWith(engines int) (*partitionedSite, *callers) {
	s := newPartitionedSiteWith(engines)
	DeferCleanup(func() { s.close() })
	for i, w := range s.engines {
		s.enter(fmt.Sprint("e", i), "model", w.Addr(), firstLife)
	}
	for i, w := range s.plain {
		s.enter(fmt.Sprint("p", i), "registry", w.Addr(), firstLife)
	}
	time.Sleep(entrySettle)
	c := newCallers(s)
	c.run("before", 15, time.Second, askPath, lookPath, printPath)
	return s, c
}

const (
	// firstLife and secondLife are the beginnings of two lives of a server, in ms.
	firstLife, secondLife = 1000, 2000
	// entrySettle is the time in which all instances learn of a change of the list.
	entrySettle = 300 * time.Millisecond
	// newsTime is the time in which all instances learn what one of them heard.
	newsTime = 500 * time.Millisecond
	// heardTime is the time from an answer until the instance that got it acts on it.
	heardTime = 50 * time.Millisecond
	// usedAgainTime is the time in which a new server gets requests.
	usedAgainTime = time.Second
	// atOnce is the time in which a request is refused that no server may get.
	atOnce = 200 * time.Millisecond
)

func anyInstance(string) bool { return true }

// server returns a stand-in by its ID.
func (s *partitionedSite) server(id string) *workerserver.Server {
	if id[0] == 'e' {
		return s.engines[id[1]-'0']
	}
	return s.plain[id[1]-'0']
}

// replace starts another server, at an address or any, and enters it.
func (s *partitionedSite) replace(id, service, addr string, born int64) *workerserver.Server {
	GinkgoHelper()
	cfg := workerserver.Config{ID: id, Addr: addr}
	if service == "model" {
		cfg.Events, cfg.EventPause, cfg.Memory = streamEvents, 20*time.Millisecond, engineMemory
	}
	w := workerserver.New(cfg)
	Expect(w.Start()).To(Succeed())
	DeferCleanup(w.Close)
	s.enter(id, service, w.Addr(), born)
	return w
}

// expectRefusedAtOnce expects a request refused as not run, soon and with the time to come back.
func (c *callers) expectRefusedAtOnce(id, path string, entry int) time.Duration {
	GinkgoHelper()
	a := attempt{path: path, id: id, key: "k1", body: "prompt"}
	if path == askPath {
		a.tokens = 900
	}
	began := time.Now()
	resp, body := a.send(entry)
	Expect(time.Since(began)).To(BeNumerically("<", atOnce), body)
	Expect(resp.StatusCode).To(BeElementOf(429, 503), body)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	return time.Duration(seconds * float64(time.Second))
}

// orderPath is the path of reservations at engines.
const orderPath = "/order"

// sendLarge sends requests whose prompts need the memory of several engines to the first instance.
func (s *partitionedSite) sendLarge(prefix string, n int) {
	for i := range n {
		id := fmt.Sprint(prefix, "-", i)
		resp, _ := attempt{path: askPath, id: id, key: "k1", tokens: 150_000, body: "prompt"}.send(0)
		GinkgoWriter.Printf("%s: %d\n", id, resp.StatusCode)
	}
}

// helpedBy counts the requests that reached engines after a time and name a server as helper.
func (s *partitionedSite) helpedBy(w *workerserver.Server, after time.Time) (n int) {
	for _, e := range s.engines {
		for _, v := range e.Seen() {
			if v.At.After(after) && strings.Contains(v.Helpers, w.Addr()) {
				n++
			}
		}
	}
	return n
}

// resumed counts the streams that engines resumed after a time.
func (s *partitionedSite) resumed(after time.Time) (n int) {
	for _, e := range s.engines {
		for _, v := range e.Seen() {
			if v.At.After(after) && v.ResumeAfter != "" {
				n++
			}
		}
	}
	return n
}

// orders counts the reservations and releases that reached a server after a time.
func orders(w *workerserver.Server, after time.Time) (n int) {
	for _, a := range w.Arrivals() {
		if a.Path == orderPath && a.At.After(after) {
			n++
		}
	}
	return n
}
