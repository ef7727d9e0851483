package api

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/claim"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// A key that begins with the prefix of /v1/entries has a home: the one process
// that gave the prefix. Only that process ever runs it, so it needs no ledger
// and runs while the store is down. Other instances pass the request on; when
// the home is gone, nobody can tell whether the key ran, and nobody runs it.

// homeMark begins the keys that have a home.
const homeMark = "home~"

// headerForwarded marks a request that another instance passed on, so that it
// is passed on once only.
const headerForwarded = "X-Auburnmoor-Forwarded"

// Bounds of the keys at home. A full table refuses new keys: forgetting one
// could run it twice.
const (
	maxHomeKeys    = 200_000
	maxHomeAnswers = 16 << 20
)

type homeKey struct {
	body        uint64
	done        bool
	kept        bool
	status      int
	contentType string
	answer      []byte
}

// home is the table of the keys whose home is this process.
type home struct {
	mu      sync.Mutex
	keys    map[claim.Key]*homeKey
	answers int
}

func newHome() *home { return &home{keys: map[claim.Key]*homeKey{}} }

// begin registers a key, or returns what is known of it.
func (h *home) begin(k claim.Key, body uint64) (known *homeKey, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.keys[k]; e != nil {
		found := *e
		return &found, false
	}
	if len(h.keys) >= maxHomeKeys {
		return nil, true
	}
	h.keys[k] = &homeKey{body: body}
	return nil, false
}

func (h *home) keep(k claim.Key, status int, contentType string, answer []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.keys[k]
	e.done, e.status, e.contentType = true, status, contentType
	if h.answers+len(answer) <= maxHomeAnswers {
		e.kept, e.answer = true, answer
		h.answers += len(answer)
	}
}

// release frees a key whose request did not run.
func (h *home) release(k claim.Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.keys, k)
}

func (a *API) homePrefix() string {
	return fmt.Sprintf("%s%s~%x~", homeMark, a.self.Name, a.self.Incarnation)
}

// homeOf reads the home from a key.
func homeOf(key string) (name string, incarnation uint64, ok bool) {
	rest, ok := strings.CutPrefix(key, homeMark)
	if !ok {
		return "", 0, false
	}
	f := strings.SplitN(rest, "~", 3)
	if len(f) != 3 {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(f[1], 16, 64)
	return f[0], incarnation, err == nil
}

// atHome runs a request whose key has a home.
func (a *API) atHome(c echo.Context, who caller, body []byte, f onceFuncs, name string, incarnation uint64) error {
	if name != a.self.Name || incarnation != a.self.Incarnation {
		return a.passOn(c, name, incarnation)
	}
	k := claim.KeyOf(who.customer.Name, who.key)
	sum := xxhash.Sum64(body)
	known, full := a.home.begin(k, sum)
	switch {
	case full:
		return result.New(result.ClaimUnavailable, "this instance holds too many keys; use one without a home").WithRetryAfter(time.Second)
	case known == nil:
		return a.runAtHome(c, k, f)
	case known.body != sum:
		return result.New(result.KeyReused, "the key was used with another request")
	case !known.done:
		return result.New(result.ClaimRunning, "the key is running or its outcome is unknown").WithRetryAfter(time.Second)
	default:
		return a.showKept(c, &peerpb.ClaimReply{
			Runner: name, AnswerKept: known.kept, Status: uint32(known.status), ContentType: known.contentType, Answer: known.answer,
		})
	}
}

func (a *API) runAtHome(c echo.Context, k claim.Key, f onceFuncs) error {
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	err := f.run(&claimed{keepAt: func(status int, contentType string, answer []byte) { a.home.keep(k, status, contentType, answer) }})
	var coded *result.Error
	if errors.As(err, &coded) && coded.NotRun {
		a.home.release(k)
	}
	return err
}

// passOn sends a request to the home of its key, once.
func (a *API) passOn(c echo.Context, name string, incarnation uint64) error {
	if c.Request().Header.Get(headerForwarded) != "" || !a.mem.View().Lives(name, incarnation) {
		return result.New(result.OutcomeUnknown, "the home of this key is gone; it will not run")
	}
	r := c.Request()
	req := &peerpb.ForwardRequest{Method: r.Method, Path: r.URL.RequestURI(), Headers: map[string]string{headerForwarded: a.self.Name}, Body: rawBody(c)}
	for _, h := range []string{echo.HeaderAuthorization, echo.HeaderContentType, headerKind, headerLimit, headerKey} {
		req.Headers[h] = r.Header.Get(h)
	}
	reply, err := a.link.Forward(r.Context(), name, req)
	if err != nil {
		return result.New(result.OutcomeUnknown, "the home of this key did not answer")
	}
	for k, v := range reply.Headers {
		c.Response().Header().Set(k, v)
	}
	return c.Blob(int(reply.Status), reply.Headers[echo.HeaderContentType], reply.Body)
}

// forwarded answers a request that another instance passed on.
func (a *API) forwarded(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for k, v := range req.Headers {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	w := &wholeResponse{header: http.Header{}, status: http.StatusOK}
	a.server.Handler.ServeHTTP(w, r)
	out := &peerpb.ForwardReply{Status: uint32(w.status), Headers: map[string]string{}, Body: w.body.Bytes()}
	for k := range w.header {
		out.Headers[k] = w.header.Get(k)
	}
	return out, nil
}

// wholeResponse collects a response in memory.
type wholeResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *wholeResponse) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *wholeResponse) Write(b []byte) (int, error) { return w.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (w *wholeResponse) WriteHeader(status int) { w.status = status }

// Flush implements http.Flusher; the response is sent whole.
func (w *wholeResponse) Flush() {}
