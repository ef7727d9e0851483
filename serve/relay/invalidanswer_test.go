package relay

import (
	"net/http"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// Guards against clients and operators that cannot tell a server that sends what is no answer from one that fails.
var _ = Describe("a request whose server sends what is no answer", func() {
	invalid := errors.Mark(errors.Mark(errors.New("invalid"), backend.ErrInvalidAnswer), backend.ErrBroken)
	whole := script{status: http.StatusOK, pieces: []piece{{0, "answer", nil}}}

	DescribeTable("fails with a code of its own if it may not be repeated", func(first script) {
		x := newScripted(route.Once, allRetries, first, whole)
		x.play()
		calls, _ := x.servers.counts()
		Expect(calls).To(Equal(1))
		Expect(x.sink.refused.Code).To(Equal(result.InvalidAnswer))
		Expect(x.sink.refused.NotRun).To(BeFalse())
	},
		Entry("in the head", script{err: invalid}),
		Entry("behind the body", script{status: http.StatusOK, pieces: []piece{{0, "answer", nil}, {0, "", invalid}}}),
	)

	It("is answered by another server if it may", func() {
		x := newScripted(route.Idempotent, allRetries, script{err: invalid}, whole)
		x.play()
		Expect(x.sink.body).To(Equal("answer"))
		Expect(x.sink.complete).To(BeTrue())
	})
})
