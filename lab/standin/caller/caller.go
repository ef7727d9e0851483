// Package caller stands in for the callers on the users' platform: it resolves
// instance addresses and sends requests as they do.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Request is one client attempt.
type Request struct {
	// ID is unique to the attempt.
	ID, Host, Path, Key, Body string
	// PromptTokens is the length of a model prompt, zero for a plain service.
	PromptTokens int
	Deadline     time.Duration
}

// Answer is the result of an attempt. If Err is set, the answer is incomplete.
type Answer struct {
	Status     int
	Body, Seal string
	Err        error
	Took       time.Duration
}

// answerTokens is the maximum number of output tokens that callers request.
const answerTokens = 100

// Caller sends requests over persistent connections.
type Caller struct{ http *http.Client }

// New returns a caller that keeps its connections open until the other end closes them.
func New() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Send makes one attempt at an instance.
func (c *Caller) Send(ctx context.Context, addr string, r Request) (a Answer) {
	start := time.Now()
	defer func() { a.Took = time.Since(start) }()
	req, err := r.http(ctx, addr)
	if err != nil {
		return Answer{Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	return readAnswer(resp)
}

// http returns the request as it is sent to an address.
func (r Request) http(ctx context.Context, addr string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, the transport would resend an attempt whose connection closed.
	req.GetBody = nil
	req.Host = r.Host
	req.Header.Set("X-Request-Id", r.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+r.Key)
	if r.PromptTokens > 0 {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", r.PromptTokens, answerTokens))
	}
	return req, nil
}

func readAnswer(resp *http.Response) Answer {
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: string(raw), Seal: resp.Header.Get("X-Response-Seal"), Err: err}
}

// Addresses asks an instance for the addresses to use.
func (c *Caller) Addresses(ctx context.Context, directory, host, dataCentre string) ([]string, error) {
	q := url.Values{"name": {host}, "zone": {dataCentre}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses, err
}

// Ready reports whether an instance's readiness check succeeds.
func (c *Caller) Ready(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// NotRun reports whether a status guarantees that the request has not run.
func NotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
