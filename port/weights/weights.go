// Package weights is the client for the rate-limited weight store.
package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// Errors of Client.
var (
	ErrNotFound    = errors.New("weights not found")
	ErrRateLimited = errors.New("weight store rate limit exceeded")
)

// Client calls the weight store over HTTP.
type Client struct{ base string }

// NewClient returns a client of the weight store at addr (host:port).
func NewClient(addr string) *Client { return &Client{base: "http://" + addr + "/weights/"} }

// Reserve requests permission for one load of a model's weights. Engines fetch the
// weights themselves; reserving first keeps loads within the store's rate limit and
// detects a missing model before an engine is ordered to load it.
func (c *Client) Reserve(ctx context.Context, model string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+url.PathEscape(model), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return errors.Newf("weight store answered %d", resp.StatusCode)
	}
}
