// Package engine is the HTTP client for model engines: streams, cancel and resume,
// KV cache export, load reports, cache events and orders.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/internal/strictclient"
	"github.com/auburnmoor/auburnmoor/port/netfault"
)

// Stream is the metadata of a stream; the prompt is sent as the raw body.
type Stream struct {
	ID        string   `json:"id"`
	Attempt   uint32   `json:"attempt"`
	Model     string   `json:"model"`
	MaxTokens int64    `json:"max_tokens"`
	Priority  int64    `json:"priority"`
	Hold      bool     `json:"hold,omitempty"`
	Import    []Handle `json:"import,omitempty"`
}

// Handle identifies an exported KV cache of another engine.
type Handle struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Chunk is one line of an answer. A consumer accepts a chunk only if Attempt is its
// own and Seq is the next number. The last line has End set and the Count of all
// chunks.
type Chunk struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Seq     int64  `json:"seq"`
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Count   int64  `json:"count,omitempty"`
	Held    bool   `json:"held,omitempty"`
	Prompt  int64  `json:"prompt,omitempty"`
	Cached  int64  `json:"cached,omitempty"`
}

// StreamState is a stream in a load report.
type StreamState struct {
	ID          string `json:"id"`
	AgeMS       int64  `json:"age_ms"`
	Memory      int64  `json:"memory"`
	PrefillLeft int64  `json:"prefill_left"`
	Emitted     int64  `json:"emitted"`
	Held        bool   `json:"held,omitempty"`
}

// Report is the load of an engine, published with a delay.
type Report struct {
	Engine  string `json:"engine"`
	AtMS    int64  `json:"at_ms"`
	KVTotal int64  `json:"kv_total"`
	KVUsed  int64  `json:"kv_used"`
	// Steps counts completed steps; it stops increasing while the engine hangs.
	Steps   int64 `json:"steps"`
	Queued  int   `json:"queued"`
	Running int   `json:"running"`
	// PrefillPerSecond is the recent rate while busy, StepMS the recent step time.
	PrefillPerSecond float64       `json:"prefill_per_second"`
	StepMS           float64       `json:"step_ms"`
	Models           []string      `json:"models"`
	Role             string        `json:"role"`
	Fence            uint64        `json:"fence"`
	Fencing          bool          `json:"fencing"`
	Streams          []StreamState `json:"streams"`
}

// CacheEvent reports that a block was added to or evicted from the prefix cache. A
// gap in Seq means that events were lost.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted,omitempty"`
}

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes an engine. It is idempotent.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	Fence  uint64    `json:"fence"`
}

// Errors of Client. ErrNotSent means that no byte can have reached the engine.
var (
	ErrStaleFence = errors.New("order carries a stale fencing token")
	ErrNotSent    = errors.New("request did not reach the engine")
	ErrBroken     = errors.New("stream broke before its end")
	ErrRefused    = errors.New("engine refused the stream")
)

// HeaderStream carries the JSON form of Stream.
const HeaderStream = "X-Stream"

// Client calls engines over HTTP.
type Client struct{ http *http.Client }

// NewClient returns a client whose connection attempts time out after dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	t := strictclient.New(&http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}, &net.Dialer{Timeout: dialTimeout})
	return &Client{http: &http.Client{Transport: t}}
}

// Run starts a stream and calls onChunk for every chunk until the end.
func (c *Client) Run(ctx context.Context, addr string, s Stream, prompt string, onChunk func(Chunk) error) error {
	meta, err := json.Marshal(s)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/streams", strings.NewReader(prompt))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderStream, string(meta))
	return c.stream(req, onChunk)
}

// Resume reattaches to a running stream, starting at chunk number from.
func (c *Client) Resume(ctx context.Context, addr, id string, from int64, onChunk func(Chunk) error) error {
	u := fmt.Sprintf("http://%s/v1/streams/%s/resume?from=%d", addr, url.PathEscape(id), from)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
	if err != nil {
		return err
	}
	return c.stream(req, onChunk)
}

func (c *Client) stream(req *http.Request, onChunk func(Chunk) error) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return netfault.Mark(err, ErrNotSent, ErrBroken)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return errors.Mark(errors.Newf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(msg)), ErrRefused)
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errors.Mark(errors.Wrap(err, "reading stream"), ErrBroken)
		}
		var ch Chunk
		if err := json.Unmarshal(line, &ch); err != nil {
			return errors.Mark(errors.Wrap(err, "decoding chunk"), ErrBroken)
		}
		if err := onChunk(ch); err != nil {
			return err
		}
		if ch.End {
			return nil
		}
	}
}

// Cancel ends a stream or releases a held KV cache. It is idempotent.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	return c.call(ctx, http.MethodPost, "http://"+addr+"/v1/streams/"+url.PathEscape(id)+"/cancel", nil, nil)
}

// Load returns the last published load report.
func (c *Client) Load(ctx context.Context, addr string) (Report, error) {
	var r Report
	err := c.call(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil, &r)
	return r, err
}

// Events returns the cache events after seq.
func (c *Client) Events(ctx context.Context, addr string, seq uint64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/cache-events?since=%d", addr, seq), nil, &out)
	return out, err
}

// Order sends an order.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "http://"+addr+"/v1/orders", raw, nil)
}

func (c *Client) call(ctx context.Context, method, u string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return netfault.Mark(err, ErrNotSent, ErrBroken)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrStaleFence
	case resp.StatusCode >= 300:
		return errors.Newf("engine answered %d", resp.StatusCode)
	case out == nil:
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
