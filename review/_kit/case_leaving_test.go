//go:build review

package kit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

func init() { cases["leaving"] = playLeaving }

// The services of the site.
const modelService, plainService = "kitchen-assistant", "provisions-desk"

var zones = []string{"hu-east-a", "hu-east-b", "hu-east-c"}

// putConfig writes a configuration with a model service and a plain one.
func putConfig(s *storeserver.Server) {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": clientHost, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": timeout,
			"targetLatencyMs": aim, "priority": 1, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming",
			"resumable": kind == "streaming", "gapTargetMs": 250,
		}
	}
	must(s.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("shift-menu", "/menu/", "streaming", modelService, 10000, 300, 2),
			route("supply-order", "/order-placing/", "unsafe", plainService, 3000, 300, 1),
			route("stock-lookup", "/stock/", "safe", plainService, 3000, 300, 2),
		},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 364, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvCapacity": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 256000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 11121, "answer": 1622}, "hopMs": 0.05,
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "camp", "apiKeys": []string{clientKey}, "priority": 1}},
	}))
}

// site is a small deployment: a store, workers, instances and clients.
type site struct {
	*env
	store   *storeserver.Server
	fleet   *fleet
	traffic *traffic
	seen    *arrivals
	mu      sync.Mutex
	workers []*worker
	created int
}

// storeDelayMS is how long the store takes to answer.
const storeDelayMS = 4

func (c *env) newSite(instances, models, plain int) *site {
	s := &site{env: c, store: storeserver.New("127.0.0.1:0"), seen: &arrivals{}}
	must(s.store.Start())
	s.store.SetFaults(storeserver.Faults{DelayMS: storeDelayMS})
	c.onEnd(s.store.Close)
	putConfig(s.store)
	for range models {
		s.addWorker(modelService, 0)
	}
	for range plain {
		s.addWorker(plainService, 0)
	}
	s.fleet = newFleet(c.root, c.dir, instances, zones, func(int) string { return s.store.Addr() })
	c.onEnd(s.fleet.stop)
	s.traffic = &traffic{fleet: s.fleet}
	return s
}

// addWorker starts a worker that is slow for a time.
func (s *site) addWorker(service string, slowFor time.Duration) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.newWorker(service, slowFor)
	w.start()
	return w
}

// newWorker returns a worker that has not started. The caller holds s.mu.
func (s *site) newWorker(service string, slowFor time.Duration) *worker {
	w := &worker{
		id: fmt.Sprintf("i-%04x%04x", s.created+1, rand.IntN(1<<16)), service: service, zone: zones[s.created%len(zones)], version: "v1",
		slots: 16, work: 60 * time.Millisecond, seen: s.seen, store: s.store, slowFor: slowFor,
	}
	if service == modelService {
		w.events, w.work = 20, 20*time.Millisecond
	} else {
		w.slots = 6
	}
	s.created++
	s.workers = append(s.workers, w)
	return w
}

// classes are the kinds of requests of the site.
var classes = []class{
	{name: "shift-menu", method: http.MethodPost, path: "/menu/", deadline: 10 * time.Second, tokens: "4960,100", parts: firstPart, perSecond: 39.5},
	{name: "supply-order", method: http.MethodPost, path: "/order-placing/", deadline: 3 * time.Second, perSecond: 3.73},
	{name: "stock-lookup", method: http.MethodGet, path: "/stock/", deadline: 3 * time.Second, perSecond: 3},
}

// Bounds of the small deployments that cases check.
const (
	stabilityWindow = 3 * time.Second
	drainBound      = 2 * time.Second
)

// Numbers of the case "leaving".
const (
	leavingRounds = 12
	// startedPerRound workers start in each round; takenPerRound of them are taken away again: a quarter
	// of the 21 workers of the site at most, as scale_in has it. One of them reports that it leaves.
	startedPerRound, takenPerRound = 6, 5
	// slowAfterStart is how long a worker is slow after its start, which its entry tells.
	slowAfterStart = 15 * time.Second
	// serveOn is how long a worker goes on serving after it has left: drainMs and many seconds.
	serveOn = drainBound + 10*time.Second
	// betweenRounds is the pause after the start of workers, and that after their end.
	betweenRounds = 1500 * time.Millisecond
)

// playLeaving checks DRAIN while workers that have started lately are taken away without a report.
func playLeaving(c *env) bool {
	s := c.newSite(8, 18, 3)
	s.fleet.start()
	s.fleet.mustBeReady()
	time.Sleep(stabilityWindow)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.traffic.run(ctx, zones, classes)
		close(done)
	}()
	time.Sleep(time.Second)
	for range leavingRounds {
		fresh := s.startWorkers()
		time.Sleep(betweenRounds)
		if c.trouble {
			for i, w := range fresh[:takenPerRound] {
				go w.leave(i == takenPerRound-1, serveOn)
				time.Sleep(time.Duration(rand.Int64N(int64(300 * time.Millisecond))))
			}
		}
		time.Sleep(betweenRounds)
	}
	time.Sleep(serveOn)
	cancel()
	<-done
	s.recordLists()
	return s.checkLeaving()
}

// startWorkers starts the workers of a round, the first half of them of the plain service.
func (s *site) startWorkers() (fresh []*worker) {
	for i := range startedPerRound {
		service := modelService
		if i < startedPerRound/2 {
			service = plainService
		}
		fresh = append(fresh, s.addWorker(service, slowAfterStart))
		time.Sleep(time.Duration(rand.Int64N(int64(heartbeat / 2))))
	}
	return fresh
}

var serversInLog = regexp.MustCompile(`"backend servers changed".*"at":"([^"]*)","servers":(\d+)`)

// recordLists records how many workers each instance knows at the end, by its log.
func (s *site) recordLists() {
	listed := 0
	for _, w := range s.workers {
		w.mu.Lock()
		if w.removed.IsZero() || !w.deleted {
			listed++
		}
		w.mu.Unlock()
	}
	record("the store lists %d workers", listed)
	for _, in := range s.fleet.instances {
		raw, err := os.ReadFile(in.log)
		must(err)
		all := serversInLog.FindAllSubmatch(raw, -1)
		if len(all) > 0 {
			last := all[len(all)-1]
			record("%s knows %s workers at position %s", in.name, last[2], last[1])
		}
	}
}

// checkLeaving checks that no request reached a worker later than drainMs after the store acknowledged
// that it has gone.
func (s *site) checkLeaving() bool {
	byID := map[string]*worker{}
	for _, w := range s.workers {
		byID[w.id] = w
	}
	answers := map[string]answer{}
	for _, a := range s.traffic.all {
		answers[a.id] = a
	}
	late, lost := map[string]int{}, map[string]int{}
	for _, v := range s.seen.list() {
		w := byID[v.worker]
		if w.removed.IsZero() || v.at.Sub(w.removed) <= drainBound {
			continue
		}
		late[w.id]++
		a := answers[v.id]
		record("request %s (%s) reached worker %s %.3f s after it was gone from the store; sent to %s at %.3f, answer %d %v",
			v.id, a.class, w.id, v.at.Sub(w.removed).Seconds(), a.at, since(a.sent), a.status, a.err)
		if !w.ended.IsZero() && (a.err != nil || a.status >= 500) {
			lost[a.class]++
		}
	}
	s.recordAnswers()
	record("%d workers got requests too late: %v; requests of these that were lost: %v", len(late), late, lost)
	return len(late) > 0
}

// recordAnswers records how many answers of each status the clients got.
func (s *site) recordAnswers() {
	statuses := map[string]int{}
	for _, a := range s.traffic.all {
		statuses[fmt.Sprintf("%s %d failed %t", a.class, a.status, a.err != nil)]++
	}
	keys := make([]string, 0, len(statuses))
	for k := range statuses {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		record("answers: %s: %d", k, statuses[k])
	}
}
