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

// An idempotency key with the prefix from /v1/entries is bound to the process
// that issued the prefix. Only that process runs it, so it needs no ledger and
// runs while the store is down. Other instances forward the request. Once the
// process is gone, the outcome of the key is unknown and it never runs again.

// boundKeyMark is the common prefix of all bound keys.
const boundKeyMark = "home~"

// headerForwarded marks a forwarded request, so that it is forwarded only once.
const headerForwarded = "X-Auburnmoor-Forwarded"

// Limits of the bound keys. A full table rejects new keys, because evicting a
// key could run it twice.
const (
	maxBoundKeys        = 200_000
	maxBoundAnswerBytes = 16 << 20
)

type boundKey struct {
	body        uint64
	done        bool
	kept        bool
	status      int
	contentType string
	answer      []byte
}

// boundKeys is the table of the keys bound to this process.
type boundKeys struct {
	mu        sync.Mutex
	keys      map[claim.Key]*boundKey
	bytesKept int
}

func newBoundKeys() *boundKeys { return &boundKeys{keys: map[claim.Key]*boundKey{}} }

// begin registers a key, or returns a copy of its existing entry.
func (b *boundKeys) begin(k claim.Key, body uint64) (known *boundKey, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.keys[k]; e != nil {
		found := *e
		return &found, false
	}
	if len(b.keys) >= maxBoundKeys {
		return nil, true
	}
	b.keys[k] = &boundKey{body: body}
	return nil, false
}

func (b *boundKeys) keep(k claim.Key, status int, contentType string, answer []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.keys[k]
	e.done, e.status, e.contentType = true, status, contentType
	if b.bytesKept+len(answer) <= maxBoundAnswerBytes {
		e.kept, e.answer = true, answer
		b.bytesKept += len(answer)
	}
}

// release removes a key whose request did not run.
func (b *boundKeys) release(k claim.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.keys, k)
}

func (a *API) boundKeyPrefix() string {
	return fmt.Sprintf("%s%s~%x~", boundKeyMark, a.self.Name, a.self.Incarnation)
}

// parseBoundKey returns the instance and incarnation that a key is bound to.
func parseBoundKey(key string) (name string, incarnation uint64, ok bool) {
	rest, ok := strings.CutPrefix(key, boundKeyMark)
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

// serveBoundKey runs a request with a bound key, or forwards it.
func (a *API) serveBoundKey(c echo.Context, who caller, body []byte, f claimHandlers, name string, incarnation uint64) error {
	if name != a.self.Name || incarnation != a.self.Incarnation {
		return a.forward(c, name, incarnation)
	}
	k := claim.KeyOf(who.customer.Name, who.key)
	sum := xxhash.Sum64(body)
	known, full := a.bound.begin(k, sum)
	switch {
	case full:
		return result.New(result.ClaimUnavailable, "this instance holds too many bound keys; use a key without the prefix of /v1/entries").WithRetryAfter(time.Second)
	case known == nil:
		return a.runBoundKey(c, k, f)
	case known.body != sum:
		return result.New(result.KeyReused, "the key was used with another request")
	case !known.done:
		return result.New(result.ClaimRunning, "the key is running or its outcome is unknown").WithRetryAfter(time.Second)
	default:
		return a.replayAnswer(c, &peerpb.ClaimReply{
			Runner: name, AnswerKept: known.kept, Status: uint32(known.status), ContentType: known.contentType, Answer: known.answer,
		})
	}
}

func (a *API) runBoundKey(c echo.Context, k claim.Key, f claimHandlers) error {
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	err := f.run(&claimedKey{keepBound: func(status int, contentType string, answer []byte) { a.bound.keep(k, status, contentType, answer) }})
	var coded *result.Error
	if errors.As(err, &coded) && coded.NotRun {
		a.bound.release(k)
	}
	return err
}

// forward sends a request to the instance that its key is bound to, once.
func (a *API) forward(c echo.Context, name string, incarnation uint64) error {
	if c.Request().Header.Get(headerForwarded) != "" || !a.mem.View().Lives(name, incarnation) {
		return result.New(result.OutcomeUnknown, "the instance that this key is bound to is gone; the request will not run")
	}
	r := c.Request()
	req := &peerpb.ForwardRequest{Method: r.Method, Path: r.URL.RequestURI(), Headers: map[string]string{headerForwarded: a.self.Name}, Body: savedBody(c)}
	for _, h := range []string{echo.HeaderAuthorization, echo.HeaderContentType, headerKind, headerTimeLimit, headerKey} {
		req.Headers[h] = r.Header.Get(h)
	}
	reply, err := a.link.Forward(r.Context(), name, req)
	if err != nil {
		return result.New(result.OutcomeUnknown, "the instance that this key is bound to did not answer")
	}
	for k, v := range reply.Headers {
		c.Response().Header().Set(k, v)
	}
	return c.Blob(int(reply.Status), reply.Headers[echo.HeaderContentType], reply.Body)
}

// handleForward serves a request that another instance forwarded.
func (a *API) handleForward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for k, v := range req.Headers {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	w := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	a.server.Handler.ServeHTTP(w, r)
	out := &peerpb.ForwardReply{Status: uint32(w.status), Headers: map[string]string{}, Body: w.body.Bytes()}
	for k := range w.header {
		out.Headers[k] = w.header.Get(k)
	}
	return out, nil
}

// responseBuffer collects a response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *responseBuffer) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *responseBuffer) Write(b []byte) (int, error) { return w.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (w *responseBuffer) WriteHeader(status int) { w.status = status }

// Flush implements http.Flusher. It does nothing: the response is sent as a whole.
func (w *responseBuffer) Flush() {}
