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

func yes() bool { return true }
func no() bool  { return false }

var (
	idempotent = &route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	once       = &route.Route{Kind: route.Once, MaxAttempts: 2}
	resumable  = &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}
	stream     = &route.Route{Kind: route.Stream, MaxAttempts: 2}
)

var _ = Describe("what follows a failed attempt", func() {
	DescribeTable("the first", func(r *route.Route, o attempt.Outcome, want attempt.Action) {
		Expect(attempt.New(r).Next(o, yes)).To(Equal(want))
	},
		Entry("idempotent, broken", idempotent, attempt.Broken, attempt.Retry),
		Entry("idempotent, silent", idempotent, attempt.Silent, attempt.Retry),
		Entry("idempotent, failed at the server", idempotent, attempt.ServerError, attempt.Retry),
		// The server may have run it before the connection broke.
		Entry("once, broken", once, attempt.Broken, attempt.Fail),
		Entry("once, silent", once, attempt.Silent, attempt.Fail),
		Entry("once, failed at the server", once, attempt.ServerError, attempt.PassOn),
		Entry("once, not run", once, attempt.NotRun, attempt.Retry),
		Entry("once, not sent", once, attempt.NotSent, attempt.Retry),
		Entry("resumable stream, broken", resumable, attempt.Broken, attempt.Retry),
		Entry("other stream, broken", stream, attempt.Broken, attempt.Fail),
		Entry("other stream, not run", stream, attempt.NotRun, attempt.Retry),
	)

	DescribeTable("the last", func(r *route.Route, first, second attempt.Outcome, want attempt.Action) {
		s := attempt.New(r)
		Expect(s.Next(first, yes)).To(Equal(attempt.Retry))
		Expect(s.Next(second, yes)).To(Equal(want))
	},
		Entry("never ran", idempotent, attempt.NotRun, attempt.NotRun, attempt.Refuse),
		// A refusal would promise that it did not run.
		Entry("may have run before it was turned away", idempotent, attempt.Broken, attempt.NotRun, attempt.Fail),
		Entry("may have run after it was turned away", once, attempt.NotRun, attempt.Broken, attempt.Fail),
		Entry("passed on", idempotent, attempt.Broken, attempt.ServerError, attempt.PassOn),
	)

	It("refuses without a budget for retries", func() {
		Expect(attempt.New(once).Next(attempt.NotRun, no)).To(Equal(attempt.Refuse))
		Expect(attempt.New(idempotent).Next(attempt.Broken, no)).To(Equal(attempt.Fail))
	})

	It("breaks off what has begun and cannot go on", func() {
		s := attempt.New(stream)
		s.Forwarded()
		Expect(s.Next(attempt.Broken, yes)).To(Equal(attempt.Abort))
	})

	// A review ends in the middle and looks complete: its stream broke, the server
	// that was to go on answered 500, and that answer was appended.
	It("never passes on a server's failure behind the beginning of a stream", func() {
		s := attempt.New(resumable)
		s.Forwarded()
		Expect(s.Next(attempt.Broken, yes)).To(Equal(attempt.Retry))
		Expect(s.Next(attempt.ServerError, yes)).To(Equal(attempt.Abort))
	})

	It("does not count servers that could not be reached as attempts, but bounds them", func() {
		s := attempt.New(once)
		for range 3 {
			Expect(s.Next(attempt.NotSent, yes)).To(Equal(attempt.Retry))
		}
		Expect(s.Next(attempt.NotSent, yes)).To(Equal(attempt.Refuse))
		Expect(s.Sent()).To(BeZero())
	})
})
