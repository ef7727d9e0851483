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

// whole reads an answer to its end before any of it is shown, so that one which
// breaks can be asked for again.
func (x *exchange) whole(ctx context.Context, plan spread.Plan, answer backend.Answer) (attempt.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer+1))
	h := answer.Head()
	switch {
	case err != nil:
		return x.broken(ctx, plan, err)
	case len(body) > maxAnswer:
		return attempt.Broken, errors.Newf("answer exceeds %d bytes", maxAnswer)
	case h.Status < 300 && !h.Sealed, h.Status >= 500 && !h.Sealed:
		x.fail(plan.Writer().ID)
		return attempt.Broken, errors.Newf("unsigned answer with status %d", h.Status)
	case promisesNotRun(h.Status):
		// The server does not say that the request did not run, but its status tells
		// clients so: they would send a once-only request again that may have run.
		x.fail(plan.Writer().ID)
		return attempt.Broken, errors.Newf("server answered %d without the promise that goes with it", h.Status)
	case h.Status >= 500:
		x.fault(plan.Writer().ID)
		x.last, x.lastBody = h, body
		return attempt.ServerError, errors.Newf("server answered %d", h.Status)
	}
	x.first = x.relay.now() - x.started
	x.sink.Whole(h, body)
	return 0, nil
}

// promisesNotRun reports whether clients take a status for the promise that the
// request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// stream passes whole events on as they arrive.
func (x *exchange) stream(ctx context.Context, plan spread.Plan, answer backend.Answer, work *work, patience *time.Timer) (attempt.Outcome, error) {
	if !answer.Head().Sealed {
		return x.broken(ctx, plan, errors.Mark(errors.New("unsigned stream"), backend.ErrBroken))
	}
	buf := make([]byte, readBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			out, bad := x.events.feed(buf[:n])
			if len(out) > 0 {
				work.firstEvent()
				patience.Reset(x.gap())
				x.observePace(plan)
				if werr := x.forward(plan, answer.Head(), out); werr != nil {
					return attempt.Broken, errors.Mark(werr, errClient)
				}
			}
			if bad != nil {
				return x.broken(ctx, plan, errors.Mark(bad, backend.ErrBroken))
			}
		}
		if errors.Is(err, io.EOF) {
			if x.events.partial() || !x.begun {
				return x.broken(ctx, plan, errors.Mark(io.ErrUnexpectedEOF, backend.ErrBroken))
			}
			x.sink.End()
			return 0, nil
		}
		if err != nil {
			return x.broken(ctx, plan, err)
		}
	}
}

// gap is the silence in a stream that ends an attempt.
func (x *exchange) gap() time.Duration {
	if x.state.Last() || !x.route.Repeatable() {
		return x.left() + beyondDeadline
	}
	return max(gapPatience, gapFactor*x.route.GapTarget)
}

// observeGap keeps the longest pause and, if it was too long, what the engine had
// to do meanwhile.
func (x *exchange) observeGap(plan spread.Plan) {
	if x.newestGap <= x.longestGap {
		return
	}
	x.longestGap = x.newestGap
	if x.longestGap > x.route.GapTarget {
		x.gapLoad = x.relay.loads.Of(plan.Writer().ID)
	}
}

func (x *exchange) forward(plan spread.Plan, h backend.Head, events []byte) error {
	if !x.begun {
		x.first = x.relay.now() - x.started
		x.sink.Begin(h)
		x.begun = true
		x.state.Forwarded()
	} else {
		x.newestGap = x.relay.now() - x.lastEvent
		x.observeGap(plan)
	}
	x.lastEvent = x.relay.now()
	x.heard.Store(int64(x.lastEvent))
	return x.sink.Write(events)
}
