package relay

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// Callers that are refused because all servers rest are asked back over some time after the first
// rest ends: uniformly over restSpread, or less if few can have been refused in what is left of the
// rest. Two seconds make the second one after the rest as busy as the first.
const (
	restSpread       = 2 * time.Second
	restSpreadFactor = 4
)

// asksForLongRest reports whether a server that refused a request wants none of this instance for
// longer than a server is passed over that refused one: this is no word for other instances, and
// callers need not wait for it while other servers have room.
func asksForLongRest(h backend.Head) bool {
	return h.Rest.Status == backend.RestAsked && h.Rest.For >= away.InitialPause
}

// restLeft returns the time until a first server of the service may get a request, zero if one may
// get it now, or if there is none at all.
func (x *exchange) restLeft() time.Duration {
	r := x.relay
	if !r.notices.Any() {
		return 0
	}
	return shortestRest(r.catalog.Servers().Ready(x.service.Name), r.notices.RestLeft)
}

// shortestRest returns the shortest rest of servers that all rest, or zero.
func shortestRest(servers []backends.Server, left func(backends.Server) time.Duration) (shortest time.Duration) {
	for i, s := range servers {
		d := left(s)
		if d == 0 {
			return 0
		}
		if i == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// retryAfterRest returns when a caller may come back that was refused that long before the first
// rest ends; draw is a random number from [0, 1).
func retryAfterRest(left time.Duration, draw float64) time.Duration {
	return left + time.Duration(draw*float64(min(restSpread, restSpreadFactor*left)))
}

// retryAfterAllRest returns when the caller may come back if all servers rest, or zero.
func (x *exchange) retryAfterAllRest() time.Duration {
	left := x.restLeft()
	if left == 0 {
		return 0
	}
	return retryAfterRest(left, rand.Float64())
}
