package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// maxRetryAfterCold is the longest time after which callers may come back that are refused because all
// servers are cold. A quota that is used up is free again after about a second.
const maxRetryAfterCold = time.Second

// coldState is what placing a request at cold servers needs.
type coldState struct {
	// leftOut is set if the last placement passed over a server only because it is cold.
	leftOut bool
	// counted is set once the request is counted as one that passed over a cold server.
	counted bool
	// send is the part of the quota that was taken for the plan chosen last, until its attempt begins.
	send *coldSend
}

// leaveOutCold records that a cold server was passed over.
func (x *exchange) leaveOutCold() {
	x.cold.leftOut = true
	if !x.cold.counted {
		x.cold.counted = true
		x.relay.count("requests_past_cold_servers_total", "service", x.service.Name)
	}
}

// chooseWithin chooses among servers and counts the request against the quota of its writer if that is
// cold. If another request has used up the quota since the servers were filtered, it chooses again
// without that server.
func (x *exchange) chooseWithin(
	gate *coldGate, servers []backends.Server, choose func([]backends.Server) (spread.Plan, spread.Verdict),
) (spread.Plan, spread.Verdict) {
	for {
		plan, verdict := choose(servers)
		if verdict != spread.Placed {
			return plan, verdict
		}
		send, ok := gate.take(plan.Writer())
		if ok {
			x.cold.send = send
			return plan, verdict
		}
		x.leaveOutCold()
		servers = slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return s.ID == plan.Writer().ID })
	}
}

// takeColdSend hands the part of the quota that was taken for the plan chosen last over to its attempt.
func (x *exchange) takeColdSend() *coldSend {
	send := x.cold.send
	x.cold.send = nil
	return send
}

// awaitWarmup is the verdict on a request that only cold servers could take. One with a prompt is
// held until the quota of a server is free again.
func (x *exchange) awaitWarmup(maxHold time.Duration) (spread.Plan, spread.Verdict) {
	plan := spread.Plan{Reason: spread.ForWarmup}
	if x.service.Engine != nil && x.heldFor < maxHold {
		return plan, spread.Hold
	}
	return plan, spread.NoServer
}

// retryAfterCold returns when the caller may come back if all servers are cold: a random time between that
// until the first quota is free again and maxRetryAfterCold, so that callers do not all come back at once.
func (x *exchange) retryAfterCold() time.Duration {
	gate := x.relay.lockAndMakeColdGate(x.service)
	if gate == nil {
		return retryAfterNoBackend
	}
	first := max(minRetryAfterNotRun, gate.nextFree(x.relay.catalog.Servers().Ready(x.service.Name)))
	return first + time.Duration(rand.Float64()*float64(maxRetryAfterCold-first))
}
