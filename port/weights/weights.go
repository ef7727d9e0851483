// Package weights is the port to the weight store, which is rate-limited.
package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// Errors of the port.
var (
	ErrNotFound = errors.New("no such weights")
	ErrLimited  = errors.New("weight store limits the rate")
)

// Client asks the weight store over HTTP.
type Client struct{ base string }

// NewClient returns a client of the weight store at addr (host:port).
func NewClient(addr string) *Client { return &Client{base: "http://" + addr + "/weights/"} }

// Reserve asks for one load of a model's weights. Engines fetch the weights
// themselves; asking first keeps loads within the store's rate and catches a
// model that does not exist before an engine is told to load it.
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
		return ErrLimited
	default:
		return errors.Newf("weight store answered %d", resp.StatusCode)
	}
}
