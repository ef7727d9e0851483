package relay

import (
	"context"
	"io"
	"runtime/debug"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// A server that falls silent may go on a moment later. Its attempt therefore ends only once another
// server continues the stream, or has answered the request: the standby takes over with its first
// event that the client has not, or with its whole answer if that is not a stream. Whoever is first
// wins.

// Errors of standbys.
var (
	// errDropped ends a standby that is not needed any more.
	errDropped   = errors.New("the silent server went on")
	errNoStandby = errors.New("no other server can be asked now")
)

// standby is the attempt at another server while one is silent. Its fields are guarded by the mutex
// of the exchange, but for done.
type standby struct {
	// try is nil until its server is chosen.
	try *try
	// dropped is set once the silent attempt went on or ended.
	dropped bool
	// done is closed when the standby has taken over, has failed or was dropped.
	done chan struct{}
}

// tryStandby asks another server while an attempt goes on, and returns when the standby is done. The
// goroutine of the exchange waits for it before it makes another attempt, so that they never choose
// servers at the same time.
func (x *exchange) tryStandby(ctx context.Context, t *try) {
	sb := x.beginStandby(t)
	if sb == nil {
		return
	}
	defer x.endStandby(t, sb)
	s, err := x.placeStandby(ctx, t, sb)
	if errors.Is(err, errNoStandby) {
		return
	}
	if err == nil {
		err = x.runStandby(t, sb, s)
	}
	if err == nil {
		return
	}
	dropped := errors.Is(context.Cause(s.ctx), errDropped)
	x.finish(s, false)
	if !dropped {
		x.addAvoided(s.plan.Writer().ID)
	}
	x.relay.log.Info("standby ended", zap.String("request", x.req.ID), zap.String("server", s.plan.Writer().ID),
		zap.String("silent", t.plan.Writer().ID), zap.Duration("left", x.remaining()), eventlog.Error(err))
}

// beginStandby registers a standby of an attempt that goes on and has none.
func (x *exchange) beginStandby(t *try) *standby {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.ended || t.standby != nil {
		return nil
	}
	t.standby = &standby{done: make(chan struct{})}
	return t.standby
}

// endStandby ends a standby. A panic in it is logged and leaves the silent attempt as it is.
func (x *exchange) endStandby(t *try, sb *standby) {
	if p := recover(); p != nil {
		x.relay.log.Error("standby panicked", zap.String("request", x.req.ID), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		if sb.try != nil {
			x.finish(sb.try, false)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.standby == sb {
		t.standby = nil
	}
	close(sb.done)
}

// placeStandby chooses another server than the one that is silent, without helpers.
func (x *exchange) placeStandby(ctx context.Context, t *try, sb *standby) (*try, error) {
	if !x.mayHedge() {
		return nil, errNoStandby
	}
	servers, total, _ := x.relay.candidates(x.service, false)
	silent := t.plan.Writer().ID
	servers = slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return s.ID == silent })
	plan, verdict := x.placeAmong(servers, total, 0, true)
	if verdict != spread.Placed {
		return nil, errNoStandby
	}
	s := x.newTry(ctx, plan)
	x.mu.Lock()
	defer x.mu.Unlock()
	sb.try = s
	if sb.dropped {
		s.cancel(errDropped)
	}
	return s, nil
}

// mayHedge reports whether another server may get the request besides the one that has it. A
// request that may be the cause of crashes waits.
func (x *exchange) mayHedge() bool {
	if !x.route.Repeatable() || x.state.Left() == 0 || x.remaining() <= minRetryTime {
		return false
	}
	return x.relay.quarantine.Empty() || x.assessRequest().Verdict == poison.Clean
}

// runStandby sends the request to the server of a standby and has it take over.
func (x *exchange) runStandby(t *try, sb *standby, s *try) error {
	if !x.relay.takeRetry(s.ctx, x.service.Name) {
		return errNoStandby
	}
	x.relay.count("standbys_total", "route", x.route.Kind.String())
	// Counted before it is sent: the attempt that goes on may end meanwhile.
	x.state.Hedge()
	more := x.state.Left() > 0
	if outcome, err := x.send(s, more); err != nil {
		if outcome == attempt.NotSent {
			x.state.Unhedge()
		}
		return err
	}
	if err := x.awaitBeginning(s); err != nil {
		return err
	}
	if !x.takeOver(t, sb, s) {
		return errDropped
	}
	return nil
}

// awaitBeginning waits until a standby has what the client lacks.
func (x *exchange) awaitBeginning(s *try) error {
	h, writer := s.answer.Head(), s.plan.Writer().ID
	switch {
	case h.Status >= 500 && h.Sealed && !impliesNotRun(h.Status):
		x.recordFault(s, writer)
		return errors.Newf("server answered %d", h.Status)
	case !h.Sealed || impliesNotRun(h.Status):
		x.recordFailure(s, writer)
		return errors.Newf("server answered %d, signed: %t", h.Status, h.Sealed)
	case x.route.Kind == route.Stream && h.Status < 300:
		return x.readFirstEvent(s)
	case x.streamStarted.Load():
		return errors.Newf("server answered %d to the continuation of a stream", h.Status)
	default:
		return x.readAnswer(s)
	}
}

// readAnswer reads the whole answer of a standby.
func (x *exchange) readAnswer(s *try) error {
	body, held, err := x.relay.answerRoom.readWhole(s.answer, func() { s.cancel(errNoRoom) })
	s.held = held
	if err != nil {
		_, err = x.classifyError(s, err)
		return err
	}
	s.begun, s.whole = body, true
	return nil
}

// maxRepeatedBytes bounds what a standby sends before the first event that the client has not.
const maxRepeatedBytes = 4 * maxEventBytes

// readFirstEvent reads the stream of a standby up to the end of the first event that the client has
// not, or to its end if the client has all.
func (x *exchange) readFirstEvent(s *try) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := s.answer.Read(buf)
		s.begun = append(s.begun, buf[:n]...)
		fresh, err := x.continues(s.begun)
		switch {
		case err != nil:
			return x.failStandby(s, err)
		case fresh:
			return nil
		case errors.Is(readErr, io.EOF) && x.streamStarted.Load():
			return nil
		case errors.Is(readErr, io.EOF):
			return x.failStandby(s, io.ErrUnexpectedEOF)
		case readErr != nil:
			return x.failStandby(s, readErr)
		case len(s.begun) > maxRepeatedBytes:
			return x.failStandby(s, errEventTooLarge)
		}
	}
}

func (x *exchange) failStandby(s *try, err error) error {
	_, err = x.classifyError(s, errors.Mark(err, backend.ErrBroken))
	return err
}

// continues reports whether the beginning of a stream holds an event that the client has not.
func (x *exchange) continues(begun []byte) (fresh bool, err error) {
	x.mu.Lock()
	ahead := x.splitter
	x.mu.Unlock()
	ahead.buffered = nil
	out, err := ahead.feed(begun)
	return len(out) > 0, err
}

// takeOver makes a standby the replacement of an attempt that is still silent.
func (x *exchange) takeOver(t *try, sb *standby, s *try) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if sb.dropped {
		return false
	}
	t.replacement = s
	t.cancel(errReplaced)
	return true
}

// claim reports whether an attempt may complete the answer. No standby takes over from then on.
func (x *exchange) claim(t *try) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.replacement != nil {
		return false
	}
	t.ended = true
	t.dropStandby()
	return true
}

// dropStandby drops the standby of an attempt that went on or ended; the mutex of the exchange must
// be held.
func (t *try) dropStandby() {
	if t.standby == nil {
		return
	}
	t.standby.dropped = true
	if t.standby.try != nil {
		t.standby.try.cancel(errDropped)
	}
}

// endWithout ends an attempt after which no standby is needed, and waits for its standby.
func (x *exchange) endWithout(t *try) {
	x.mu.Lock()
	t.ended = true
	t.dropStandby()
	x.mu.Unlock()
	if next := x.awaitReplacement(t); next != nil {
		next.cancel(errDropped)
		x.finish(next, false)
	}
}

// awaitReplacement ends an attempt that has failed and returns the one that takes over, or nil.
func (x *exchange) awaitReplacement(t *try) *try {
	x.mu.Lock()
	t.ended = true
	sb := t.standby
	x.mu.Unlock()
	if sb != nil {
		<-sb.done
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return t.replacement
}

// isOver reports whether an attempt has ended.
func (x *exchange) isOver(t *try) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return t.ended
}
