package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// forwardWhole reads an answer to its end before it sends any of it to the client,
// so that the request can be retried if the answer breaks off.
func (x *exchange) forwardWhole(ctx context.Context, cancel context.CancelCauseFunc, plan spread.Plan, answer backend.Answer) (attempt.Outcome, error) {
	body, err := x.relay.answerRoom.readWhole(answer, func() { cancel(errNoRoom) })
	h := answer.Head()
	switch {
	case errors.Is(err, errAnswerTooLarge), errors.Is(err, errNoRoom):
		x.relay.countExcess(err)
		x.recordFailure(plan.Writer().ID)
		return attempt.Broken, errors.Mark(err, backend.ErrBroken)
	case err != nil:
		return x.classifyError(ctx, plan, err)
	case h.Status < 300 && !h.Sealed, h.Status >= 500 && !h.Sealed:
		x.recordFailure(plan.Writer().ID)
		return attempt.Broken, errors.Newf("unsigned answer with status %d", h.Status)
	case impliesNotRun(h.Status):
		// The status tells clients that the request did not run, but the server does
		// not declare so: a client could repeat a non-idempotent request that has run.
		x.recordFailure(plan.Writer().ID)
		return attempt.Broken, errors.Newf("server answered %d without declaring that the request did not run", h.Status)
	case h.Status >= 500 && len(body) > smallAnswerBytes:
		// It would be kept until another attempt has ended.
		x.recordFault(plan.Writer().ID)
		return attempt.Broken, errors.Newf("server answered %d with %d bytes", h.Status, len(body))
	case h.Status >= 500:
		x.recordFault(plan.Writer().ID)
		x.serverError, x.serverErrorBody = h, body
		return attempt.ServerError, errors.Newf("server answered %d", h.Status)
	}
	x.firstLatency = x.relay.now() - x.started
	x.sink.Respond(h, body)
	return 0, nil
}

// impliesNotRun reports whether clients take a status to mean that the request did
// not run and will not run later.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardStream sends whole events to the client as they arrive.
func (x *exchange) forwardStream(ctx context.Context, plan spread.Plan, answer backend.Answer, load *placedLoad, silenceTimer *time.Timer) (attempt.Outcome, error) {
	if !answer.Head().Sealed {
		return x.classifyError(ctx, plan, errors.Mark(errors.New("unsigned stream"), backend.ErrBroken))
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			out, feedErr := x.splitter.feed(buf[:n])
			if len(out) > 0 {
				load.firstEvent()
				silenceTimer.Reset(x.gapTimeout())
				x.observePace(plan)
				if werr := x.forwardEvents(plan, answer.Head(), out); werr != nil {
					return attempt.Broken, errors.Mark(werr, errClientGone)
				}
			}
			if feedErr != nil {
				x.relay.countExcess(feedErr)
				return x.classifyError(ctx, plan, errors.Mark(feedErr, backend.ErrBroken))
			}
		}
		if errors.Is(err, io.EOF) {
			if x.splitter.partial() || !x.streamStarted.Load() {
				return x.classifyError(ctx, plan, errors.Mark(io.ErrUnexpectedEOF, backend.ErrBroken))
			}
			x.sink.End()
			return 0, nil
		}
		if err != nil {
			return x.classifyError(ctx, plan, err)
		}
	}
}

// gapTimeout is the pause between events of a stream that ends an attempt.
func (x *exchange) gapTimeout() time.Duration {
	if x.state.IsLast() || !x.route.Repeatable() {
		return x.remaining() + deadlineMargin
	}
	return max(minGapTimeout, gapFactor*x.route.GapTarget)
}

// observeGap records the longest pause between events and, if that missed the
// target, the load of the engine at its end.
func (x *exchange) observeGap(plan spread.Plan) {
	if x.newestGap <= x.longestGap {
		return
	}
	x.longestGap = x.newestGap
	if x.longestGap > x.route.GapTarget {
		x.gapLoad = x.relay.loads.Total(plan.Writer().ID)
	}
}

func (x *exchange) forwardEvents(plan spread.Plan, h backend.Head, events []byte) error {
	if !x.streamStarted.Load() {
		x.firstLatency = x.relay.now() - x.started
		x.sink.Begin(h)
		x.streamStarted.Store(true)
		x.state.MarkForwarded()
	} else {
		x.newestGap = x.relay.now() - x.lastEvent
		x.observeGap(plan)
	}
	x.lastEvent = x.relay.now()
	if x.firstEventAt == 0 {
		x.firstEventAt = x.lastEvent
	}
	x.lastHeard.Store(int64(x.lastEvent))
	x.recordWriting(plan)
	return x.sink.Write(events)
}
