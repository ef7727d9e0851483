package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/limits"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/notices"
	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// piece is what a scripted server sends after a pause.
type piece struct {
	after time.Duration
	data  string
	err   error
}

// script is how a scripted server answers one call.
type script struct {
	headAfter time.Duration
	status    int
	pieces    []piece
	panics    bool
	// err is what the call fails with instead of an answer.
	err error
}

var errBrokenOff = errors.Mark(io.ErrUnexpectedEOF, backend.ErrBroken)

// scriptedAnswer is the answer of a scripted server.
type scriptedAnswer struct {
	ctx    context.Context
	status int
	left   []piece
	rest   string
	close  func()
}

func (a *scriptedAnswer) Head() backend.Head {
	return backend.Head{Status: a.status, Header: http.Header{}, Sealed: true}
}

func (a *scriptedAnswer) Read(p []byte) (int, error) {
	if a.rest == "" {
		if len(a.left) == 0 {
			return 0, io.EOF
		}
		next := a.left[0]
		a.left = a.left[1:]
		select {
		case <-time.After(next.after):
		case <-a.ctx.Done():
			return 0, errors.Mark(a.ctx.Err(), backend.ErrBroken)
		}
		if next.err != nil {
			return 0, next.err
		}
		a.rest = next.data
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

func (a *scriptedAnswer) Close() { a.close() }

// scriptedServers answer calls by scripts, in the order of the calls.
type scriptedServers struct {
	mu      sync.Mutex
	scripts []script
	calls   int
	open    int
}

func (f *scriptedServers) Connected(backend.Endpoint) bool                 { return true }
func (f *scriptedServers) Connect(context.Context, backend.Endpoint) error { return nil }
func (f *scriptedServers) Reserve(context.Context, backend.Reservation) (bool, error) {
	return true, nil
}
func (f *scriptedServers) Release(context.Context, backend.Reservation) error { return nil }
func (f *scriptedServers) Examine(context.Context, backend.Endpoint) backend.Condition {
	return backend.ConditionUnknown
}

func (f *scriptedServers) next() (s script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls < len(f.scripts) {
		s = f.scripts[f.calls]
	}
	f.calls++
	return s
}

func (f *scriptedServers) addOpen(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
}

// counts returns the numbers of calls and of answers that were not closed.
func (f *scriptedServers) counts() (calls, open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.open
}

func (f *scriptedServers) Do(ctx context.Context, _ backend.Call) (backend.Answer, error) {
	s := f.next()
	if s.panics {
		panic("defect")
	}
	select {
	case <-time.After(s.headAfter):
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), backend.ErrBroken)
	}
	if s.err != nil {
		return nil, s.err
	}
	f.addOpen(1)
	return &scriptedAnswer{ctx: ctx, status: s.status, left: s.pieces, close: sync.OnceFunc(func() { f.addOpen(-1) })}, nil
}

// answerSink collects an answer.
type answerSink struct {
	recordingSink
	body     string
	complete bool
	// slow is how long the client takes for each piece.
	slow time.Duration
}

func (s *answerSink) Respond(_ backend.Head, b []byte) { s.body, s.complete = string(b), true }
func (s *answerSink) End()                             { s.complete = true }
func (s *answerSink) Write(b []byte) error {
	s.body += string(b)
	time.Sleep(s.slow)
	return nil
}

// scriptedExchange is an exchange with three servers.
type scriptedExchange struct {
	*exchange
	sink    *answerSink
	servers *scriptedServers
}

const (
	scriptedTarget = 300 * time.Millisecond
	scriptedGap    = 100 * time.Millisecond
	scriptedTime   = 10 * time.Second
)

func newScripted(kind route.Kind, retries float64, scripts ...script) *scriptedExchange {
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	var listed []backends.Server
	for _, id := range []string{"a", "b", "c"} {
		listed = append(listed, backends.Server{ID: id, Service: "s", Addr: id + ":1", Slots: 8, Version: "v1"})
	}
	set := backends.NewSet()
	set.Replace(now(), listed, position.Position{})
	f := &scriptedServers{scripts: scripts}
	draw := rand.New(rand.NewPCG(1, 1))
	r := &Relay{
		log: zap.NewNop(), scope: tally.NoopScope, now: now, client: f, rand: draw, catalog: follow.NewFixed(now, set.Snapshot()),
		loads: loads.NewLocal(now, rand.New(rand.NewPCG(1, 2)).Float64), quarantine: quarantine.NewLocal(now), limits: limits.NewLocal(),
		members: new(members.Members), notices: new(notices.Notices), guards: new(backend.Guards),
		borrower: retry.NewBorrower(rand.New(rand.NewPCG(1, 3))), fleet: retry.Fleet{Size: 1}, fleetAt: 2 * time.Hour,
	}
	r.pools = map[string]*pool{"s": {
		tracker: health.NewTracker(maxEjected, draw), lives: map[string]backends.Life{}, suspended: map[string]time.Duration{},
		retries: retry.NewShared(retry.Config{Window: defaultRetryWindow, Extra: retries}, true, draw),
	}}
	r.examiner = &examiner{examine: f.Examine, crashes: r.scope.Counter("server_crashes_total")}
	r.drained, r.endDrain = context.WithCancelCause(context.Background())
	rt := &route.Route{Name: "r", Kind: kind, Resumable: true, MaxAttempts: 2, FirstEventTarget: scriptedTarget, GapTarget: scriptedGap, Timeout: scriptedTime}
	sink := new(answerSink)
	req := &Request{ID: "q", Method: http.MethodGet, Target: "/", Path: "/", Arrived: time.Now()}
	x := &exchange{
		relay: r, req: req, sink: sink, reply: &reply{sink: sink}, route: rt, service: &route.Service{Name: "s"}, state: attempt.New(rt), timeLimit: scriptedTime,
		identity: sync.OnceValue(func() poison.Key { return req.key("") }),
	}
	if kind == route.Stream {
		x.service.Engine = &route.Engine{Slots: 8, KVCacheTokens: 1_000_000, Step: 10 * time.Millisecond, PrefillTokensPerSecond: 100_000, PrefillChunk: 2048, StepsPerPass: 1}
		x.service.MinGapTarget = rt.GapTarget
		req.PromptTokens, req.AnswerTokens = 100, 50
	}
	return &scriptedExchange{x, sink, f}
}

// play serves the request.
func (x *scriptedExchange) play() {
	defer func() { x.recordEnding(recover()) }()
	ctx, cancel := context.WithTimeout(context.Background(), x.timeLimit)
	defer cancel()
	x.run(ctx)
}

// counted returns the calls that the loads of all servers count.
func (x *scriptedExchange) counted() (n int64) {
	for _, id := range []string{"a", "b", "c"} {
		n += x.relay.loads.Total(id).Calls
	}
	return n
}

// event returns one event of a scripted stream.
func event(n string) string { return "id: " + n + "\ndata: " + n + "\n\n" }

// silentStream is a stream that pauses for longer than the timeout of an attempt after its first event.
func silentStream(pause time.Duration) script {
	return script{status: http.StatusOK, pieces: []piece{{10 * time.Millisecond, event("1"), nil}, {pause, event("2"), nil}, {0, event("3"), nil}}}
}

const allRetries, noRetries = 40, 0

var threeEvents = event("1") + event("2") + event("3")

var _ = Describe("a standby beside a silent server", func() {
	const silence = 1700 * time.Millisecond

	// Guards against an answer that is given up for another one that is not whole.
	DescribeTable("does not take over", func(kind route.Kind, first, second script, body string) {
		x := newScripted(kind, allRetries, first, second)
		x.play()
		Expect(x.sink.complete).To(BeTrue())
		Expect(x.sink.body).To(Equal(body))
		Eventually(func() int { _, open := x.servers.counts(); return open }).Should(BeZero())
		Eventually(x.counted).Should(BeZero())
	},
		Entry("whose body breaks off", route.Idempotent,
			script{headAfter: 50 * time.Millisecond, status: 200, pieces: []piece{{50 * time.Millisecond, "half ", nil}, {600 * time.Millisecond, "whole", nil}}},
			script{headAfter: 50 * time.Millisecond, status: 200, pieces: []piece{{100 * time.Millisecond, "ha", nil}, {50 * time.Millisecond, "", errBrokenOff}}}, "half whole"),
		Entry("that leaves out an event", route.Stream, silentStream(silence),
			script{status: 200, pieces: []piece{{100 * time.Millisecond, event("5"), nil}}}, threeEvents),
		Entry("that has only what the client has and breaks off", route.Stream, silentStream(silence),
			script{status: 200, pieces: []piece{{100 * time.Millisecond, event("1"), nil}, {300 * time.Millisecond, "", errBrokenOff}}}, threeEvents),
		Entry("whose stream is empty", route.Stream, script{headAfter: silence, status: 200, pieces: []piece{{0, threeEvents, nil}}},
			script{headAfter: 50 * time.Millisecond, status: 200}, threeEvents),
		Entry("that panics", route.Stream, silentStream(silence), script{panics: true}, threeEvents),
	)

	It("takes over with the first event that the client has not", func() {
		x := newScripted(route.Stream, allRetries, silentStream(time.Minute),
			script{status: 200, pieces: []piece{{0, event("1"), nil}, {100 * time.Millisecond, event("2"), nil}, {0, event("3"), nil}}})
		x.play()
		Expect(x.sink.complete).To(BeTrue())
		Expect(x.sink.body).To(Equal(threeEvents))
	})

	// Guards against answers of servers that live and are ended for their silence.
	DescribeTable("is not needed, without a retry", func(first script, body string) {
		x := newScripted(route.Idempotent, noRetries, first)
		x.play()
		Expect(x.sink.body).To(Equal(body))
	},
		Entry("if the server is silent twice", script{headAfter: 1500 * time.Millisecond, status: 200, pieces: []piece{{1500 * time.Millisecond, "answer", nil}}}, "answer"),
		Entry("if its answer comes in pieces", script{status: 200, pieces: []piece{{1500 * time.Millisecond, "in ", nil}, {1500 * time.Millisecond, "pieces", nil}}}, "in pieces"),
	)

	It("is not asked because the client is slow", func() {
		x := newScripted(route.Stream, allRetries, silentStream(10*time.Millisecond))
		x.sink.slow = 1500 * time.Millisecond
		x.play()
		Expect(x.sink.body).To(Equal(threeEvents))
		calls, _ := x.servers.counts()
		Expect(calls).To(Equal(1))
	})

	// Guards against lost and doubled events, and more servers than the route allows, as both go on at once.
	DescribeTable("and its server at the same moment", func(broken error, whole bool) {
		var wg sync.WaitGroup
		const requests = 300
		for i := range requests {
			wg.Go(func() {
				defer GinkgoRecover()
				first := silentStream(minGapTimeout + time.Duration(i%80)*time.Millisecond/4)
				if broken != nil {
					first.pieces[2] = piece{0, "", broken}
				}
				x := newScripted(route.Stream, allRetries, first,
					script{headAfter: time.Duration(i%7) * time.Millisecond, status: 200, pieces: []piece{{0, event("2") + event("3"), nil}}},
					script{status: 200, pieces: []piece{{0, event("3"), nil}}})
				x.play()
				calls, _ := x.servers.counts()
				Expect(calls).To(BeNumerically("<=", 2))
				if whole {
					Expect(x.sink.complete).To(BeTrue())
				}
				if x.sink.complete {
					Expect(x.sink.body).To(Equal(threeEvents))
				}
				Eventually(func() int { _, open := x.servers.counts(); return open }).Should(BeZero())
				Eventually(x.counted).Should(BeZero())
			})
		}
		wg.Wait()
	},
		Entry("go on", nil, true),
		Entry("go on, and the server breaks off then", errBrokenOff, false),
	)
})

var _ = Describe("a stream of a service without engines", func() {
	// Guards against a connection that is closed in the middle of a stream because of a defect.
	It("is served", func() {
		x := newScripted(route.Stream, allRetries, script{status: 200, pieces: []piece{
			{10 * time.Millisecond, event("1"), nil}, {10 * time.Millisecond, event("2"), nil}, {10 * time.Millisecond, event("3"), nil},
		}})
		x.service.Engine = nil
		x.play()
		Expect(x.reply.ending).To(Equal(Answered))
		Expect(x.sink.body).To(Equal(threeEvents))
	})

	It("is given up if it panics, and counts at no server", func() {
		x := newScripted(route.Stream, allRetries, script{panics: true})
		x.play()
		Expect(x.reply.ending).To(Equal(Unanswered))
		Expect(x.sink.refused).NotTo(BeNil())
		Expect(x.counted()).To(BeZero())
	})
})
