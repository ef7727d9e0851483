package peerproxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

func TestPeerProxy(t *testing.T) { testkit.Suite(t, "peerproxy") }

// sent returns a message as another instance receives it.
func sent[M proto.Message](m, into M) M {
	GinkgoHelper()
	raw, err := proto.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	Expect(proto.Unmarshal(raw, into)).To(Succeed())
	return into
}

var _ = Describe("a call made by another instance", func() {
	const text = "caf\xe9 \xff"

	// Guards against calls that count as broken because a client sent a byte that is no UTF-8.
	It("reaches it with all bytes that heads may hold", func() {
		call := backend.Call{
			Server: "w", Life: 3, Addr: "10.0.0.1:1", Method: "POST", Target: "/" + text, Host: "h", Header: http.Header{"A": {text, ""}}, RequestID: text,
			Customer: "c", RemainingTime: time.Second, ResumeAfter: text, Helpers: []backend.Helper{{Addr: "10.0.0.2:1", Ticket: "t"}},
		}
		Expect(decodeCall(sent(encodeCall(call), new(peerpb.ProxyCall)), call.Endpoint())).To(Equal(call))
	})

	It("is answered with all bytes that heads may hold", func() {
		head := backend.Head{Status: 200, Header: http.Header{"A": {text}}, Notice: backend.Notice{AtFault: text}}
		Expect(decodeHead(sent(encodeHead(head), new(peerpb.ProxyHead)))).To(Equal(head))
	})

	DescribeTable("ends", func(err error, whole, notSent, invalid bool) {
		end := sent(encodeEnd(err), new(peerpb.ProxyEnd))
		Expect(end.Outcome == peerpb.ProxyOutcome_PROXY_COMPLETE).To(Equal(whole))
		if whole {
			return
		}
		got := new(proxiedCall).endError(end)
		Expect(errors.Is(got, backend.ErrNotSent)).To(Equal(notSent))
		Expect(errors.Is(got, backend.ErrBroken)).To(Equal(!notSent))
		Expect(errors.Is(got, backend.ErrInvalidAnswer)).To(Equal(invalid))
	},
		Entry("whole", io.EOF, true, false, false),
		// Guards against a part of an answer that looks whole at the other instance.
		Entry("broken by an end", errors.Mark(errors.Wrap(io.EOF, "reading"), backend.ErrBroken), false, false, false),
		Entry("broken", errors.Mark(io.ErrUnexpectedEOF, backend.ErrBroken), false, false, false),
		Entry("by what is no answer", errors.Mark(errors.Mark(errors.New(text), backend.ErrInvalidAnswer), backend.ErrBroken), false, false, true),
		Entry("before it was sent", errors.Mark(errors.New("x"), backend.ErrNotSent), false, true, false),
	)
})

// Guards against servers that count as out of reach because of what a call holds, or of what they say of themselves.
var _ = DescribeTable("a call that was not sent", func(err error, failedToConnect bool) {
	Expect(isConnectFailure(err)).To(Equal(failedToConnect))
},
	Entry("for want of a connection", errors.Mark(errors.New("refused"), backend.ErrNotSent), true),
	Entry("for a text in it", errors.Mark(errors.Mark(errors.New("text"), backend.ErrInvalidText), backend.ErrNotSent), false),
	Entry("because the server leaves", errors.Mark(errors.Mark(errors.New("leaving"), backend.ErrHeldBack), backend.ErrNotSent), false),
	Entry("after all", errors.Mark(errors.New("broken"), backend.ErrBroken), false),
)
