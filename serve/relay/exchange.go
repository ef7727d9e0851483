package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/buckets"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// Timeouts, Retry-After values and sizes of an exchange.
const (
	// retryAfterNoBackend: a replacement server is listed about a second after its
	// start.
	retryAfterNoBackend = time.Second
	// retryAfterNoRoom: the engines need some seconds for the prompts they already
	// have to prefill.
	retryAfterNoRoom = 2500 * time.Millisecond
	// retryAfterNoPath: partitions last seconds, and instances learn of each other's within
	// about one.
	retryAfterNoPath = time.Second
	// minRetryAfterNotRun applies when no server ran the request; a slot of a plain
	// service is free again after about 30 ms.
	minRetryAfterNotRun = 150 * time.Millisecond
	// minRetryTime is the time below which another attempt cannot succeed.
	minRetryTime = 20 * time.Millisecond
	// minFirstEventTimeout is the least timeout of a stream's first event, to which
	// twice the predicted time is added. Callers give up after 2 s, so a second
	// attempt must start well before.
	minFirstEventTimeout = 1300 * time.Millisecond
	// firstEventFactor bounds the same timeout from below in multiples of the
	// first-event target, because a retry repeats the whole prefill.
	firstEventFactor = 1.5
	// slotWaitTimeout is added to the timeout while the server has no free slot.
	slotWaitTimeout = time.Second
	// minGapTimeout is the shortest pause in a stream that moves it to another
	// server, gapFactor the same in multiples of the gap target.
	minGapTimeout = 1200 * time.Millisecond
	gapFactor     = 3
	// deadlineMargin keeps the silence timer from firing before the deadline in a
	// last attempt: the deadline does not count as a failure of the servers.
	deadlineMargin = time.Second
	// wholeAnswerFactor is the share of the first-event target after which an
	// idempotent request without a stream is retried at another server.
	wholeAnswerFactor = 0.8
	// maxRandomOffset exceeds the number of servers of any service.
	maxRandomOffset = 1 << 16
	// readBufferBytes is the size of one read of a stream; an event has about 100 bytes.
	readBufferBytes = 4 << 10
)

// exchange serves one request, from its arrival to its final answer.
type exchange struct {
	relay    *Relay
	req      *Request
	sink     Sink
	route    *route.Route
	service  *route.Service
	customer string
	// rank is the customer's if it has one, or else the route's.
	rank    int
	version uint64
	state   *attempt.State
	// timeLimit counts from the arrival of the request.
	timeLimit time.Duration

	// avoid are the servers that already failed this request.
	avoid []string
	// recorded are the servers whose failure in the current attempt is counted.
	recorded []string
	// gapWindow collects the pauses between events of the current attempt.
	gapWindow health.GapWindow
	// retryAfter is the longest Retry-After of servers that did not run the request.
	retryAfter time.Duration
	splitter   eventSplitter
	// streamStarted is set if the head of a stream was sent to the client.
	streamStarted atomic.Bool
	// serverError is the last error answer of a server, which may be passed on.
	serverError     backend.Head
	serverErrorBody []byte
	// identity returns the request's key in the quarantine, computed on first use; it may be called
	// by several goroutines.
	identity func() poison.Key
	// sentAt is when the current attempt was sent, brokeAt when it broke, condition what is
	// known of its server since. crashed is set if that crashed, and anyCrash if the
	// server of any attempt did.
	sentAt, brokeAt   time.Duration
	condition         backend.Condition
	crashed, anyCrash bool
	// runs caches the results of features by version.
	runs map[string]*quarantine.Run
	// refusedVersions are the versions of servers that crash under a part of the prompt.
	refusedVersions []string
	// answeredBy is the version of the server that answered.
	answeredBy string
	// tries is the refused part of its prompt that the request may be sent with, zero for none.
	tries blame.Key
	// wroteOn is set once the current attempt is known not to crash its server.
	wroteOn bool
	// suspect is set if the request may be the cause of crashes.
	suspect bool
	// answered is set if a server's complete answer was sent to the client.
	answered bool
	// heldFor is how long the request was held before its first attempt.
	heldFor time.Duration
	// permitAfter is the time after which a limited server may take the request.
	permitAfter time.Duration
	// holdReason is why it was last held.
	holdReason spread.Reason
	// started is when serving began, firstLatency the time from then to the first
	// event or to the whole answer.
	started, firstLatency time.Duration
	// lastHeard is when anything last came from a server, or serving began, in
	// nanoseconds since the start of the process.
	lastHeard atomic.Int64
	// firstEventAt is when the first event of the current attempt arrived, zero before.
	firstEventAt time.Duration
	// lastEvent is when the newest events were forwarded, longestGap the longest
	// pause between events.
	lastEvent, longestGap time.Duration
	// gapLoad is the load of the writing engine at the end of the longest pause, if
	// that missed the target.
	gapLoad spread.Load
	// newestGap is the pause before the newest events, zero before the first ones.
	newestGap time.Duration
}

// Errors that end an attempt, besides those of port/backend.
var (
	errSilent     = errors.New("no answer within the timeout of the attempt")
	errClientGone = errors.New("client is gone")
)

// run makes attempts until the client has an answer.
func (x *exchange) run(ctx context.Context) {
	x.started = x.relay.now()
	x.lastHeard.Store(int64(x.started))
	x.relay.recordRequest(x.service.Name)
	defer x.reportToQuarantine()
	for {
		if !x.checkQuarantine(ctx) {
			return
		}
		plan, verdict := x.placeOrHold(ctx)
		if verdict == spread.Hold {
			x.endInterrupted(ctx, backend.ErrNotSent)
			return
		}
		if verdict != spread.Placed {
			if x.checkQuarantine(ctx) {
				x.endWithError(x.placementError(plan, verdict))
			}
			return
		}
		x.logPlaced(plan)
		outcome, err := x.attempt(ctx, plan)
		x.endTracking(plan, err == nil)
		if err == nil {
			x.answered, x.answeredBy = true, plan.Writer().Version
			x.logAnswered(plan)
			return
		}
		if ctx.Err() != nil || errors.Is(err, errClientGone) {
			x.endInterrupted(ctx, err)
			return
		}
		x.avoid = append(x.avoid, plan.Writer().ID)
		x.recordCrash(plan)
		if !x.handleFailure(ctx, plan, outcome, err) {
			return
		}
	}
}

// handleFailure acts on a failed attempt and reports whether to make another one.
func (x *exchange) handleFailure(ctx context.Context, plan spread.Plan, o attempt.Outcome, err error) bool {
	action := x.state.Next(o, func() bool {
		return !errors.Is(err, errPartRefused) && x.remaining() > minRetryTime && x.relay.takeRetry(ctx, x.service.Name)
	})
	x.relay.count("attempts_failed_total", "outcome", o.String())
	x.relay.log.Warn("attempt failed", zap.String("request", x.req.ID), zap.String("server", plan.Writer().ID), zap.Int("helpers", len(plan.Helpers())),
		zap.Stringer("identity", x.identity()), zap.Strings("parts", x.req.SharedParts), zap.Bool("crashed", x.crashed),
		zap.Duration("writing", x.writingTime()),
		zap.Stringer("outcome", o), zap.Stringer("next", action), zap.Int("sent", x.state.Sent()), zap.Duration("left", x.remaining()),
		zap.Duration("servers_age", x.relay.catalog.ConfirmationAge()), eventlog.Error(err))
	switch action {
	case attempt.Retry:
		x.splitter.discardPartial()
		return true
	case attempt.Refuse:
		x.endWithError(result.New(result.NoBackend, "no backend server ran the request").WithRetryAfter(max(minRetryAfterNotRun, x.retryAfter)))
	case attempt.PassOn:
		x.sink.Respond(x.serverError, x.serverErrorBody)
		x.warn("server error passed on")
	case attempt.Fail, attempt.Abort:
		x.endWithError(result.New(result.BackendFailed, "the backend server failed"))
	}
	return false
}

// writingTime is how long events of the current attempt had arrived when it broke.
func (x *exchange) writingTime() time.Duration {
	if x.firstEventAt == 0 || x.brokeAt < x.firstEventAt {
		return 0
	}
	return x.brokeAt - x.firstEventAt
}

// endWithError ends the exchange with an error of this instance, or aborts its stream.
func (x *exchange) endWithError(failure *result.Error) {
	if x.streamStarted.Load() {
		x.sink.Abort()
		x.warn("stream broken off", zap.Stringer("code", failure.Code))
		return
	}
	if failure.NotRun && x.state.MayHaveRun() {
		failure = result.New(result.BackendFailed, "the backend server failed")
	}
	x.relay.recordRefusal(x.req, failure, zap.Duration("held", x.heldFor), zap.Stringer("waited_for", x.holdReason))
	x.sink.Refuse(failure)
}

// endInterrupted ends an exchange whose deadline passed or whose client is gone.
func (x *exchange) endInterrupted(ctx context.Context, err error) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		x.relay.count("client_gone_total", "route", x.route.Kind.String())
		x.warn("client gone", eventlog.Error(err))
		x.sink.Abort()
		return
	}
	code := result.DeadlinePassed
	if !x.state.MayHaveRun() && x.state.Sent() == 0 && errors.Is(err, backend.ErrNotSent) {
		code = result.DeadlineNotRun
	}
	x.endWithError(result.New(code, "time limit of %s passed", x.timeLimit))
}

// placementError is the refusal of a request for which no server was chosen.
func (x *exchange) placementError(p spread.Plan, v spread.Verdict) *result.Error {
	switch v {
	case spread.Limited:
		return result.New(result.ServersLimited, "the limits that the backend servers name leave no room in time").WithRetryAfter(max(minRetryAfterNotRun, x.permitAfter))
	case spread.TooLarge:
		return result.New(result.TooLongForFleet, "all engines together lack the memory for this prompt")
	case spread.Overloaded:
		return result.New(result.Overloaded, "the engines are too busy for this prompt (%s): mean prefill backlog %s, room for %d tokens on the emptiest",
			p.Reason, p.Backlog.Round(time.Millisecond), p.MaxFreeMemory).WithRetryAfter(retryAfterNoRoom)
	default:
		return result.New(result.NoBackend, "no backend server is ready").WithRetryAfter(retryAfterNoBackend)
	}
}

func (x *exchange) remaining() time.Duration { return x.timeLimit - time.Since(x.req.Arrived) }

// place chooses the servers of the next attempt, from this instance's cell or, for a
// prompt that exceeds the cell's memory, from all cells.
func (x *exchange) place(maxHold time.Duration) (spread.Plan, spread.Verdict) {
	p, v := x.placeOn(maxHold, false)
	if v == spread.TooLarge && x.relay.loads.Cell().Count > 1 {
		return x.placeOn(maxHold, true)
	}
	return p, v
}

func (x *exchange) placeOn(maxHold time.Duration, allCells bool) (spread.Plan, spread.Verdict) {
	servers, total := x.relay.candidates(x.service, allCells)
	return x.placeAmong(servers, total, maxHold, x.state.Sent() > 0 || x.suspect)
}

// placeAmong chooses among the given servers of a fleet of the given size.
func (x *exchange) placeAmong(servers []backends.Server, total int, maxHold time.Duration, noHelpers bool) (spread.Plan, spread.Verdict) {
	r := x.relay
	servers = x.withoutRefusing(servers)
	req := spread.Request{
		Instance: r.name, DataCentre: r.dataCentre, FleetSize: total, Avoid: x.avoid, NoHelpers: noHelpers,
		Prompt: x.req.PromptTokens, Answer: x.answerTokens(),
		FirstTarget: x.route.FirstEventTarget, GapTarget: x.route.GapTarget, TightestGap: x.service.MinGapTarget,
		Waited: x.heldFor, MaxHold: maxHold, TimeLeft: x.remaining(),
	}
	if x.service.Engine == nil {
		return r.loads.Place(func(load func(string) spread.Load, _ *spread.Queue) (spread.Plan, spread.Verdict) {
			return spread.ChoosePlain(x.isolateSuspect(servers, load), load, req)
		})
	}
	r.observeBacklog(x.service.Name, servers)
	req.Draw = rand.Float64()
	if r.loads.WarmingUp() {
		req.Rotation = 1 + rand.IntN(maxRandomOffset)
	}
	return r.loads.Place(func(load func(string) spread.Load, held *spread.Queue) (spread.Plan, spread.Verdict) {
		req.MustWait = x.isDeep() && held.MustWait(r.now(), x.turn())
		req.SlotWaiters = held.SlotWaiters(r.now())
		return spread.Choose(x.service.Engine, x.isolateSuspect(servers, load), load, req)
	})
}

// answerTokens estimates the length of the answer. Answers seldom reach the client's
// limit; the service's usual length is closer.
func (x *exchange) answerTokens() int64 {
	if x.service.Engine == nil || x.service.Engine.MeanAnswerTokens == 0 {
		return x.req.AnswerTokens
	}
	return min(x.req.AnswerTokens, x.service.Engine.MeanAnswerTokens)
}

// attempt sends the request to the servers of a plan.
func (x *exchange) attempt(ctx context.Context, plan spread.Plan) (attempt.Outcome, error) {
	x.beginTracking(plan)
	x.condition = backend.ConditionUnknown
	load := &placedLoad{loads: x.relay.loads, plan: plan}
	defer load.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := x.watchSilence(plan, func() { cancel(errSilent) })
	defer silenceTimer.Stop()

	res, err := x.reserve(ctx, plan)
	if err != nil {
		return attempt.NotSent, err
	}
	defer res.release()
	if x.quarantined(plan.Writer().Version) {
		return attempt.NotSent, errPartRefused
	}
	defer x.watch(plan.Writer().Version, cancel)()
	x.sentAt, x.firstEventAt, x.wroteOn = x.relay.now(), 0, false
	answer, err := x.relay.client.Do(ctx, x.newCall(plan, res))
	x.relay.scope.Tagged(map[string]string{"kind": x.route.Kind.String()}).Histogram("server_seconds", buckets.Durations).RecordDuration(x.relay.now() - x.sentAt)
	if err != nil {
		return x.classifyError(ctx, plan, err)
	}
	defer answer.Close()
	h := answer.Head()
	x.relay.limits.Observe(backend.Endpoint{Server: plan.Writer().ID, Life: plan.Writer().Life, Addr: plan.Writer().Addr}, h)
	if h.NotRun {
		return x.handleNotRun(plan, h)
	}
	if x.route.Kind == route.Stream && h.Status < 300 {
		return x.forwardStream(ctx, plan, answer, load, silenceTimer)
	}
	if x.streamStarted.Load() {
		// Nothing but the rest of the stream may follow what was sent of it.
		x.recordFailure(plan.Writer().ID)
		return attempt.Broken, errors.Newf("server answered %d in the middle of a stream", h.Status)
	}
	return x.forwardWhole(ctx, cancel, plan, answer)
}

func (x *exchange) newCall(plan spread.Plan, res *reservations) backend.Call {
	w := plan.Writer()
	c := backend.Call{
		Server: w.ID, Life: w.Life, Addr: w.Addr, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host, Header: x.req.Header, Body: x.req.Body,
		RequestID: x.req.ID, Customer: x.customer, RemainingTime: x.remaining(), Rank: x.rank, ResumeAfter: x.req.ResumeAfter,
		Repeatable: x.route.Repeatable() && !x.state.IsLast(),
	}
	if x.splitter.lastID != "" {
		c.ResumeAfter = x.splitter.lastID
	}
	for _, h := range plan.Helpers() {
		c.Helpers = append(c.Helpers, backend.Helper{Addr: h.Server.Addr, Ticket: res.ticket(h.Server.ID)})
	}
	return c
}

// classifyError maps an attempt's error to an outcome and records server failures.
func (x *exchange) classifyError(ctx context.Context, plan spread.Plan, err error) (attempt.Outcome, error) {
	switch {
	case errors.Is(err, backend.ErrNotSent):
		x.state.AddDialFailure(x.relay.now() - x.sentAt)
		if errors.Is(err, backend.ErrPathLost) {
			x.retryAfter = max(x.retryAfter, retryAfterNoPath)
		} else if ctx.Err() == nil {
			x.recordFailure(plan.Writer().ID)
			x.relay.suspend(x.service.Name, plan.Writer().ID)
		}
		return attempt.NotSent, err
	case errors.Is(context.Cause(ctx), errPartRefused):
		return attempt.Broken, errPartRefused
	case errors.Is(context.Cause(ctx), errSilent):
		x.recordFailure(serverIDs(plan)...)
		return attempt.Silent, errors.Mark(errSilent, backend.ErrBroken)
	case ctx.Err() != nil:
		return attempt.Broken, err
	default:
		x.brokeAt = x.relay.now()
		if x.condition = x.examine(plan.Writer(), err); x.condition != backend.PathLost {
			x.recordFailure(plan.Writer().ID)
		}
		return attempt.Broken, err
	}
}

// handleNotRun handles a server's declaration that it did not run the request.
func (x *exchange) handleNotRun(plan spread.Plan, h backend.Head) (attempt.Outcome, error) {
	x.retryAfter = max(x.retryAfter, h.RetryAfter)
	part, found := partAtFault(plan, h.AtFault)
	if !found {
		part = plan.Parts[0]
	}
	id := part.Server.ID
	if x.hadRoom(part) {
		x.relay.loads.RecordRejection(part.Server, x.relay.catalog.ConfigState() != knowledge.Confirmed)
	} else if id != plan.Writer().ID {
		x.relay.suspend(x.service.Name, id)
	}
	if id != plan.Writer().ID {
		x.avoid = append(x.avoid, id)
	}
	return attempt.NotRun, errors.Newf("server answered %d and did not run the request, at fault %q", h.Status, h.AtFault)
}

// hadRoom reports whether, as far as is known, a server that refused its part of a
// request should have had room for it, which means that it is shutting down. Until the
// store lists it as leaving, each request placed there loses an attempt, and one that
// meets two such servers is refused.
func (x *exchange) hadRoom(p spread.Part) bool {
	l := x.relay.loads.Total(p.Server.ID)
	if p.Load.Calls > 0 {
		return l.HasSlots(p.Server.Slots)
	}
	return l.Parts <= int64(p.Server.Slots)
}

// partAtFault finds the part of the server that an answer names by ID or address.
func partAtFault(plan spread.Plan, name string) (spread.Part, bool) {
	for _, p := range plan.Parts {
		if name != "" && (p.Server.ID == name || p.Server.Addr == name) {
			return p, true
		}
	}
	return spread.Part{}, false
}

func serverIDs(plan spread.Plan) []string {
	var out []string
	for _, p := range plan.Parts {
		out = append(out, p.Server.ID)
	}
	return out
}
