//go:build review

package stage

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target, body string
	model, counts, prefix    string
	deadline                 time.Duration
	// machine is the one that it is sent to.
	machine *machine
}

// reply is what the client of a request saw.
type reply struct {
	status int
	seal   string
	// leaving is set if the answer says that its worker leaves.
	leaving bool
	body    string
	err     error
	took    time.Duration
}

// send sends a request on a connection that may be kept.
func (r request) send(client *http.Client) reply {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+2*time.Second)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.machine.front+r.target, body)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if r.counts != "" {
		req.Header.Set("X-Model", r.model)
		req.Header.Set("X-Token-Counts", r.counts)
		req.Header.Set("X-Prompt-Prefix", r.prefix)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal"), leaving: resp.Header.Get("Server-Leaving") == "1", body: string(raw), err: err, took: time.Since(began)}
}
