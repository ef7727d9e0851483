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

// Time limits of a session.
const (
	// stallTimeout ends an attempt that receives no chunk for this long.
	stallTimeout = 10 * time.Second
	// decisionGrace is how long past its deadline a session waits for the dispatch
	// state machine before it fails the request itself.
	decisionGrace = 250 * time.Millisecond
)

// session serves one model request: it runs the attempts that the dispatch state
// machine starts and sends the caller the answer of the one that completes.
type session struct {
	disp   *dispatcher.Dispatcher
	ticket *dispatcher.Ticket
	model  string
	prompt string
	max    int64
	sink   sink
	// onStarted is called with the engine and stream that generate the answer.
	onStarted func(engine, stream string)

	order       sequence.Order
	priorTokens int64
	usage       usage
	cancel      context.CancelFunc
	done        chan attemptResult
	err         error
}

type attemptResult struct {
	start dispatch.Start
	err   error
	held  bool
}

// Errors that end an attempt.
var (
	errWrongStream   = errors.New("chunk belongs to another stream")
	errMissingChunks = errors.New("chunks are missing")
	errStalled       = errors.New("no chunk arrived in time")
	errCallerWrite   = errors.New("caller cannot be written to")
)

// serve runs until the answer is sent or the request has failed.
func (s *session) serve(ctx context.Context, limit time.Duration) error {
	s.done = make(chan attemptResult, 1)
	timeout := time.NewTimer(limit + decisionGrace)
	defer timeout.Stop()
	for {
		select {
		case a := <-s.ticket.C:
			if fin, ok := a.(dispatch.Finish); ok {
				s.stopAttempt()
				return s.sink.fail(fin.Err)
			}
			s.startAttempt(ctx, a.(dispatch.Start))
		case r := <-s.done:
			if s.finishAttempt(r) {
				return s.err
			}
		case <-ctx.Done():
			s.stopAttempt()
			s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
			return result.New(result.CallerGone, "the caller closed the connection")
		case <-timeout.C:
			s.stopAttempt()
			s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
			return s.sink.fail(result.New(result.DeadlinePassed, "the time limit passed"))
		}
	}
}

// stopAttempt cancels the running attempt and waits for its goroutine, which uses
// the same sink.
func (s *session) stopAttempt() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.cancel = nil
	<-s.done
}

func (s *session) startAttempt(ctx context.Context, st dispatch.Start) {
	s.stopAttempt()
	if !st.Resume {
		s.order = sequence.StartingAt(0)
		s.sink.discard()
	}
	if st.Segment != nil && st.Segment.FromToken == 0 {
		s.priorTokens = 0
	}
	if s.onStarted != nil && (st.Segment == nil || st.Segment.Last) {
		s.onStarted(st.Engine, dispatch.StreamID(st.ID, st.Attempt))
	}
	actx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go func() { s.done <- s.runAttempt(actx, cancel, st) }()
}

// runAttempt runs one attempt.
func (s *session) runAttempt(ctx context.Context, cancel context.CancelFunc, st dispatch.Start) attemptResult {
	res := attemptResult{start: st}
	stalled := false
	guard := time.AfterFunc(time.Hour, func() { stalled = true; cancel() })
	defer guard.Stop()
	onChunk := func(ch engine.Chunk) error {
		guard.Reset(stallTimeout)
		if ch.Held {
			res.held = true
			return nil
		}
		return s.acceptChunk(st, ch)
	}
	addr := s.disp.Addr(st.Engine)
	if st.Resume {
		res.err = s.disp.Engine().Resume(ctx, addr, dispatch.StreamID(st.ID, st.Attempt), s.order.Expected(), onChunk)
	} else {
		res.err = s.disp.Engine().Run(ctx, addr, s.newStream(st), s.segmentText(st), onChunk)
	}
	if res.err != nil && stalled {
		res.err = errStalled
	}
	return res
}

func (s *session) newStream(st dispatch.Start) engine.Stream {
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

func (s *session) segmentText(st dispatch.Start) string {
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

// acceptChunk validates the next chunk of the attempt and passes its text to the
// sink.
func (s *session) acceptChunk(st dispatch.Start, ch engine.Chunk) error {
	next := s.order.Expected()
	text, err := checkChunk(dispatch.StreamID(st.ID, st.Attempt), &s.order, ch)
	switch {
	case err != nil:
		return err
	case ch.End:
		s.usage = usageOf(s.priorTokens, ch)
		return nil
	case s.order.Expected() == next:
		return nil
	case next == 0:
		s.disp.Report(dispatch.StreamFirstToken{ID: st.ID, Attempt: st.Attempt, Cached: ch.Cached})
	}
	return errors.Mark(s.sink.writeToken(text), errCallerWrite)
}

// checkChunk returns the text of a chunk, or an empty text for a duplicate. A chunk
// of another stream or a missing one is an error, and the end chunk must match the
// count; the caller would otherwise receive a wrong answer.
func checkChunk(stream string, order *sequence.Order, ch engine.Chunk) (string, error) {
	if ch.ID != stream {
		return "", errWrongStream
	}
	if ch.End {
		if ch.Count != order.Expected() {
			return "", errMissingChunks
		}
		return "", nil
	}
	switch order.Take(ch.Seq) {
	case sequence.Duplicate:
		return "", nil
	case sequence.Gap:
		return "", errMissingChunks
	default:
		return ch.Text, nil
	}
}

func usageOf(priorTokens int64, ch engine.Chunk) usage {
	u := usage{PromptTokens: priorTokens + ch.Prompt, CompletionTokens: ch.Count, TotalTokens: priorTokens + ch.Prompt + ch.Count}
	u.Details.CachedTokens = ch.Cached
	return u
}

// finishAttempt reports the end of an attempt and returns true when the session is
// done.
func (s *session) finishAttempt(r attemptResult) bool {
	s.cancel = nil
	switch {
	case r.err == nil && r.held:
		s.priorTokens += r.start.Segment.ToToken - r.start.Segment.FromToken
		s.disp.Report(dispatch.StreamHeld{ID: r.start.ID, Attempt: r.start.Attempt})
		return false
	case r.err == nil:
		s.disp.Report(dispatch.StreamEnd{ID: r.start.ID, Attempt: r.start.Attempt})
		s.err = s.sink.finish(s.usage)
		return true
	case errors.Is(r.err, errCallerWrite):
		s.disp.Report(dispatch.CallerGone{ID: s.ticket.ID})
		s.err = result.New(result.CallerGone, "the caller closed the connection")
		return true
	default:
		s.disp.Report(dispatch.StreamEnd{ID: r.start.ID, Attempt: r.start.Attempt, Fault: faultOf(r.err), ResponseStarted: s.sink.committed()})
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
