//go:build review

package stage

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignAddress plays an entry of another writer in the list of workers whose address cannot be read: it
// ends with a line break. Prompts are sent as before, and each worker's runs are compared with what the
// clients sent.
func foreignAddress(s *site, rec *recorder, trouble bool) ([]string, error) {
	time.Sleep(5 * time.Second)
	if trouble {
		w := s.engines[5]
		rec.note("another writer adds servers/worker-17 with the address %q; the others stay as they are", w.addr+"\n")
		if err := s.announce("worker-17", w, w.addr+"\n"); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	sent := sendPrompts(s, rec, 120)
	return compareRuns(s, rec, sent), nil
}

// sendPrompts sends prompts to all machines in turn, a few at a time, and returns them by id.
func sendPrompts(s *site, rec *recorder, count int) map[string]request {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	sent := map[string]request{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range count {
		tokens := 3000 + n%8*2500
		r := request{
			id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+n), method: http.MethodPost, target: fmt.Sprintf("/triage/%x", n),
			body: strings.Repeat(fmt.Sprintf("ticket %d. ", n), 100), model: "m", counts: fmt.Sprintf("%d,400", tokens),
			prefix:   fmt.Sprintf("5c1e07a2:40,%x:%d", 0x91bd3f06+n, tokens-40),
			deadline: 10 * time.Second, machine: s.machines[n%len(s.machines)],
		}
		mu.Lock()
		sent[r.id] = r
		mu.Unlock()
		wg.Go(func() {
			a := r.send(client)
			rec.note("%s POST %s, %d bytes, %s tokens, to %s: %d, %d bytes, seal %q, error %v, %s",
				r.id, r.target, len(r.body), r.counts, r.machine.name, a.status, len(a.body), a.seal, a.err, a.took.Round(time.Millisecond))
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	return sent
}

// compareRuns returns the runs that differ from what was sent (UNASKED).
func compareRuns(s *site, rec *recorder, sent map[string]request) (breaches []string) {
	for _, got := range s.fleet.taken() {
		want, known := sent[got.id]
		rec.note("%s run by %s: %s %s, %d bytes, helpers %q", got.id, got.worker, got.method, got.target, len(got.body), got.helpers)
		switch {
		case !known:
			breaches = append(breaches, fmt.Sprintf("%s: worker %s ran a request that no client sent", got.id, got.worker))
		case got.method != want.method || got.target != want.target || got.body != want.body:
			breaches = append(breaches, fmt.Sprintf("%s: worker %s ran %s %s with a body of %d bytes; the client sent %s %s with %d bytes",
				got.id, got.worker, got.method, got.target, len(got.body), want.method, want.target, len(want.body)))
		case got.model != want.model || got.counts != want.counts || got.prefix != want.prefix:
			breaches = append(breaches, fmt.Sprintf("%s: worker %s ran it with other headers than the client's", got.id, got.worker))
		}
	}
	return breaches
}
