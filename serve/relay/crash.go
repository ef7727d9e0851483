package relay

import (
	"context"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// crashes tells servers that ended from connections that broke. Both break the
// attempts in progress; only a server that ended refuses new connections.
type crashes struct {
	refuses func(ctx context.Context, addr string) bool
	count   tally.Counter
	asked   singleflight.Group
}

// confirm reports whether a server, an attempt at which just broke, has ended. All
// attempts that break with one server ask once.
func (c *crashes) confirm(s backends.Server) bool {
	ended, _, _ := c.asked.Do(s.ID, func() (any, error) {
		ended := c.refuses(context.Background(), s.Addr)
		if ended {
			c.count.Inc(1)
		}
		return ended, nil
	})
	return ended.(bool)
}
