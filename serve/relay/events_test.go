package relay

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRelay(t *testing.T) { testkit.Suite(t, "relay") }

var _ = Describe("events of a stream", func() {
	feed := func(e *events, s string) string {
		out, err := e.feed([]byte(s))
		Expect(err).NotTo(HaveOccurred())
		return string(out)
	}

	It("passes on whole events only", func() {
		e := &events{}
		Expect(feed(e, "id: 1\nda")).To(BeEmpty())
		Expect(e.partial()).To(BeTrue())
		Expect(feed(e, "ta: a\n\nid: 2\n")).To(Equal("id: 1\ndata: a\n\n"))
		Expect(feed(e, "data: b\n\n")).To(Equal("id: 2\ndata: b\n\n"))
		Expect(e.partial()).To(BeFalse())
	})

	// A piece of a review is missing or comes twice: a stream broke in the middle
	// of an event, and the server that went on began at another one.
	It("drops what came before and refuses a gap after a new start", func() {
		e := &events{}
		feed(e, "id: 1\ndata: a\n\nid: 2\ndata: ha")
		e.restart()
		Expect(feed(e, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).To(Equal("id: 2\ndata: b\n\n"))
		_, err := e.feed([]byte("id: 4\ndata: d\n\n"))
		Expect(err).To(MatchError(errEventGap))
	})

	It("bounds an event", func() {
		e := &events{}
		_, err := e.feed(make([]byte, maxEvent+1))
		Expect(err).To(MatchError(errEventTooLarge))
	})

	It("passes events without an id", func() {
		e := &events{}
		Expect(feed(e, "data: x\n\n")).To(Equal("data: x\n\n"))
		Expect(e.lastRaw).To(BeEmpty())
	})
})
