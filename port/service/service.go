// Package service is the port to plain services: one HTTP call whose answer is
// read whole before any of it is shown.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/netfault"
)

// MaxAnswer bounds an answer in bytes.
const MaxAnswer = 16 << 20

// Errors of the port. ErrNotSent promises that no byte reached the server.
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

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services.
type Client struct{ http *http.Client }

// NewClient returns a client whose connection attempts end after dial.
func NewClient(dial time.Duration) *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do makes a call. The transport repeats by itself only requests that it
// believes idempotent and that failed on a reused connection; GetBody is
// removed so that it never does.
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
