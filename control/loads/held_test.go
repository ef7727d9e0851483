package loads

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/forecast"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

var _ = Describe("the work that instances hold back", func() {
	var l *Loads
	now := 10 * time.Second
	sequence := uint64(0)
	BeforeEach(func() {
		now = 10 * time.Second
		l = NewLocal(func() time.Duration { return now }, func() float64 { return 0 })
		l.cellPeers = map[string]bool{"a": true, "b": true}
	})
	receive := func(from string, held, prefillMs uint32) {
		sequence++
		r := &peerpb.LoadReport{Sequence: sequence, HeldPrompts: held, HeldPrefillMs: prefillMs}
		if held > 0 {
			r.Held = &peerpb.HeldPrompt{Request: from, Weight: 1000}
		}
		l.receive(from, &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
	}
	held := func() (w spread.HeldWork) {
		l.WithForecast(func(_ *forecast.Forecast, q *spread.Queue) { w = q.Held(now) })
		return w
	}
	rates := func() (r forecast.Rates, known bool) {
		l.WithForecast(func(f *forecast.Forecast, _ *spread.Queue) { r, known = f.Flow.Rates(now) })
		return r, known
	}

	// Guards against reports that grow for deployments without early refusals.
	It("is not reported without early refusals, nor where nothing is held", func() {
		l.Hold(spread.Turn{Request: "x", Weight: 1000, Prefill: time.Second})
		r := &peerpb.LoadReport{}
		encodeHeld(r, l.queue.LocalState(now).Held)
		Expect(proto.Size(r)).To(BeZero())
		Expect(l.dumpHeld()).To(BeNil())
		l.EnableForecast()
		l.Release("x")
		encodeHeld(r, l.queue.LocalState(now).Held)
		Expect(proto.Size(r)).To(BeZero())
	})

	It("survives encoding and decoding", func() {
		r := &peerpb.LoadReport{}
		encodeHeld(r, spread.HeldWork{Prompts: 3, Prefill: 4500 * time.Millisecond})
		Expect(decodeHeld(r)).To(Equal(spread.HeldWork{Prompts: 3, Prefill: 4500 * time.Millisecond}))
	})

	// Guards against requests that are refused because of one malformed report.
	DescribeTable("is bounded", func(prompts, prefillMs uint32, want spread.HeldWork) {
		Expect(decodeHeld(&peerpb.LoadReport{HeldPrompts: prompts, HeldPrefillMs: prefillMs})).To(Equal(want))
	},
		Entry("prefill without prompts", uint32(0), uint32(1000), spread.HeldWork{}),
		Entry("prompts without prefill", uint32(5), uint32(0), spread.HeldWork{}),
		Entry("values near the limit", uint32(1<<32-1), uint32(1<<32-1), spread.HeldWork{Prompts: maxHeldPrompts, Prefill: maxHeldPrefill}),
	)

	It("is that of this instance and its peers, and peers without the fields add nothing", func() {
		l.EnableForecast()
		l.Hold(spread.Turn{Request: "x", Weight: 1000, Prefill: time.Second})
		receive("a", 2, 3000)
		receive("b", 0, 0)
		receive("stranger", 9, 9000)
		Expect(held()).To(Equal(spread.HeldWork{Prompts: 3, Prefill: 4 * time.Second}))
		Expect(l.dumpHeld()).To(Equal(&HeldDump{Prompts: 3, PrefillMs: 4000}))
	})

	// Guards against an instance that takes a peer's end for a release of all that the peer held.
	It("does not count as released when the reports of a peer stop", func() {
		l.EnableForecast()
		for range 30 {
			receive("a", 2, 3000)
			receive("b", 2, 3000)
			now += 100 * time.Millisecond
		}
		now += spread.TurnTTL
		receive("a", 2, 3000)
		l.forgetHeld([]string{"b"})
		Expect(held().Prompts).To(Equal(2))
		r, known := rates()
		Expect(known).To(BeTrue())
		Expect(r.Released).To(BeZero())
		l.retainHeld(map[string]bool{})
		_, known = rates()
		Expect(known).To(BeFalse(), "this instance and its peers hold nothing")
	})

	// Reports are absolute: one in five that is lost may not change the measured rate.
	It("is released at the same rate when reports are lost", func() {
		l.EnableForecast()
		left := uint32(100_000)
		for i := range 30 {
			if i%5 != 2 {
				receive("a", 10, left)
			}
			left -= 1000
			now += 100 * time.Millisecond
		}
		r, known := rates()
		Expect(known).To(BeTrue())
		Expect(r.Released).To(BeNumerically("~", 10, 1))
	})
})
