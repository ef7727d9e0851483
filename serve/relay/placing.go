package relay

import (
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// place chooses the servers of the next attempt, from this instance's cell or, for a
// prompt that exceeds the cell's memory, from all cells.
func (x *exchange) place(maxHold time.Duration) (spread.Plan, spread.Verdict) {
	x.cold.leftOut = false
	if x.allEvacuated() {
		return spread.Plan{}, spread.NoServer
	}
	p, v := x.placeOn(maxHold, false)
	if v == spread.TooLarge && x.relay.loads.Cell().Count > 1 {
		p, v = x.placeOn(maxHold, true)
	}
	if v == spread.TooLarge && x.fitsWithEvacuated() {
		return p, spread.NoServer
	}
	if v == spread.NoServer && x.cold.leftOut {
		return x.awaitWarmup(maxHold)
	}
	return p, v
}

// allEvacuated reports whether all servers that could take the request are in evacuated data centres. It is
// then refused without waiting for its turn.
func (x *exchange) allEvacuated() bool {
	snap := x.relay.catalog.Servers()
	return len(snap.Ready(x.service.Name)) == 0 && snap.Evacuated(x.service.Name) > 0
}

// fitsWithEvacuated reports whether the engines could hold the prompt, which is too large for those in use,
// together with those of evacuated data centres.
func (x *exchange) fitsWithEvacuated() bool {
	snap := x.relay.catalog.Servers()
	evacuated, ready := snap.Evacuated(x.service.Name), snap.Ready(x.service.Name)
	return evacuated > 0 && !spread.ExceedsFleet(x.service.Engine, len(ready)+evacuated, x.req.PromptTokens, x.answerTokens())
}

func (x *exchange) placeOn(maxHold time.Duration, allCells bool) (spread.Plan, spread.Verdict) {
	servers, total, coldLeftOut := x.relay.candidates(x.service, allCells)
	if coldLeftOut {
		x.leaveOutCold()
	}
	return x.placeAmong(servers, total, maxHold, x.state.Sent() > 0 || x.suspect)
}

// placeAmong chooses among the given servers of a fleet of the given size.
func (x *exchange) placeAmong(servers []backends.Server, total int, maxHold time.Duration, noHelpers bool) (spread.Plan, spread.Verdict) {
	r := x.relay
	gate := r.lockAndMakeColdGate(x.service)
	servers = x.withoutRefusing(servers)
	req := x.placementRequest(total, maxHold, noHelpers)
	if x.service.Engine == nil {
		return r.loads.Place(func(load func(string) spread.Load, _ *spread.Queue) (spread.Plan, spread.Verdict) {
			return x.chooseWithin(gate, servers, func(servers []backends.Server) (spread.Plan, spread.Verdict) {
				return spread.ChoosePlain(x.isolateSuspect(servers, load), load, req)
			})
		})
	}
	r.observeBacklog(x.service.Name, servers)
	req.Draw = rand.Float64()
	if r.loads.WarmingUp() {
		req.Rotation = 1 + rand.IntN(maxRandomOffset)
	}
	var turn spread.Turn
	if x.isDeep() {
		turn = x.turn()
	}
	plan, verdict := r.loads.Place(func(load func(string) spread.Load, held *spread.Queue) (spread.Plan, spread.Verdict) {
		req.MustWait = x.isDeep() && held.MustWait(r.now(), turn)
		req.SlotWaiters = held.SlotWaiters(r.now())
		return x.chooseWithin(gate, servers, func(servers []backends.Server) (spread.Plan, spread.Verdict) {
			return spread.Choose(x.service.Engine, x.isolateSuspect(servers, load), load, req)
		})
	})
	x.recordUsage(plan, verdict)
	return plan, verdict
}

func (x *exchange) placementRequest(total int, maxHold time.Duration, noHelpers bool) spread.Request {
	r := x.relay
	return spread.Request{
		Instance: r.name, DataCentre: r.dataCentre, FleetSize: total, Avoid: x.avoided(), NoHelpers: noHelpers,
		Unreported: r.unreported(x.service.Name), Prompt: x.req.PromptTokens, Answer: x.answerTokens(),
		FirstTarget: x.route.FirstEventTarget, GapTarget: x.route.GapTarget, TightestGap: x.service.MinGapTarget,
		Waited: x.heldFor, MaxHold: maxHold, TimeLeft: x.remaining(),
	}
}

// answerTokens estimates the length of the answer. Answers seldom reach the client's
// limit; the service's usual length is closer.
func (x *exchange) answerTokens() int64 {
	if x.service.Engine == nil || x.service.Engine.MeanAnswerTokens == 0 {
		return x.req.AnswerTokens
	}
	return min(x.req.AnswerTokens, x.service.Engine.MeanAnswerTokens)
}

// unreported is the expected number of requests for a service that cell peers have placed and not
// reported yet.
func (r *Relay) unreported(service string) float64 {
	others := len(r.loads.Cell().Peers)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(service).arrivals.Unreported(r.now(), others)
}
