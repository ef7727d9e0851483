package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// forwardWhole reads an answer to its end before it sends any of it to the client,
// so that the request can be retried if the answer breaks off.
func (x *exchange) forwardWhole(t *try) (attempt.Outcome, error) {
	body, err := x.wholeBody(t)
	h, writer := t.answer.Head(), t.plan.Writer().ID
	switch {
	case errors.Is(err, errAnswerTooLarge), errors.Is(err, errNoRoom):
		x.relay.countExcess(err)
		x.recordFailure(t, writer)
		return attempt.Broken, errors.Mark(err, backend.ErrBroken)
	case err != nil:
		return x.classifyError(t, err)
	case h.Status < 300 && !h.Sealed, h.Status >= 500 && !h.Sealed:
		x.recordFailure(t, writer)
		return attempt.Broken, errors.Newf("unsigned answer with status %d", h.Status)
	case impliesNotRun(h.Status):
		// The status tells clients that the request did not run, but the server does
		// not declare so: a client could repeat a non-idempotent request that has run.
		x.recordFailure(t, writer)
		return attempt.Broken, errors.Newf("server answered %d without declaring that the request did not run", h.Status)
	case h.Status >= 500 && len(body) > smallAnswerBytes:
		// It would be kept until another attempt has ended.
		x.recordFault(t, writer)
		return attempt.Broken, errors.Newf("server answered %d with %d bytes", h.Status, len(body))
	case h.Status >= 500:
		x.recordFault(t, writer)
		x.serverError, x.serverErrorBody = h, body
		return attempt.ServerError, errors.Newf("server answered %d", h.Status)
	}
	if !x.claim(t) {
		return attempt.Silent, errors.Mark(errReplaced, backend.ErrBroken)
	}
	if !t.held.send(x.sink.GiveUp) {
		x.relay.countExcess(errNoRoom)
		return attempt.Broken, errors.Mark(errNoRoom, backend.ErrBroken)
	}
	x.firstLatency = x.relay.now() - x.started
	x.reply.respond(h, body)
	return 0, nil
}

// wholeBody returns the body of an answer, which a standby has read already.
func (x *exchange) wholeBody(t *try) ([]byte, error) {
	if t.whole {
		return t.begun, nil
	}
	body, held, err := x.relay.answerRoom.readWhole(answerReader{x, t}, func() { t.cancel(errNoRoom) })
	t.held = held
	return body, err
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
func (x *exchange) forwardStream(t *try) (attempt.Outcome, error) {
	if !t.answer.Head().Sealed {
		return x.classifyError(t, errors.Mark(errors.New("unsigned stream"), backend.ErrBroken))
	}
	if o, err := x.forwardPiece(t, t.begun); err != nil {
		return o, err
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := x.read(t, buf)
		if o, perr := x.forwardPiece(t, buf[:n]); perr != nil {
			return o, perr
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(t)
		}
		if err != nil {
			return x.classifyError(t, err)
		}
	}
}

// forwardPiece sends the events that are whole with the next bytes of a stream.
func (x *exchange) forwardPiece(t *try, piece []byte) (attempt.Outcome, error) {
	if len(piece) == 0 {
		return 0, nil
	}
	out, feedErr := x.feed(t, piece)
	if errors.Is(feedErr, errReplaced) {
		return attempt.Silent, errors.Mark(errReplaced, backend.ErrBroken)
	}
	if len(out) > 0 {
		t.load.firstEvent()
		t.heardAt.Store(int64(x.relay.now()))
		t.silence.Reset(x.gapTimeout())
		x.observePace(t)
		if err := x.forwardEvents(t, out); err != nil {
			return attempt.Broken, errors.Mark(err, errClientGone)
		}
	}
	if feedErr != nil {
		x.relay.countExcess(feedErr)
		return x.classifyError(t, errors.Mark(feedErr, backend.ErrBroken))
	}
	return 0, nil
}

// feed returns the events that are whole with the next bytes of an attempt. From the first on, no
// standby takes over.
func (x *exchange) feed(t *try, piece []byte) ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.replacement != nil {
		return nil, errReplaced
	}
	out, err := x.splitter.feed(piece)
	if len(out) > 0 {
		t.dropStandby()
	}
	return out, err
}

// endStream completes the client's stream at the end of the server's.
func (x *exchange) endStream(t *try) (attempt.Outcome, error) {
	if x.splitter.partial() || !x.streamStarted.Load() {
		return x.classifyError(t, errors.Mark(io.ErrUnexpectedEOF, backend.ErrBroken))
	}
	if !x.claim(t) {
		return attempt.Silent, errors.Mark(errReplaced, backend.ErrBroken)
	}
	x.reply.complete()
	return 0, nil
}

// gapTimeout is the pause between events of a stream after which another server is asked.
func (x *exchange) gapTimeout() time.Duration {
	if x.state.Left() == 0 || !x.route.Repeatable() {
		return x.remaining() + deadlineMargin
	}
	return max(minGapTimeout, gapFactor*x.route.GapTarget)
}

// observeGap records the longest pause between events and, if that missed the
// target, the load of the engine at its end.
func (x *exchange) observeGap(t *try) {
	if x.newestGap <= x.longestGap {
		return
	}
	x.longestGap = x.newestGap
	if x.longestGap > x.route.GapTarget {
		x.gapLoad = x.relay.loads.Total(t.plan.Writer().ID)
	}
}

func (x *exchange) forwardEvents(t *try, events []byte) error {
	if !x.streamStarted.Load() {
		x.firstLatency = x.relay.now() - x.started
		x.sink.Begin(t.answer.Head())
		x.streamStarted.Store(true)
		x.state.MarkForwarded()
	} else {
		x.newestGap = x.relay.now() - x.lastEvent
		x.observeGap(t)
	}
	x.lastEvent = x.relay.now()
	if t.firstEventAt == 0 {
		t.firstEventAt = x.lastEvent
	}
	x.lastHeard.Store(int64(x.lastEvent))
	x.recordWriting(t)
	t.sending.Store(true)
	defer t.sending.Store(false)
	return x.sink.Write(events)
}
