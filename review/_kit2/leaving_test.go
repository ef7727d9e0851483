//go:build review

package stage

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

const (
	// outage is how long the store is down.
	outage = 34 * time.Second
	// expiresAfter is three heartbeats, after which an entry may expire.
	expiresAfter = 3600 * time.Millisecond
	// heartbeat is how long after the end of the outage the leaving worker reports that it is draining.
	heartbeat = 1200 * time.Millisecond
	lookEvery = 40 * time.Millisecond
)

// lookup is a request as its client saw it.
type lookup struct {
	request
	reply
	sentAt, endedAt time.Time
}

// forgottenLeaving plays a worker that leaves while the store is down: it says so in all its answers, and
// reports to the store as soon as that is back. It goes on to serve all the while.
func forgottenLeaving(s *site, rec *recorder, trouble bool) ([]string, error) {
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	seen := make(chan []lookup)
	go func() { seen <- s.look(rec, stop) }()
	time.Sleep(3 * time.Second)
	leaving := s.plain[0]
	if trouble {
		rec.note("the store is down")
		s.store.SetFaults(storeserver.Faults{Down: true})
	}
	time.Sleep(time.Second)
	// Each machine has a request at each worker when the worker begins to leave.
	volley := make(chan []lookup)
	go func() { volley <- s.volley(rec) }()
	time.Sleep(leaving.pause / 2)
	leaving.leave()
	all := <-volley
	rec.note("%s begins to leave and says so in all its answers", leaving.id)
	if !trouble {
		if err := s.announceAs(leaving.id, leaving, leaving.addr, "draining"); err != nil {
			return nil, err
		}
	}
	time.Sleep(expiresAfter)
	expired := s.engines[len(s.engines)-1]
	if trouble {
		rec.note("the entry of %s expires", expired.id)
		s.store.RemoveEntry(expired.id)
	}
	time.Sleep(outage - expiresAfter)
	if trouble {
		rec.note("the store is back; the changes of more than historyS ago are gone from its history")
		s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
		s.store.SetFaults(storeserver.Faults{})
	}
	time.Sleep(heartbeat)
	if err := s.announce(expired.id, expired, expired.addr); err != nil {
		return nil, err
	}
	if err := s.announceAs(leaving.id, leaving, leaving.addr, "draining"); err != nil {
		return nil, err
	}
	rec.note("the store has accepted that %s is draining", leaving.id)
	time.Sleep(3 * time.Second)
	close(stop)
	return s.lateAt(rec, leaving, append(all, <-seen...)), nil
}

// eachAtOnce is how many requests each machine gets in a volley.
const eachAtOnce = 2 * plainServers

// volley sends some requests to each machine at once.
func (s *site) volley(rec *recorder) (all []lookup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: eachAtOnce}}
	results := make(chan lookup)
	for n := range eachAtOnce * len(s.machines) {
		go func() { results <- s.lookUpOnce(rec, client, n) }()
	}
	for range eachAtOnce * len(s.machines) {
		all = append(all, <-results)
	}
	return all
}

// lookUpOnce sends a request of the plain service to the next machine in turn.
func (s *site) lookUpOnce(rec *recorder, client *http.Client, n int) lookup {
	r := request{
		id: fmt.Sprintf("%08x%08x", rand.Uint32(), n), method: http.MethodPost, target: fmt.Sprintf("/lookup/%x", n),
		body: fmt.Sprintf("lookup %d", n), deadline: time.Second, machine: s.machines[n%len(s.machines)],
	}
	l := lookup{request: r, sentAt: time.Now()}
	l.reply = r.send(client)
	l.endedAt = time.Now()
	rec.note("%s %s to %s: %d, leaving %t, error %v", r.id, r.target, r.machine.name, l.status, l.leaving, l.err)
	return l
}

// look sends requests to all machines in turn until it is stopped.
func (s *site) look(rec *recorder, stop <-chan struct{}) (all []lookup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return all
		case <-time.After(lookEvery):
		}
		wg.Go(func() {
			l := s.lookUpOnce(rec, client, n)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, l)
		})
	}
}

// lateAt returns the requests that reached a worker from a machine that had passed on, longer than drainTime before
// the client sent them, an answer in which the worker says that it leaves.
func (s *site) lateAt(rec *recorder, leaving *worker, all []lookup) (breaches []string) {
	told := map[*machine]time.Time{}
	for _, l := range all {
		if at, known := told[l.machine]; l.leaving && (!known || l.endedAt.Before(at)) {
			told[l.machine] = l.endedAt
		}
	}
	ranAt := map[string]time.Time{}
	for _, r := range s.fleet.taken() {
		if r.worker == leaving.id {
			ranAt[r.id] = r.at
		}
	}
	for _, l := range all {
		at, known := told[l.machine]
		if ran, did := ranAt[l.id]; did && known && l.sentAt.Sub(at) > drainTime {
			breaches = append(breaches, fmt.Sprintf("%s reached %s from %s %s after that machine had passed on an answer in which the worker says that it leaves",
				l.id, leaving.id, l.machine.name, ran.Sub(at).Round(time.Millisecond)))
		}
	}
	rec.note("%d of %d machines had passed on such an answer; %d requests in all", len(told), len(s.machines), len(all))
	return breaches
}
