// Package objectapi is the client for the platform's object API: versioned objects,
// conditional updates and watches over HTTP.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/internal/strictclient"
)

// MaxValue is the largest value in bytes that the platform stores.
const MaxValue = 1 << 20

// Object is one stored value. Version increases with every write of the key and is
// zero for a key that does not exist.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Errors of Store. ErrUnknown means that a write may or may not have taken effect;
// only reading the key again can tell.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object version conflict")
	ErrUnavailable = errors.New("object API unavailable")
	ErrUnknown     = errors.New("outcome of the write is unknown")
	ErrTooLarge    = errors.New("value exceeds the platform's limit")
)

// FirstEra is the era of a platform that was never restored from an older copy.
const FirstEra = 1

// Store is the part of the object API in use.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the version of the key is expect; zero means that the key
	// does not exist.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until the version of the key differs from have, or until wait has
	// passed.
	Watch(ctx context.Context, key string, have uint64, wait time.Duration) (Object, error)
	// Era returns the newest era reported by an answer. It increases when the platform
	// is restored from an older copy of its objects; versions from an earlier era are
	// then invalid. An answer is never from an earlier era than Era returned before
	// the call.
	Era() uint64
}

// Headers of the HTTP protocol.
const (
	HeaderVersion = "X-Object-Version"
	HeaderExpect  = "X-Object-Expect"
	HeaderEra     = "X-Object-Era"
)

// Client calls the object API over HTTP.
type Client struct {
	base string
	http *http.Client
	// Count is called with the method of each request, as the platform counts them.
	Count func(method string)
	era   atomic.Uint64
}

// Era implements Store.
func (c *Client) Era() uint64 { return c.era.Load() }

// ObserveEra records an era that another instance reported.
func (c *Client) ObserveEra(era uint64) {
	for {
		old := c.era.Load()
		if era <= old || c.era.CompareAndSwap(old, era) {
			return
		}
	}
}

var errOldEra = errors.New("answer from an earlier era")

// checkEra records the era of an answer. An answer from an earlier era is late and
// rejected.
func (c *Client) checkEra(resp *http.Response) error {
	era, err := strconv.ParseUint(resp.Header.Get(HeaderEra), 10, 64)
	known := c.era.Load()
	if err != nil && known == 0 {
		return nil
	}
	if err != nil || era < known {
		return errors.Wrapf(errOldEra, "era %q, the newest known is %d", resp.Header.Get(HeaderEra), known)
	}
	c.ObserveEra(era)
	return nil
}

// NewClient returns a client of the object API at addr (host:port).
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr + "/objects", http: strictclient.Default, Count: func(string) {}}
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, "get", c.base+"/"+url.PathEscape(key), key)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, have uint64, wait time.Duration) (Object, error) {
	u := fmt.Sprintf("%s/%s?watch=%d&wait_ms=%d", c.base, url.PathEscape(key), have, wait.Milliseconds())
	return c.read(ctx, "watch", u, key)
}

func (c *Client) read(ctx context.Context, method, u, key string) (Object, error) {
	resp, err := c.do(ctx, method, http.MethodGet, u, nil, nil)
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	defer drain(resp.Body)
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, err
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	return Object{Key: key, Version: version(resp), Value: value}, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	resp, err := c.do(ctx, "list", http.MethodGet, c.base+"?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	defer drain(resp.Body)
	if err := statusError(resp.StatusCode); err != nil {
		return nil, err
	}
	var out []Object
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	return out, nil
}

// Put implements Store. A transport error is ErrUnknown: the platform may have
// applied the write and only the reply was lost.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	era := c.Era()
	resp, err := c.do(ctx, "put", http.MethodPut, c.base+"/"+url.PathEscape(key), value, &expect)
	if err != nil {
		return 0, errors.Mark(err, ErrUnknown)
	}
	defer drain(resp.Body)
	if err := statusError(resp.StatusCode); err != nil {
		return version(resp), err
	}
	if c.Era() != era && era != 0 {
		// expect was read in another era, in which it referred to other content.
		return 0, errors.Wrap(ErrUnknown, "the platform's era changed during the write")
	}
	return version(resp), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	resp, err := c.do(ctx, "delete", http.MethodDelete, c.base+"/"+url.PathEscape(key), nil, &expect)
	if err != nil {
		return errors.Mark(err, ErrUnknown)
	}
	defer drain(resp.Body)
	return statusError(resp.StatusCode)
}

func (c *Client) do(ctx context.Context, callName, method, u string, body []byte, expect *uint64) (*http.Response, error) {
	c.Count(callName)
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if expect != nil {
		req.Header.Set(HeaderExpect, strconv.FormatUint(*expect, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if err := c.checkEra(resp); err != nil {
		drain(resp.Body)
		return nil, err
	}
	return resp, nil
}

func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Mark(errors.Newf("object API answered %d", status), ErrUnavailable)
	}
}

func version(resp *http.Response) uint64 {
	v, _ := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	return v
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxValue))
	_ = body.Close()
}
