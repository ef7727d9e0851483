package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
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
	// retryAfterDrained: another instance takes the request at once.
	retryAfterDrained = 10 * time.Millisecond
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
	reply    *reply
	route    *route.Route
	service  *route.Service
	customer string
	// rank is the customer's if it has one, or else the route's.
	rank    int
	version uint64
	state   *attempt.State
	// timeLimit counts from the arrival of the request.
	timeLimit time.Duration

	// mu guards avoid, retryAfter and splitter, and the standby of each attempt, which runs beside
	// the goroutine of the exchange. What else both use changes only while no standby runs.
	mu sync.Mutex
	// avoid are the servers that already failed this request.
	avoid []string
	// retryAfter is the longest Retry-After of servers that did not run the request.
	retryAfter time.Duration
	splitter   eventSplitter
	// reservations counts the attempts that reserved memory, to name their tickets.
	reservations atomic.Int64
	// streamStarted is set if the head of a stream was sent to the client.
	streamStarted atomic.Bool
	// serverError is the last error answer of a server, which may be passed on.
	serverError     backend.Head
	serverErrorBody []byte
	// identity returns the request's key in the quarantine, computed on first use; it may be called
	// by several goroutines.
	identity func() poison.Key
	// anyCrash is set if the server of any attempt crashed, last is the newest attempt.
	anyCrash bool
	last     *try
	// runs caches the results of features by version, guarded by runsMu.
	runsMu sync.Mutex
	runs   map[string]*quarantine.Run
	// refusedVersions are the versions of servers that crash under a part of the prompt.
	refusedVersions []string
	// answeredBy is the version of the server that answered.
	answeredBy string
	// tries is the refused part of its prompt that the request may be sent with, zero for none, to servers
	// of the version triesAt.
	tries   blame.Key
	triesAt string
	// suspect is set if the request may be the cause of crashes.
	suspect bool
	// answered is set if a server's complete answer was sent to the client.
	answered bool
	// heldFor is how long the request was held before its first attempt.
	heldFor time.Duration
	// permitAfter is the time after which a limited server may take the request.
	permitAfter time.Duration
	// cold is what placing the request at cold servers needs.
	cold coldState
	// holdReason is why it was last held.
	holdReason spread.Reason
	// admission is the last decision of the admission chain.
	admission admission.Decision
	// waitsForShare is set while loads.HoldFor counts the request.
	waitsForShare bool
	// started is when serving began, firstLatency the time from then to the first
	// event or to the whole answer.
	started, firstLatency time.Duration
	// lastHeard is when anything last came from a server, or serving began, in
	// nanoseconds since the start of the process.
	lastHeard atomic.Int64
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
	errSilent     = errors.New("no answer within the time of sound servers")
	errReplaced   = errors.New("another server answered while this one was silent")
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
		if x.pursue(ctx, x.newTry(ctx, plan)) {
			return
		}
	}
}

// pursue serves an attempt, and those that take over from it, and reports whether the exchange has
// ended. Otherwise another attempt is to be made.
func (x *exchange) pursue(ctx context.Context, t *try) (ended bool) {
	for {
		x.last = t
		outcome, err := x.serve(ctx, t)
		if err == nil {
			x.answered, x.answeredBy = true, t.plan.Writer().Version
			x.logAnswered(t.plan)
			return true
		}
		if ctx.Err() != nil || errors.Is(err, errClientGone) {
			x.endWithout(t)
			x.endInterrupted(ctx, err)
			return true
		}
		next := x.awaitReplacement(t)
		x.addAvoided(t.plan.Writer().ID)
		x.recordCrash(t)
		if next == nil {
			return !x.handleFailure(ctx, t, outcome, err)
		}
		x.logFailed(t, outcome, attempt.Retry, err)
		x.discardPartial()
		t = next
	}
}

// handleFailure acts on a failed attempt and reports whether to make another one.
func (x *exchange) handleFailure(ctx context.Context, t *try, o attempt.Outcome, err error) bool {
	action := x.state.Next(o, func() bool { return x.mayRetry(ctx, err) })
	x.logFailed(t, o, action, err)
	switch action {
	case attempt.Retry:
		x.discardPartial()
		return true
	case attempt.Refuse:
		x.endWithError(result.New(result.NoBackend, "no backend server ran the request").WithRetryAfter(max(minRetryAfterNotRun, x.longestRetryAfter(), x.retryAfterAllRest())))
	case attempt.PassOn:
		x.reply.respond(x.serverError, x.serverErrorBody)
		x.warn("server error passed on")
	case attempt.Fail, attempt.Abort:
		x.endWithError(backendFailure(err))
	}
	return false
}

// backendFailure is the error of a request whose last attempt failed.
func backendFailure(err error) *result.Error {
	if errors.Is(err, backend.ErrInvalidAnswer) {
		return result.New(result.InvalidAnswer, "the backend server sent what is no answer")
	}
	return result.New(result.BackendFailed, "the backend server failed")
}

// mayRetry reports whether the retry budget and the time allow another attempt after an error.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	switch {
	case errors.Is(err, errPartRefused) || x.remaining() <= minRetryTime:
		return false
	case errors.Is(err, errPartSuspected):
		// Its retry was taken before it was held back.
		return true
	default:
		return x.relay.takeRetry(ctx, x.service.Name)
	}
}

// discardPartial drops the incomplete event at which an attempt broke off.
func (x *exchange) discardPartial() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.splitter.discardPartial()
}

// endWithError ends the exchange with an error of this instance, or aborts its stream.
func (x *exchange) endWithError(failure *result.Error) {
	if x.streamStarted.Load() {
		ending := ServerBrokeOff
		if failure.Code == result.DeadlinePassed {
			ending = TimeUp
		}
		x.cutOff(ending, failure)
		return
	}
	if failure.NotRun && x.state.MayHaveRun() {
		failure = result.New(result.BackendFailed, "the backend server failed")
	}
	x.relay.recordRefusal(x.req, failure, zap.Duration("held", x.heldFor), zap.Stringer("waited_for", x.holdReason))
	x.reply.refuse(failure)
}

// cutOff ends a stream that has begun and cannot be continued.
func (x *exchange) cutOff(ending Ending, failure *result.Error) {
	x.warn("stream broken off", zap.Stringer("code", failure.Code), zap.Stringer("ending", ending), zap.String("why", failure.Message))
	x.reply.cutOff(ending)
}

// endInterrupted ends an exchange whose deadline passed, whose client is gone, or that is left at
// the end of a drain.
func (x *exchange) endInterrupted(ctx context.Context, err error) {
	if errors.Is(context.Cause(ctx), errDrained) {
		x.endDrained(err)
		return
	}
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		x.relay.count("client_gone_total", "route", x.route.Kind.String())
		x.warn("client gone", zap.Stringer("ending", ClientLeft), eventlog.Error(err))
		x.reply.cutOff(ClientLeft)
		return
	}
	code := result.DeadlinePassed
	if x.neverSent(err) {
		code = result.DeadlineNotRun
	}
	x.endWithError(result.New(code, "time limit of %s passed", x.timeLimit))
}

// endDrained ends an exchange that is left when the time to drain has passed.
func (x *exchange) endDrained(err error) {
	failure := x.drainFailure(err)
	if x.streamStarted.Load() {
		x.cutOff(DrainTimeout, failure)
		return
	}
	x.endWithError(failure)
}

// drainFailure is the error of a request that is left when the time to drain has passed.
func (x *exchange) drainFailure(err error) *result.Error {
	if x.neverSent(err) {
		return result.New(result.Draining, "the instance is shutting down").WithRetryAfter(retryAfterDrained)
	}
	return result.New(result.BackendFailed, "the instance shut down before the answer was complete")
}

// neverSent reports whether no server can have the request after an attempt that ended with err.
func (x *exchange) neverSent(err error) bool {
	return !x.state.MayHaveRun() && x.state.Sent() == 0 && errors.Is(err, backend.ErrNotSent)
}

// placementError is the refusal of a request for which no server was chosen.
func (x *exchange) placementError(p spread.Plan, v spread.Verdict) *result.Error {
	switch v {
	case spread.Limited:
		return result.New(result.ServersLimited, "the limits that the backend servers name leave no room in time").WithRetryAfter(max(minRetryAfterNotRun, x.permitAfter))
	case spread.TooLarge:
		return result.New(result.TooLongForFleet, "all engines together lack the memory for this prompt")
	case spread.Overloaded:
		if x.admission.Refuse {
			return x.admissionError()
		}
		return result.New(result.Overloaded, "the engines are too busy for this prompt (%s): mean prefill backlog %s, room for %d tokens on the emptiest",
			p.Reason, p.Backlog.Round(time.Millisecond), p.MaxFreeMemory).WithRetryAfter(retryAfterNoRoom)
	default:
		if after := x.retryAfterAllRest(); after > 0 {
			return result.New(result.NoBackend, "all backend servers asked for rest").WithRetryAfter(after)
		}
		if x.cold.leftOut {
			return result.New(result.NoBackend, "the backend servers are cold and take no more requests at present").
				WithRetryAfter(x.retryAfterCold())
		}
		if x.relay.catalog.Servers().Evacuated(x.service.Name) > 0 {
			return result.New(result.NoBackend, "the backend servers that could take the request are in evacuated data centres").
				WithRetryAfter(retryAfterNoBackend)
		}
		return result.New(result.NoBackend, "no backend server is ready").WithRetryAfter(retryAfterNoBackend)
	}
}

func (x *exchange) remaining() time.Duration { return x.timeLimit - time.Since(x.req.Arrived) }
