package relay

import (
	"context"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// recordingSink records how a request ended.
type recordingSink struct {
	refused *result.Error
	aborted bool
}

func (s *recordingSink) Refuse(why *result.Error)     { s.refused = why }
func (s *recordingSink) Respond(backend.Head, []byte) {}
func (s *recordingSink) Begin(backend.Head)           {}
func (s *recordingSink) Write([]byte) error           { return nil }
func (s *recordingSink) End()                         {}
func (s *recordingSink) Abort()                       { s.aborted = true }
func (s *recordingSink) GiveUp()                      {}

// newTestExchange returns an exchange whose answer goes to the given sink.
func newTestExchange(sink Sink) *exchange {
	r := &Relay{log: zap.NewNop(), scope: tally.NoopScope}
	rt := &route.Route{Name: "r"}
	r.now = zeroTime
	return &exchange{relay: r, req: &Request{ID: "q"}, sink: sink, reply: &reply{sink: sink}, route: rt, state: attempt.New(rt)}
}

var _ = Describe("the ending of an exchange", func() {
	It("is one of the list that operators read", func() {
		raw, err := os.ReadFile("../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		_, row, _ := strings.Cut(string(raw), "| `exchanges_ended_total` |")
		row, _, _ = strings.Cut(row, "\n")
		for _, name := range endings {
			Expect(row).To(ContainSubstring(name))
		}
		Expect(endings).To(HaveLen(int(DrainTimeout) + 1))
	})

	// Guards against a connection that is closed without an answer because of a defect.
	It("is an error in words if serving the request panics", func() {
		sink := &recordingSink{}
		x := newTestExchange(sink)
		func() {
			defer func() { x.recordEnding(recover()) }()
			panic("defect")
		}()
		Expect(sink.refused.Code).To(Equal(result.Internal))
		Expect(sink.refused.NotRun).To(BeFalse())
		Expect(sink.aborted).To(BeFalse())
	})

	It("closes the connection if serving the request panics in the middle of a stream", func() {
		sink := &recordingSink{}
		x := newTestExchange(sink)
		x.streamStarted.Store(true)
		x.recordEnding("defect")
		Expect(sink.aborted).To(BeTrue())
		Expect(sink.refused).To(BeNil())
	})

	// Guards against a refusal as not run of a request that a server has.
	It("tells a request that was sent from one that was not when the time to drain has passed", func() {
		x := newTestExchange(&recordingSink{})
		Expect(x.drainFailure(backend.ErrBroken).NotRun).To(BeFalse())
		Expect(x.drainFailure(backend.ErrNotSent).NotRun).To(BeTrue())
		x.state.Hedge()
		Expect(x.drainFailure(backend.ErrNotSent).NotRun).To(BeFalse())
	})

	It("is the end of the drain for a stream that is cut by it", func() {
		x := newTestExchange(&recordingSink{})
		x.streamStarted.Store(true)
		x.endInterrupted(drainedContext(), backend.ErrBroken)
		Expect(x.reply.ending).To(Equal(DrainTimeout))
	})

	It("is the time limit for a stream whose time has passed", func() {
		x := newTestExchange(&recordingSink{})
		x.streamStarted.Store(true)
		x.endWithError(result.New(result.DeadlinePassed, "time limit passed"))
		Expect(x.reply.ending).To(Equal(TimeUp))
	})
})

func zeroTime() time.Duration { return 0 }

// drainedContext returns the context of a request that is left when the time to drain has passed.
func drainedContext() context.Context {
	r := new(Relay)
	r.drained, r.endDrain = context.WithCancelCause(context.Background())
	ctx, _ := r.untilDrained(context.Background())
	r.EndDrain()
	<-ctx.Done()
	return ctx
}
