//go:build review

package stage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Figures of the deployment.
const (
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// foreignBytes stays below valueBytes, the largest object of the store.
	foreignBytes = 1_047_700
	foreignName  = 600
	// servesOn is how long a worker goes on to serve after the store has accepted that it is draining.
	servesOn = 10 * time.Second
)

// foreignPage plays an entry of another writer in the list of workers that cannot be read and fills a page of
// the list. Then a worker of the plain service reports that it is draining, and a new one takes its place.
func foreignPage(s *site, rec *recorder, trouble bool) ([]string, error) {
	time.Sleep(5 * time.Second)
	before := s.ask(rec, "before", 5*time.Second)
	if trouble {
		name := "i-5" + strings.Repeat("0", foreignName)
		rec.note("another writer adds an entry with a name of %d bytes and a content of %d bytes that is no entry of a worker", len(name), foreignBytes)
		if err := s.store.Put("servers", name, strings.Repeat("?", foreignBytes)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * stableTime)
	fresh := &worker{id: "i-3e4f5a6b", service: plainService, zone: zones[0], pause: 15 * time.Millisecond}
	if err := s.fleet.start(fresh); err != nil {
		return nil, err
	}
	if err := s.announce(fresh.id, fresh, fresh.addr); err != nil {
		return nil, err
	}
	leaving := s.plain[0]
	if err := s.announceAs(leaving.id, leaving, leaving.addr, "draining"); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	rec.note("the store has accepted that %s is draining, and the entry of the new worker %s", leaving.id, fresh.id)
	after := s.ask(rec, "since then", servesOn)
	rec.note("served: %s before, %s since a worker is draining", before, after)
	late, toFresh := 0, 0
	for _, r := range s.fleet.taken() {
		switch {
		case r.worker == leaving.id && r.at.Sub(acknowledged) > drainTime:
			late++
			rec.note("%s run by %s %s after the acknowledgement", r.id, r.worker, r.at.Sub(acknowledged).Round(time.Millisecond))
		case r.worker == fresh.id:
			toFresh++
		}
	}
	rec.note("%d requests reached the new worker", toFresh)
	if late > 0 {
		return []string{fmt.Sprintf("%d requests reached %s later than %s after the acknowledgement that it is draining; %d reached the new worker", late, leaving.id, drainTime, toFresh)}, nil
	}
	return nil, nil
}

// share is how many of the requests were served.
type share struct{ served, sent int }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// askEvery is the time between two requests of ask.
const askEvery = 50 * time.Millisecond

// ask has clients look up an address and send a request there, for a time, and returns how many were served.
func (s *site) ask(rec *recorder, when string, span time.Duration) share {
	var total share
	results := make(chan bool)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(askEvery) {
		n := total.sent
		total.sent++
		go func() { results <- s.askOnce(rec, client, when, n) }()
	}
	for range total.sent {
		if <-results {
			total.served++
		}
	}
	return total
}

// askOnce is a client that looks up an address, sends a request, and comes back once after a refusal.
func (s *site) askOnce(rec *recorder, client *http.Client, when string, n int) bool {
	for try := range 2 {
		m := s.lookUp(client)
		if m == nil {
			rec.note("%s, request %d: no machine tells an address", when, n)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		r := request{id: fmt.Sprintf("%08x%08x", rand.Uint32(), n), method: http.MethodGet, target: "/status/2f", deadline: time.Second, machine: m}
		a := r.send(client)
		rec.note("%s, request %d, %s to %s: %d, error %v, %s", when, n, r.id, m.name, a.status, a.err, a.took.Round(time.Millisecond))
		if a.status == http.StatusOK && a.seal != "" {
			return true
		}
		if try == 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}

// lookUp asks up to three directories for an address, as clients do, and returns its machine.
func (s *site) lookUp(client *http.Client) *machine {
	for _, i := range rand.Perm(len(s.machines))[:3] {
		query := url.Values{"name": {host}, "region": {"lowland"}, "zone": {s.machines[i].zone}}
		quick := &http.Client{Transport: client.Transport, Timeout: time.Second}
		resp, err := quick.Get("http://" + s.machines[i].directory + "/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var a struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(a.Addresses) == 0 {
			continue
		}
		addr := a.Addresses[rand.IntN(len(a.Addresses))]
		for _, m := range s.machines {
			if m.front == addr {
				return m
			}
		}
	}
	return nil
}
