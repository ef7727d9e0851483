package attempt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestAttempt(t *testing.T) { testkit.Suite(t, "attempt") }

func allow() bool { return true }
func deny() bool  { return false }

var (
	idempotent = &route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	once       = &route.Route{Kind: route.Once, MaxAttempts: 2}
	resumable  = &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}
	stream     = &route.Route{Kind: route.Stream, MaxAttempts: 2}
)

var _ = Describe("the action after a failed attempt", func() {
	DescribeTable("after the first attempt", func(r *route.Route, o attempt.Outcome, want attempt.Action) {
		Expect(attempt.New(r).Next(o, allow)).To(Equal(want))
	},
		Entry("idempotent, broken", idempotent, attempt.Broken, attempt.Retry),
		Entry("idempotent, silent", idempotent, attempt.Silent, attempt.Retry),
		Entry("idempotent, failed at the server", idempotent, attempt.ServerError, attempt.Retry),
		// The server may have run the request before the connection broke.
		Entry("once, broken", once, attempt.Broken, attempt.Fail),
		Entry("once, silent", once, attempt.Silent, attempt.Fail),
		Entry("once, failed at the server", once, attempt.ServerError, attempt.PassOn),
		Entry("once, not run", once, attempt.NotRun, attempt.Retry),
		Entry("once, not sent", once, attempt.NotSent, attempt.Retry),
		Entry("resumable stream, broken", resumable, attempt.Broken, attempt.Retry),
		Entry("other stream, broken", stream, attempt.Broken, attempt.Fail),
		Entry("other stream, not run", stream, attempt.NotRun, attempt.Retry),
	)

	DescribeTable("after the last attempt", func(r *route.Route, first, second attempt.Outcome, want attempt.Action) {
		s := attempt.New(r)
		Expect(s.Next(first, allow)).To(Equal(attempt.Retry))
		Expect(s.Next(second, allow)).To(Equal(want))
	},
		Entry("never run", idempotent, attempt.NotRun, attempt.NotRun, attempt.Refuse),
		// A refusal would guarantee that the request did not run.
		Entry("broken, then not run", idempotent, attempt.Broken, attempt.NotRun, attempt.Fail),
		Entry("not run, then broken", once, attempt.NotRun, attempt.Broken, attempt.Fail),
		Entry("broken, then failed at the server", idempotent, attempt.Broken, attempt.ServerError, attempt.PassOn),
	)

	DescribeTable("after it was held back", func(r *route.Route, serverEnded bool, first attempt.Outcome, want bool) {
		s := attempt.New(r)
		Expect(s.Next(first, allow)).To(Equal(attempt.Retry))
		if serverEnded {
			s.RecordServerEnd()
		}
		Expect(s.MayHoldBack()).To(Equal(want))
		Expect(s.Next(attempt.HeldBack, allow) == attempt.Retry).To(Equal(want))
		Expect(s.Next(attempt.Broken, allow)).To(Equal(attempt.Fail), "the next attempt is the last")
	},
		Entry("at the second server", resumable, false, attempt.Broken, false),
		Entry("at the second server, where the first has ended", resumable, true, attempt.Broken, true),
		Entry("a second time", resumable, false, attempt.HeldBack, false),
		Entry("if it may run only once", once, true, attempt.NotRun, false),
	)

	It("may be held back at its first server unless its answer has begun", func() {
		s := attempt.New(resumable)
		Expect(s.MayHoldBack()).To(BeTrue())
		s.MarkForwarded()
		Expect(s.MayHoldBack()).To(BeFalse())
		Expect(attempt.New(once).MayHoldBack()).To(BeFalse())
	})

	It("does not retry without budget", func() {
		Expect(attempt.New(once).Next(attempt.NotRun, deny)).To(Equal(attempt.Refuse))
		Expect(attempt.New(idempotent).Next(attempt.Broken, deny)).To(Equal(attempt.Fail))
	})

	// Guards against more servers that get a request than its route allows.
	It("counts an attempt beside a silent one", func() {
		s := attempt.New(resumable)
		Expect(s.Left()).To(Equal(1))
		s.Hedge()
		Expect(s.Left()).To(BeZero())
		Expect(s.MayHaveRun()).To(BeTrue())
		Expect(s.Next(attempt.Broken, allow)).To(Equal(attempt.Fail))
	})

	It("aborts a stream that has begun and cannot be resumed", func() {
		s := attempt.New(stream)
		s.MarkForwarded()
		Expect(s.Next(attempt.Broken, allow)).To(Equal(attempt.Abort))
	})

	// Guards against a truncated stream that looks complete: the stream broke, the server
	// that was to resume it answered 500, and that answer was appended.
	It("does not pass on a server error after the beginning of a stream", func() {
		s := attempt.New(resumable)
		s.MarkForwarded()
		Expect(s.Next(attempt.Broken, allow)).To(Equal(attempt.Retry))
		Expect(s.Next(attempt.ServerError, allow)).To(Equal(attempt.Abort))
	})

	It("does not count unreachable servers as attempts, but bounds them", func() {
		s := attempt.New(once)
		for range 3 {
			Expect(s.Next(attempt.NotSent, allow)).To(Equal(attempt.Retry))
		}
		Expect(s.Next(attempt.NotSent, allow)).To(Equal(attempt.Refuse))
		Expect(s.Sent()).To(BeZero())
	})

	// Guards against a refusal while others of many servers run that restart at once.
	It("tries more servers if connections are refused at once", func() {
		s := attempt.New(once)
		for range 11 {
			s.AddDialFailure(attempt.QuickDial / 2)
			Expect(s.Next(attempt.NotSent, allow)).To(Equal(attempt.Retry))
		}
		s.AddDialFailure(attempt.QuickDial / 2)
		Expect(s.Next(attempt.NotSent, allow)).To(Equal(attempt.Refuse))
	})
})
