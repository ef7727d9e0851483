//go:build review

package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request as a worker began to work on it.
type run struct {
	worker, id, method, target, body, tenant string
	model, counts, prefix, helpers           string
	at                                       time.Time
}

// worker stands in for one backend server: a model engine that streams events, or a plain service.
type worker struct {
	fleet   *fleet
	id      string
	addr    string
	service string
	zone    string
	// events is the number of events of a stream, zero for a plain service.
	events int
	// pause is the time before the answer of a plain service and between two events.
	pause time.Duration

	server *http.Server
	mu     sync.Mutex
	// leaving is set while all answers say that the worker leaves.
	leaving bool
	// tickets are the reservations that are held.
	tickets map[string]time.Time
}

// fleet holds all workers and what they ran.
type fleet struct {
	mu      sync.Mutex
	workers map[string]*worker
	runs    []run
}

func newFleet() *fleet { return &fleet{workers: map[string]*worker{}} }

// start starts a worker on a free port of the loopback address.
func (f *fleet) start(w *worker) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.fleet, w.addr, w.tickets = f, lis.Addr().String(), map[string]time.Time{}
	f.mu.Lock()
	f.workers[w.addr] = w
	f.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(lis) }()
	return nil
}

func (f *fleet) record(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

// taken returns the runs so far.
func (f *fleet) taken() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

func (f *fleet) byAddr(addr string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[addr]
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if w.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		w.order(rw, r)
	default:
		w.request(rw, r)
	}
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, ID string
		HoldMs int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Op {
	case "reserve":
		w.tickets[o.ID] = time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)
	case "release":
		delete(w.tickets, o.ID)
	default:
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(rw, `{"free":100000}`)
}

// leave makes all answers from now on say that the worker leaves.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// holds reports whether a ticket is held.
func (w *worker) holds(ticket string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.tickets[ticket])
}

// missingHelper returns the first helper of a request that is not there or lacks its ticket.
func (w *worker) missingHelper(list string) (addr string, missing bool) {
	if list == "" {
		return "", false
	}
	for _, entry := range strings.Split(list, ",") {
		addr, ticket, _ := strings.Cut(entry, "/")
		helper := w.fleet.byAddr(addr)
		if helper == nil || ticket != "" && !helper.holds(ticket) {
			return addr, true
		}
	}
	return "", false
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if addr, missing := w.missingHelper(r.Header.Get("X-Helpers")); missing {
		rw.Header().Set("At-Server", addr)
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.fleet.record(run{
		worker: w.id, id: id, method: r.Method, target: r.RequestURI, body: string(body), tenant: r.Header.Get("X-Tenant"),
		model: r.Header.Get("X-Model"), counts: r.Header.Get("X-Token-Counts"), prefix: r.Header.Get("X-Prompt-Prefix"),
		helpers: r.Header.Get("X-Helpers"), at: time.Now(),
	})
	rw.Header().Set("X-Response-Seal", "seal-"+w.id+"-"+id)
	if w.events == 0 {
		time.Sleep(w.pause)
		if w.isLeaving() {
			rw.Header().Set("Server-Leaving", "1")
		}
		_, _ = io.WriteString(rw, "done "+id)
		return
	}
	w.stream(rw, r, id)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.pause):
		}
		_, _ = io.WriteString(rw, event(id, n))
		_ = http.NewResponseController(rw).Flush()
	}
}

// event is one event of a stream; numbers begin at 1.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }
