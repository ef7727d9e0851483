package api

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/decide/sequence"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/serve/dispatcher"
)

// Bounds of a session.
const (
	// stallTimeout ends an attempt whose tokens stop coming.
	stallTimeout = 10 * time.Second
	// decisionGrace is how long after its deadline a session waits for the
	// decision machine before it answers by itself.
	decisionGrace = 250 * time.Millisecond
)

// session serves one model request: it carries out the attempts that the
// decision machine starts and shows the answer of the one that is whole.
type session struct {
	disp   *dispatcher.Dispatcher
	ticket *dispatcher.Ticket
	model  string
	prompt string
	max    int64
	sink   sink
	// started is told where the answer is generated.
	started func(engine, stream string)

	order  sequence.Order
	prior  int64
	usage  usage
	cancel context.CancelFunc
	done   chan attemptResult
	err    error
}

type attemptResult struct {
	start dispatch.Start
	err   error
	held  bool
}

// Reasons for which a chunk ends an attempt.
var (
	errCrossed = errors.New("chunk belongs to another stream")
	errGap     = errors.New("chunks are missing")
	errStalled = errors.New("no chunk arrived in time")
	errCaller  = errors.New("caller cannot be written to")
)

// serve runs until the answer is shown or has failed.
func (s *session) serve(ctx context.Context, limit time.Duration) error {
	s.done = make(chan attemptResult, 1)
	backstop := time.NewTimer(limit + decisionGrace)
	defer backstop.Stop()
	for {
		select {
		case a := <-s.ticket.C:
			if fin, ok := a.(dispatch.Finish); ok {
				s.stopAttempt()
				return s.sink.fail(fin.Err)
			}
			s.begin(ctx, a.(dispatch.Start))
		case r := <-s.done:
			if s.settle(r) {
				return s.err
			}
		case <-ctx.Done():
			s.stopAttempt()
			s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
			return result.New(result.CallerGone, "the caller closed the connection")
		case <-backstop.C:
			s.stopAttempt()
			s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
			return s.sink.fail(result.New(result.DeadlinePassed, "the time limit passed"))
		}
	}
}

// stopAttempt ends the running attempt and waits for its goroutine, which
// shares the sink.
func (s *session) stopAttempt() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.cancel = nil
	<-s.done
}

func (s *session) begin(ctx context.Context, st dispatch.Start) {
	s.stopAttempt()
	if !st.Resume {
		s.order = sequence.StartingAt(0)
		s.sink.restart()
	}
	if st.Segment != nil && st.Segment.FromToken == 0 {
		s.prior = 0
	}
	if s.started != nil && (st.Segment == nil || st.Segment.Last) {
		s.started(st.Engine, dispatch.StreamID(st.ID, st.Attempt))
	}
	actx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go func() { s.done <- s.run(actx, cancel, st) }()
}

// run carries out one attempt.
func (s *session) run(ctx context.Context, cancel context.CancelFunc, st dispatch.Start) attemptResult {
	res := attemptResult{start: st}
	stalled := false
	guard := time.AfterFunc(time.Hour, func() { stalled = true; cancel() })
	defer guard.Stop()
	each := func(ch engine.Chunk) error {
		guard.Reset(stallTimeout)
		if ch.Held {
			res.held = true
			return nil
		}
		return s.chunk(st, ch)
	}
	addr := s.disp.Addr(st.Engine)
	if st.Resume {
		res.err = s.disp.Engine().Resume(ctx, addr, dispatch.StreamID(st.ID, st.Attempt), s.order.Expected(), each)
	} else {
		res.err = s.disp.Engine().Run(ctx, addr, s.stream(st), s.text(st), each)
	}
	if res.err != nil && stalled {
		res.err = errStalled
	}
	return res
}

func (s *session) stream(st dispatch.Start) engine.Stream {
	out := engine.Stream{ID: dispatch.StreamID(st.ID, st.Attempt), Attempt: st.Attempt, Model: s.model, MaxTokens: s.max, Priority: st.Priority}
	if st.Segment == nil {
		return out
	}
	out.Hold = !st.Segment.Last
	for _, h := range st.Segment.Import {
		h.Engine = s.disp.Addr(h.Engine)
		out.Import = append(out.Import, h)
	}
	return out
}

func (s *session) text(st dispatch.Start) string {
	if st.Segment == nil {
		return s.prompt
	}
	from := min(int(st.Segment.FromToken)*prefix.BytesPerToken, len(s.prompt))
	to := min(int(st.Segment.ToToken)*prefix.BytesPerToken, len(s.prompt))
	if st.Segment.Last {
		to = len(s.prompt)
	}
	return s.prompt[from:to]
}

// chunk accepts the next piece of this attempt's answer.
func (s *session) chunk(st dispatch.Start, ch engine.Chunk) error {
	next := s.order.Expected()
	text, err := accept(dispatch.StreamID(st.ID, st.Attempt), &s.order, ch)
	switch {
	case err != nil:
		return err
	case ch.End:
		s.usage = usageOf(s.prior, ch)
		return nil
	case s.order.Expected() == next:
		return nil
	case next == 0:
		s.disp.Report(dispatch.StreamFirstToken{ID: st.ID, Attempt: st.Attempt, Cached: ch.Cached})
	}
	return errors.Mark(s.sink.token(text), errCaller)
}

// accept checks that a chunk is the next of its stream and returns its text. A
// chunk of another stream, a doubled or a missing one would otherwise reach
// the caller as part of a wrong answer; the number of chunks is checked at the
// end.
func accept(stream string, order *sequence.Order, ch engine.Chunk) (string, error) {
	if ch.ID != stream {
		return "", errCrossed
	}
	if ch.End {
		if ch.Count != order.Expected() {
			return "", errGap
		}
		return "", nil
	}
	switch order.Take(ch.Seq) {
	case sequence.Duplicate:
		return "", nil
	case sequence.Gap:
		return "", errGap
	default:
		return ch.Text, nil
	}
}

func usageOf(prior int64, ch engine.Chunk) usage {
	u := usage{PromptTokens: prior + ch.Prompt, CompletionTokens: ch.Count, TotalTokens: prior + ch.Prompt + ch.Count}
	u.Details.CachedTokens = ch.Cached
	return u
}

// settle reports an attempt's end and returns true when the answer is shown.
func (s *session) settle(r attemptResult) bool {
	s.cancel = nil
	switch {
	case r.err == nil && r.held:
		s.prior += r.start.Segment.ToToken - r.start.Segment.FromToken
		s.disp.Report(dispatch.StreamHeld{ID: r.start.ID, Attempt: r.start.Attempt})
		return false
	case r.err == nil:
		s.disp.Report(dispatch.StreamEnd{ID: r.start.ID, Attempt: r.start.Attempt})
		s.err = s.sink.finish(s.usage)
		return true
	case errors.Is(r.err, errCaller):
		s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
		s.err = result.New(result.CallerGone, "the caller closed the connection")
		return true
	default:
		s.disp.Report(dispatch.StreamEnd{ID: r.start.ID, Attempt: r.start.Attempt, Fault: faultOf(r.err), ResponseStarted: s.sink.shown()})
		return false
	}
}

func faultOf(err error) dispatch.Fault {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return dispatch.NotSent
	case errors.Is(err, engine.ErrRefused), errors.Is(err, errStalled):
		return dispatch.Refused
	default:
		return dispatch.Broken
	}
}
