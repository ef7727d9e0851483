// Package service is the HTTP client for plain services. It reads the whole answer
// of a call before it returns.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/internal/strictclient"
	"github.com/auburnmoor/auburnmoor/port/netfault"
)

// MaxAnswer is the maximum size of an answer in bytes.
const MaxAnswer = 16 << 20

// Errors of Client. ErrNotSent guarantees that no byte reached the server.
var (
	ErrNotSent  = errors.New("call did not reach the server")
	ErrBroken   = errors.New("call failed after it was sent")
	ErrTooLarge = errors.New("answer exceeds the limit")
)

// Call is a call to a plain service.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services.
type Client struct{ http *http.Client }

// NewClient returns a client whose connection attempts time out after dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Transport: strictclient.New(&http.Transport{
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}, &net.Dialer{Timeout: dialTimeout}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do makes a call. The transport retries by itself requests that it considers
// idempotent and that failed on a reused connection. Clearing GetBody prevents that.
func (c *Client) Do(ctx context.Context, addr string, call Call) (Answer, error) {
	u := "http://" + addr + call.Path
	if call.Query != "" {
		u += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, u, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return Answer{}, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(call.Body))
	req.GetBody = nil
	req.Header = call.Header
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, netfault.Mark(err, ErrNotSent, ErrBroken)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return Answer{}, errors.Mark(err, ErrBroken)
	}
	if len(body) > MaxAnswer {
		return Answer{}, ErrTooLarge
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
