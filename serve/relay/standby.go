package relay

import (
	"bytes"
	"context"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
)

// A server that falls silent may go on a moment later. Its attempt therefore ends only once another
// server answers the request, or continues the stream: the standby takes over with its first whole
// event, or with the head of an answer that is not a stream. Whoever is first wins.

// errDropped ends a standby that is not needed any more.
var errDropped = errors.New("the silent server went on")

// tryStandby asks another server to answer while an attempt goes on. It returns when the standby
// has taken over, has failed or was dropped, or at once if none is possible now.
func (x *exchange) tryStandby(ctx context.Context, t *try) {
	if !x.mayHedge() || !x.canRetry() {
		return
	}
	x.recordFailure(t, serverIDs(t.plan)...)
	plan, verdict := x.placeStandby(t)
	if verdict != spread.Placed {
		return
	}
	s := x.newTry(ctx, plan)
	if !x.runStandby(t, s) {
		x.drop(s)
	}
}

// placeStandby chooses another server than the one that is silent, without helpers.
func (x *exchange) placeStandby(t *try) (spread.Plan, spread.Verdict) {
	servers, total := x.relay.candidates(x.service, false)
	silent := t.plan.Writer().ID
	servers = slices.DeleteFunc(slices.Clone(servers), func(s backends.Server) bool { return s.ID == silent })
	return x.placeAmong(servers, total, 0, true)
}

// mayHedge reports whether another server may get the request besides the one that has it. A
// request that may be the cause of crashes waits.
func (x *exchange) mayHedge() bool {
	if !x.route.Repeatable() || x.state.Left() == 0 {
		return false
	}
	return x.relay.quarantine.Empty() || x.assessRequest().Verdict == poison.Clean
}

// runStandby makes an attempt beside a silent one and reports whether it has taken over.
func (x *exchange) runStandby(t, s *try) bool {
	done, registered := x.registerStandby(t, s)
	if !registered {
		return false
	}
	defer close(done)
	defer x.unregisterStandby(t, s)
	if !x.relay.takeRetry(s.ctx, x.service.Name) {
		return false
	}
	x.relay.count("standbys_total", "route", x.route.Kind.String())
	outcome, err := x.send(s, x.state.Left() > 1)
	if outcome != attempt.NotSent || err == nil {
		x.state.Hedge()
	}
	if err == nil {
		err = x.awaitBeginning(s)
	}
	if err == nil && x.takeOver(t, s) {
		return true
	}
	if err != nil && !errors.Is(context.Cause(s.ctx), errDropped) {
		x.addAvoided(s.plan.Writer().ID)
	}
	x.relay.log.Info("standby ended", zap.String("request", x.req.ID), zap.String("server", s.plan.Writer().ID),
		zap.String("silent", t.plan.Writer().ID), zap.Duration("left", x.remaining()), eventlog.Error(err))
	return false
}

// registerStandby makes s the standby of an attempt that has not ended.
func (x *exchange) registerStandby(t, s *try) (done chan struct{}, registered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.ended || t.standby != nil {
		return nil, false
	}
	t.standby, t.standbyDone = s, make(chan struct{})
	return t.standbyDone, true
}

// unregisterStandby ends the part of a standby that did not take over.
func (x *exchange) unregisterStandby(t, s *try) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.standby == s {
		t.standby = nil
	}
}

// awaitBeginning waits until the answer of a standby has begun.
func (x *exchange) awaitBeginning(s *try) error {
	h := s.answer.Head()
	if !h.Sealed || h.Status >= 500 || impliesNotRun(h.Status) {
		x.recordFailure(s, s.plan.Writer().ID)
		return errors.Newf("server answered %d", h.Status)
	}
	if x.route.Kind != route.Stream {
		return nil
	}
	if h.Status >= 300 {
		return errors.Newf("server answered %d to the continuation of a stream", h.Status)
	}
	return x.readFirstEvent(s)
}

// readFirstEvent reads a stream up to the end of its first event, or to its own end.
func (x *exchange) readFirstEvent(s *try) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := s.answer.Read(buf)
		s.begun = append(s.begun, buf[:n]...)
		switch {
		case bytes.Contains(s.begun, eventEnd):
			return nil
		case errors.Is(err, io.EOF) && len(s.begun) == 0:
			return nil
		case err != nil:
			_, err = x.classifyError(s, err)
			return err
		case len(s.begun) > maxEventBytes:
			return errEventTooLarge
		}
	}
}

// takeOver makes a standby the replacement of an attempt that is still silent.
func (x *exchange) takeOver(t, s *try) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t.standby != s {
		return false
	}
	t.standby, t.replacement = nil, s
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
	t.cancelStandby()
	return true
}

// cancelStandby drops the standby of an attempt that went on; the mutex of the exchange must be held.
func (t *try) cancelStandby() {
	if t.standby != nil {
		t.standby.cancel(errDropped)
		t.standby = nil
	}
}

// endWithout ends an attempt after which no standby is needed.
func (x *exchange) endWithout(t *try) {
	x.mu.Lock()
	t.ended = true
	t.cancelStandby()
	replacement := t.replacement
	x.mu.Unlock()
	if replacement != nil {
		x.drop(replacement)
	}
}

// awaitReplacement ends an attempt that has failed and returns the one that takes over, or nil.
func (x *exchange) awaitReplacement(t *try) *try {
	x.mu.Lock()
	t.ended = true
	pending, done := t.standby != nil, t.standbyDone
	x.mu.Unlock()
	if pending {
		<-done
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

// drop ends an attempt that is not needed.
func (x *exchange) drop(s *try) {
	s.cancel(errDropped)
	s.close()
	x.endTracking(s, false)
}
