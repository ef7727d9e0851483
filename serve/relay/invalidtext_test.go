package relay

import (
	"net/http"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// Guards against requests that are refused, and sound servers that are passed over, for a text of another server's entry.
var _ = Describe("a request whose call to a server holds an invalid text", func() {
	invalid := script{err: errors.Mark(errors.Mark(errors.New("invalid"), backend.ErrInvalidText), backend.ErrNotSent)}

	It("goes on at another server, without a retry of the budget and without a failure of the first", func() {
		x := newScripted(route.Once, noRetries, invalid, script{status: http.StatusOK, pieces: []piece{{0, "answer", nil}}})
		x.play()
		Expect(x.sink.complete).To(BeTrue())
		Expect(x.sink.body).To(Equal("answer"))
		Expect(x.relay.pools["s"].suspended).To(BeEmpty())
	})

	It("is refused as not run if that is so at all servers", func() {
		x := newScripted(route.Once, noRetries, invalid, invalid, invalid, invalid, invalid)
		x.play()
		Expect(x.sink.complete).To(BeFalse())
		Expect(x.sink.refused).NotTo(BeNil())
		Expect(x.sink.refused.NotRun).To(BeTrue())
		Expect(x.relay.pools["s"].suspended).To(BeEmpty())
	})
})
