package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/buckets"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// try is one attempt at the servers of a plan.
type try struct {
	plan   spread.Plan
	ctx    context.Context
	cancel context.CancelCauseFunc
	load   *placedLoad
	res    *reservations
	// quota is the attempt's part of the quota of a cold server, nil if its writer is not cold.
	quota *coldSend
	// answer is nil until its head has arrived, begun is what was read of its body before the
	// attempt took over, whole whether that is all of it.
	answer backend.Answer
	begun  []byte
	whole  bool
	// held is the memory of a whole answer, nil if it needs none.
	held *heldAnswer
	// unwatch ends the watch for refused parts of the prompt.
	unwatch func()

	// recorded are the servers whose failure in this attempt is counted.
	recorded []string
	// gapWindow collects the pauses between events.
	gapWindow health.GapWindow
	// sentAt is when the call was sent, brokeAt when it broke, condition what is known of its
	// server since; crashed is set if that crashed.
	sentAt, brokeAt time.Duration
	condition       backend.Condition
	crashed         bool
	// firstEventAt is when the first event arrived, zero before.
	firstEventAt time.Duration
	// wroteOn is set once the attempt is known not to crash its server.
	wroteOn bool

	// silence fires when nothing was heard for the timeout of the attempt. heardAt is when the
	// last event or head arrived, or the attempt began, byteAt when anything did, in nanoseconds
	// since the start of the process. sending is set while the client takes events.
	silence         *time.Timer
	heardAt, byteAt atomic.Int64
	sending         atomic.Bool
	// answering is set once anything of the answer has arrived.
	answering atomic.Bool
	// ended is set once the attempt is over; no standby begins from then on. standby is the attempt at
	// another server while this one is silent, replacement the try that takes over. They are guarded
	// by the mutex of the exchange.
	ended       bool
	standby     *standby
	replacement *try
}

// newTry begins an attempt at the servers of a plan, whose load is already counted.
func (x *exchange) newTry(ctx context.Context, plan spread.Plan) *try {
	t := &try{plan: plan, load: &placedLoad{loads: x.relay.loads, plan: plan}, unwatch: func() {}, res: new(reservations), quota: x.takeColdSend()}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	x.beginTracking(t)
	return t
}

// close ends an attempt. Before the end of its answer the server cancels the request.
func (t *try) close() {
	t.cancel(nil)
	if t.answer != nil {
		t.answer.Close()
	}
	t.unwatch()
	t.quota.end()
	t.res.release()
	t.load.end()
}

// serve has the answer of an attempt sent to the client, and ends the attempt.
func (x *exchange) serve(ctx context.Context, t *try) (o attempt.Outcome, err error) {
	answered, returned := false, false
	x.watchSilence(ctx, t)
	defer func() {
		t.silence.Stop()
		if !returned {
			x.abandon(t)
		}
		x.finish(t, answered)
	}()
	o, err = x.serveAnswer(t)
	answered, returned = err == nil, true
	return o, err
}

// abandon ends an attempt whose serving panicked.
func (x *exchange) abandon(t *try) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t.ended = true
	t.dropStandby()
}

// finish ends an attempt and the tracking of its servers.
func (x *exchange) finish(t *try, answered bool) {
	t.close()
	t.held.release()
	x.endTracking(t, answered)
}

func (x *exchange) serveAnswer(t *try) (attempt.Outcome, error) {
	if t.answer == nil {
		if o, err := x.send(t, x.state.Left() > 0); err != nil {
			return o, err
		}
	}
	h := t.answer.Head()
	if x.route.Kind == route.Stream && h.Status < 300 {
		return x.forwardStream(t)
	}
	if x.streamStarted.Load() {
		// Nothing but the rest of the stream may follow what was sent of it.
		x.recordFailure(t, t.plan.Writer().ID)
		return attempt.Broken, errors.Newf("server answered %d in the middle of a stream", h.Status)
	}
	return x.forwardWhole(t)
}

// read reads the answer of an attempt and records that something arrived.
func (x *exchange) read(t *try, p []byte) (int, error) {
	n, err := t.answer.Read(p)
	if n > 0 {
		t.recordBytes(x.relay.now())
	}
	return n, err
}

func (t *try) recordBytes(now time.Duration) {
	t.byteAt.Store(int64(now))
	t.answering.Store(true)
}

// answerReader reads the answer of an attempt.
type answerReader struct {
	x *exchange
	t *try
}

// Read implements io.Reader.
func (r answerReader) Read(p []byte) (int, error) { return r.x.read(r.t, p) }

// send sends the request and waits for the head of the answer. more is set if another attempt
// may follow.
func (x *exchange) send(t *try, more bool) (attempt.Outcome, error) {
	writer := t.plan.Writer()
	res, err := x.reserve(t.ctx, t.plan)
	if err != nil {
		return attempt.NotSent, err
	}
	t.res = res
	if x.quarantined(writer.Version) {
		return attempt.NotSent, errPartRefused
	}
	t.unwatch = x.watch(t)
	t.sentAt = x.relay.now()
	t.quota.sent(t.sentAt)
	answer, err := x.relay.client.Do(t.ctx, x.newCall(t, more))
	x.relay.scope.Tagged(map[string]string{"kind": x.route.Kind.String()}).Histogram("server_seconds", buckets.Durations).RecordDuration(x.relay.now() - t.sentAt)
	if err != nil {
		if errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrHeldBack) {
			t.quota.giveBack()
		}
		x.countColdSend(t)
		return x.classifyError(t, err)
	}
	t.answer = answer
	t.recordBytes(x.relay.now())
	h := answer.Head()
	if h.Status == http.StatusMisdirectedRequest {
		t.quota.giveBack()
	}
	x.countColdSend(t)
	if h.NotRun {
		return x.handleNotRun(t.plan, h)
	}
	return 0, nil
}

func (x *exchange) newCall(t *try, more bool) backend.Call {
	w := t.plan.Writer()
	c := backend.Call{
		Server: w.ID, Life: w.Life, Addr: w.Addr, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host, Header: x.req.Header, Body: x.req.Body,
		RequestID: x.req.ID, Customer: x.customer, RemainingTime: x.remaining(), Rank: x.rank, ResumeAfter: x.resumeAfter(),
		Repeatable: x.route.Repeatable() && more,
	}
	for _, h := range t.plan.Helpers() {
		c.Helpers = append(c.Helpers, backend.Helper{Addr: h.Server.Addr, Ticket: t.res.ticket(h.Server.ID)})
	}
	return c
}

// resumeAfter is the ID of the event after which the stream goes on.
func (x *exchange) resumeAfter() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.splitter.lastID != "" {
		return x.splitter.lastID
	}
	return x.req.ResumeAfter
}

// classifyError maps an attempt's error to an outcome and records server failures.
func (x *exchange) classifyError(t *try, err error) (attempt.Outcome, error) {
	writer := t.plan.Writer().ID
	switch {
	case errors.Is(err, backend.ErrHeldBack):
		x.recordHeldBack(writer)
		return attempt.NotSent, err
	case errors.Is(err, backend.ErrInvalidText):
		x.state.AddDialFailure(x.relay.now() - t.sentAt)
		x.relay.count("calls_invalid_total", "route", x.route.Kind.String())
		// Any server of the plan may be the one with the text.
		x.addAvoided(serverIDs(t.plan)...)
		return attempt.NotSent, err
	case errors.Is(err, backend.ErrNotSent):
		x.state.AddDialFailure(x.relay.now() - t.sentAt)
		if errors.Is(err, backend.ErrPathLost) {
			x.noteRetryAfter(retryAfterNoPath)
		} else if t.ctx.Err() == nil {
			x.recordFailure(t, writer)
			x.relay.suspend(x.service.Name, writer)
		}
		return attempt.NotSent, err
	case errors.Is(context.Cause(t.ctx), errPartRefused):
		return attempt.Broken, errPartRefused
	case errors.Is(context.Cause(t.ctx), errPartSuspected):
		return attempt.HeldBack, errPartSuspected
	case errors.Is(context.Cause(t.ctx), errSilent):
		x.recordFailure(t, serverIDs(t.plan)...)
		return attempt.Silent, errors.Mark(errSilent, backend.ErrBroken)
	case errors.Is(context.Cause(t.ctx), errReplaced):
		x.recordFailure(t, serverIDs(t.plan)...)
		return attempt.Silent, errors.Mark(errReplaced, backend.ErrBroken)
	case t.ctx.Err() != nil:
		return attempt.Broken, err
	default:
		t.brokeAt = x.relay.now()
		if t.condition = x.examine(t.plan.Writer(), err); t.condition != backend.PathLost {
			x.recordFailure(t, writer)
		}
		return attempt.Broken, err
	}
}

// noteRetryAfter records after which time a server may take the request.
func (x *exchange) noteRetryAfter(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retryAfter = max(x.retryAfter, d)
}

// longestRetryAfter returns the longest of the times recorded.
func (x *exchange) longestRetryAfter() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retryAfter
}

// addAvoided records servers that failed this request.
func (x *exchange) addAvoided(ids ...string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.avoid = append(x.avoid, ids...)
}

// avoided returns the servers that failed this request.
func (x *exchange) avoided() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]string(nil), x.avoid...)
}

// handleNotRun handles a server's declaration that it did not run the request.
func (x *exchange) handleNotRun(plan spread.Plan, h backend.Head) (attempt.Outcome, error) {
	part, found := partAtFault(plan, h.AtFault)
	if !found {
		part = plan.Parts[0]
	}
	id := part.Server.ID
	if id == plan.Writer().ID && asksForLongRest(h) {
		return attempt.NotRun, errors.Newf("server answered %d and asked for %s of rest", h.Status, h.Rest.For)
	}
	x.noteRetryAfter(h.RetryAfter)
	if x.hadRoom(part) {
		x.relay.loads.RecordRejection(part.Server, x.relay.catalog.ConfigState() != knowledge.Confirmed)
	} else if id != plan.Writer().ID {
		x.relay.suspend(x.service.Name, id)
	}
	if id != plan.Writer().ID {
		x.addAvoided(id)
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
