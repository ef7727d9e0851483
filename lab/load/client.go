package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/standin/answer"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// callResult is the outcome of one request; err is empty if it succeeded.
type callResult struct {
	first, total time.Duration
	correct      bool
	err          string
	body         string // only of a plain service
}

type client struct {
	o      Options
	http   *http.Client
	engine *engine.Client
	next   atomic.Uint64
}

func newClient(o Options) *client {
	t := &http.Transport{MaxIdleConnsPerHost: o.InFlight, MaxIdleConns: 0, DisableCompression: true}
	return &client{o: o, http: &http.Client{Transport: t}, engine: engine.NewClient(time.Second)}
}

// nextEntry returns the address of an entry instance, round robin.
func (c *client) nextEntry() string {
	return c.o.Entries[c.next.Add(1)%uint64(len(c.o.Entries))]
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (c *client) complete(ctx context.Context, r request) callResult {
	body, err := json.Marshal(completionBody{Model: c.o.Model, Prompt: r.prompt, MaxTokens: c.o.Output, Stream: c.o.Stream})
	if err != nil {
		return callResult{err: err.Error()}
	}
	began := time.Now()
	resp, err := c.post(ctx, "/v1/completions", body, nil)
	if err != nil {
		return callResult{err: "transport"}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return callResult{err: errorName(resp.Body)}
	}
	var a callResult
	var text string
	if c.o.Stream {
		text, a = readStream(resp.Body, began)
	} else {
		text, a = readWhole(resp.Body, began)
	}
	a.total = time.Since(began)
	a.correct = text == answer.Whole(r.prompt, c.o.Output)
	return a
}

func (c *client) post(ctx context.Context, path string, body []byte, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.nextEntry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if h != nil {
		req.Header = h
	}
	req.Header.Set("Authorization", "Bearer "+c.o.Key)
	req.Header.Set("Content-Type", "application/json")
	if c.o.Kind != "" {
		req.Header.Set("X-Request-Kind", c.o.Kind)
	}
	return c.http.Do(req)
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Name string `json:"name"`
	} `json:"error"`
}

func errorName(body io.Reader) string {
	var c chunk
	if json.NewDecoder(io.LimitReader(body, 1<<16)).Decode(&c) != nil || c.Error == nil {
		return "unreadable error"
	}
	return c.Error.Name
}

func readWhole(body io.Reader, began time.Time) (string, callResult) {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) == 0 {
		return "", callResult{err: "unreadable answer"}
	}
	return c.Choices[0].Text, callResult{first: time.Since(began)}
}

// readStream reads server-sent events until [DONE]; a stream that ends without
// it counts as an error.
func readStream(body io.Reader, began time.Time) (string, callResult) {
	var text strings.Builder
	var a callResult
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), a
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", callResult{err: "unreadable chunk"}
		}
		if c.Error != nil {
			return "", callResult{err: c.Error.Name}
		}
		if a.first == 0 {
			a.first = time.Since(began)
		}
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Text)
		}
	}
	return text.String(), callResult{err: "answer cut off"}
}

// completeDirect sends the request to an engine without going through an entry.
func (c *client) completeDirect(ctx context.Context, r request) callResult {
	var a callResult
	var text strings.Builder
	began := time.Now()
	s := engine.Stream{ID: fmt.Sprintf("load-%d-%d", c.o.Seed, r.n), Attempt: 1, Model: c.o.DirectModel, MaxTokens: c.o.Output}
	err := c.engine.Run(ctx, c.o.Direct, s, r.prompt, func(ch engine.Chunk) error {
		if a.first == 0 {
			a.first = time.Since(began)
		}
		text.WriteString(ch.Text)
		return nil
	})
	if err != nil {
		return callResult{err: "engine: " + errors.UnwrapAll(err).Error()}
	}
	a.total = time.Since(began)
	a.correct = text.String() == answer.Whole(r.prompt, c.o.Output)
	return a
}

// callService calls a plain service and checks that the response names the
// request's idempotency key.
func (c *client) callService(ctx context.Context, r request) callResult {
	h := http.Header{}
	if r.key != "" {
		h.Set("Idempotency-Key", r.key)
	}
	began := time.Now()
	resp, err := c.post(ctx, "/v1/services/"+c.o.Service+"/run", []byte("{}"), h)
	if err != nil {
		return callResult{err: "transport"}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return callResult{err: errorName(resp.Body)}
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{err: "answer cut off"}
	}
	took := time.Since(began)
	return callResult{first: took, total: took, correct: bytes.Contains(raw, []byte(`"key":"`+r.key+`"`)), body: string(raw)}
}
