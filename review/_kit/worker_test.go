//go:build review

package kit

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// arrival is a request as a worker got it.
type arrival struct {
	id, worker string
	at         time.Time
	// deadly is set for a request with deadlyPart.
	deadly bool
}

// arrivals are the requests that reached workers.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(v arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, v)
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// worker stands in for a worker of a service, as PROTOCOL.md has it.
type worker struct {
	id, service, zone, addr string
	// version is that of the worker's software.
	version string
	slots   int
	work    time.Duration
	// events is the number of events of a stream, zero for a plain service.
	events int
	seen   *arrivals
	store  *storeserver.Server
	// onCrash, if set, is called once the worker has crashed under a request with deadlyPart.
	onCrash func()
	crashed sync.Once

	server *http.Server
	born   time.Time
	// slowFor is how long the worker is slow after its start, as its entry says.
	slowFor time.Duration
	beating chan struct{}
	// removed is when the store acknowledged that the worker has gone, ended when it exited.
	mu             sync.Mutex
	removed, ended time.Time
	// lastBeat is when the entry was last written.
	lastBeat time.Time
	// deleted is set once the entry is gone.
	deleted bool
	// gone is set once the worker has crashed.
	gone bool
}

// isGone reports whether the worker has crashed or left.
func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone || !w.removed.IsZero()
}

// A worker leaves lateInBeat to lateInBeat + leaveWithin after its latest heartbeat.
const lateInBeat, leaveWithin = 50 * time.Millisecond, 250 * time.Millisecond

// slowFactor is how much longer a plain worker works on a request while it is slow.
const slowFactor = 1.6

// heartbeat is the interval of the heartbeats of workers.
const heartbeat = 1200 * time.Millisecond

func (w *worker) start() {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		// A connection may have taken the port meanwhile.
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	must(err)
	w.addr, w.born = l.Addr().String(), time.Now()
	w.server = &http.Server{Handler: w}
	w.beating = make(chan struct{})
	go func() { _ = w.server.Serve(l) }()
	w.put("ready")
	w.lastBeat = w.born
	go w.beat()
}

// put writes the entry of the worker.
func (w *worker) put(state string) {
	left := max(0, w.slowFor-time.Since(w.born)).Milliseconds()
	must(w.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"coldRemainingMs": left, "sequence": 0,
	}))
}

// beat writes the entry at each heartbeat as long as it changes: while the worker is slow.
func (w *worker) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for wasSlow := w.slowFor > 0; wasSlow; {
		select {
		case <-w.beating:
			return
		case <-t.C:
			w.mu.Lock()
			if w.removed.IsZero() {
				w.put("ready")
				w.lastBeat = time.Now()
				wasSlow = time.Since(w.born) < w.slowFor
			}
			w.mu.Unlock()
		}
	}
}

// leave is a planned shutdown, which all answers tell from then on. Unless it reports it, the entry is removed at once. The worker goes on
// serving for the given time, then exits.
func (w *worker) leave(report bool, serveOn time.Duration) {
	w.mu.Lock()
	next := w.lastBeat.Add(heartbeat)
	w.mu.Unlock()
	time.Sleep(time.Until(next) + lateInBeat + time.Duration(rand.Int64N(int64(leaveWithin))))
	w.mu.Lock()
	close(w.beating)
	if report {
		w.put("draining")
	} else {
		w.store.Delete("servers", w.id)
		w.deleted = true
	}
	w.removed = time.Now()
	w.mu.Unlock()
	record("worker %s of %s leaves, reported %t", w.id, w.service, report)
	time.Sleep(serveOn)
	if report {
		w.store.Delete("servers", w.id)
	}
	w.mu.Lock()
	w.deleted = true
	w.ended = time.Now()
	w.mu.Unlock()
	record("worker %s exits", w.id)
	_ = w.server.Close()
}

// deadlyPart is the ID of a part of prompts under which a worker crashes as it begins to write.
const deadlyPart = "dead0b5e"

// deadlyPrefill is the time until then: a short prompt has its first event after some 110 ms.
const deadlyPrefill = 110 * time.Millisecond

// crash ends the worker with all its requests. Its entry is removed after three heartbeats of silence.
func (w *worker) crash() {
	record("worker %s crashes", w.id)
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(3*heartbeat, func() { w.store.Delete("servers", w.id) })
	w.onCrash()
}

func seal(worker, id string) string { return "seal." + worker + "." + id }

func plainBody(id string) string { return "done " + id + strings.Repeat(".", 200) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get("X-Request-Id"), time.Now()
	rw.Header().Set("X-Instance-Id", w.id)
	w.mu.Lock()
	if !w.removed.IsZero() {
		rw.Header().Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" || r.URL.Path == "/order" {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	deadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart)
	w.seen.add(arrival{id: id, worker: w.id, at: now, deadly: deadly})
	if deadly && w.onCrash != nil {
		time.Sleep(deadlyPrefill)
		w.crashed.Do(w.crash)
		return
	}
	h := rw.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", seal(w.id, id))
	if w.events == 0 {
		work := w.work
		if now.Sub(w.born) < w.slowFor {
			work = time.Duration(slowFactor * float64(work))
		}
		time.Sleep(work)
		h.Set("Content-Length", strconv.Itoa(len(plainBody(id))))
		_, _ = io.WriteString(rw, plainBody(id))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= w.events; n++ {
		time.Sleep(w.work)
		if _, err := io.WriteString(rw, event(id, n)); err != nil || r.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}
