package relay

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRelay(t *testing.T) { testkit.Suite(t, "relay") }

var _ = Describe("the event splitter", func() {
	feed := func(e *eventSplitter, s string) string {
		out, err := e.feed([]byte(s))
		Expect(err).NotTo(HaveOccurred())
		return string(out)
	}

	It("returns whole events only", func() {
		e := &eventSplitter{}
		Expect(feed(e, "id: 1\nda")).To(BeEmpty())
		Expect(e.partial()).To(BeTrue())
		Expect(feed(e, "ta: a\n\nid: 2\n")).To(Equal("id: 1\ndata: a\n\n"))
		Expect(feed(e, "data: b\n\n")).To(Equal("id: 2\ndata: b\n\n"))
		Expect(e.partial()).To(BeFalse())
	})

	// Guards against an answer with a part missing or repeated: a stream broke off
	// inside an event and the server that resumed it began at another event.
	It("drops repeated events and rejects a gap after a resume", func() {
		e := &eventSplitter{}
		feed(e, "id: 1\ndata: a\n\nid: 2\ndata: ha")
		e.discardPartial()
		Expect(feed(e, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).To(Equal("id: 2\ndata: b\n\n"))
		_, err := e.feed([]byte("id: 4\ndata: d\n\n"))
		Expect(err).To(MatchError(errEventGap))
	})

	It("bounds the size of an event", func() {
		e := &eventSplitter{}
		_, err := e.feed(make([]byte, maxEventBytes+1))
		Expect(err).To(MatchError(errEventTooLarge))
	})

	It("returns events without an id", func() {
		e := &eventSplitter{}
		Expect(feed(e, "data: x\n\n")).To(Equal("data: x\n\n"))
		Expect(e.lastID).To(BeEmpty())
	})
})
