package api

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/balance"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/service"
	"github.com/auburnmoor/auburnmoor/result"
)

func (a *API) callService(c echo.Context) error {
	who, err := a.authenticate(c)
	if err != nil {
		return err
	}
	svc, ok := who.index.Service(c.Param("name"))
	if !ok || svc.Type != manifest.Plain {
		return result.New(result.UnknownService, "no plain service has this name")
	}
	if err := a.resolveKind(c, &who, svc); err != nil {
		return err
	}
	raw, err := a.readBody(c, who.customer.Name)
	if err != nil {
		return err
	}
	call := newCall(c, svc, who, raw)
	if !who.kind.NeverTwice {
		return a.callPlain(c, who, svc.Name, call, nil)
	}
	if err := a.takeParsed(c, raw); err != nil {
		return err
	}
	fingerprint := append([]byte(call.Method+" "+svc.Name+call.Path+"?"+call.Query+"\n"), raw...)
	return a.runOnce(c, who, fingerprint, claimHandlers{
		run: func(r *claimedKey) error { return a.callPlain(c, who, svc.Name, call, r.storeAnswer) },
	})
}

// hopHeaders are not passed on: hop-by-hop headers, the caller's credentials and
// headers for this instance.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", headerKind, headerTimeLimit, headerForwarded,
}

func newCall(c echo.Context, svc manifest.Service, who caller, raw []byte) service.Call {
	r := c.Request()
	h := r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(headerRequestID, requestID(c))
	h.Set("X-Customer", who.customer.Name)
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+svc.Name)
	if path == "" {
		path = "/"
	}
	return service.Call{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: h, Body: raw}
}

// callPlain tries one backend server after another until one answers, the retry
// budget is exhausted or the time limit passes.
func (a *API) callPlain(c echo.Context, who caller, name string, call service.Call, keep keepFunc) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), who.timeBudget)
	defer cancel()
	var tried []string
	var sent bool
	for {
		server, ok := a.pick(name, tried)
		if !ok {
			return noServerError(sent)
		}
		ans, err := a.plain.Do(ctx, server.Addr, call)
		a.recordCall(name, server.Name, verdictOf(c.Request().Context(), err))
		if err == nil {
			return a.writePlainAnswer(c, ans, keep)
		}
		tried = append(tried, server.Name)
		sent = sent || !errors.Is(err, service.ErrNotSent)
		if stop := a.checkRetry(c, ctx, who, name, sent, err); stop != nil {
			return stop
		}
	}
}

func noServerError(sent bool) error {
	if sent {
		return result.New(result.BackendFailed, "the backend server failed and no other is ready").WithRetryAfter(time.Second)
	}
	return result.New(result.NoBackend, "no backend server is ready").WithRetryAfter(time.Second)
}

// checkRetry returns the error to send to the caller, or nil to retry on another
// server.
func (a *API) checkRetry(c echo.Context, ctx context.Context, who caller, name string, sent bool, err error) error {
	switch {
	case c.Request().Context().Err() != nil:
		return result.New(result.CallerGone, "the caller closed the connection")
	case who.kind.NeverTwice && sent:
		return result.New(result.OutcomeUnknown, "the call may have run; it is not repeated")
	case ctx.Err() != nil && sent:
		return result.New(result.DeadlinePassed, "the time limit passed")
	case ctx.Err() != nil:
		return result.New(result.DeadlineNotRun, "the time limit passed before a backend server was reached")
	case errors.Is(err, service.ErrTooLarge):
		return result.New(result.BackendFailed, "the answer exceeds %d bytes", service.MaxAnswer)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pools[name].TakeRetry() {
		e := result.New(result.BackendFailed, "the backend server failed and the retry budget is spent").WithRetryAfter(time.Second)
		e.NotRun = !sent
		return e
	}
	return nil
}

func (a *API) pick(name string, tried []string) (balance.Server, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[name]
	if p == nil {
		return balance.Server{}, false
	}
	return p.Pick(a.now(), tried)
}

func verdictOf(caller context.Context, err error) balance.Verdict {
	switch {
	case err == nil:
		return balance.Succeeded
	case caller.Err() != nil:
		return balance.CallerCancelled
	default:
		return balance.Failed
	}
}

func (a *API) recordCall(name, server string, v balance.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pools[name].Done(a.now(), server, v)
}

func (a *API) writePlainAnswer(c echo.Context, ans service.Answer, keep keepFunc) error {
	contentType := ans.Header.Get(echo.HeaderContentType)
	if keep != nil {
		keep(ans.Status, contentType, ans.Body)
	}
	h := c.Response().Header()
	for k, vs := range ans.Header {
		if k == "Content-Length" || http.CanonicalHeaderKey(k) == headerRequestID {
			continue
		}
		h[k] = vs
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	a.countResult(result.OK)
	return c.Blob(ans.Status, contentType, ans.Body)
}
