package relay

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/result"
)

// evacuate takes the servers of the given data centres out of use. Each server is in the data centre that
// has its ID as its name.
func (x *scriptedExchange) evacuate(dataCentres ...string) {
	var listed []backends.Server
	for _, s := range x.relay.catalog.Servers().All() {
		s.DataCentre = s.ID
		listed = append(listed, s)
	}
	set := backends.NewSet()
	set.Replace(x.relay.now(), listed, position.Position{})
	set.SetEvacuated(x.relay.now(), dataCentres, false)
	x.relay.catalog.Fix(set.Snapshot())
}

var _ = Describe("a request while data centres are evacuated", func() {
	expectRefused := func(x *scriptedExchange) {
		calls, _ := x.servers.counts()
		Expect(calls).To(BeZero())
		Expect(x.sink.refused).NotTo(BeNil())
		Expect(x.sink.refused.Code).To(Equal(result.NoBackend))
		Expect(x.sink.refused.NotRun).To(BeTrue())
		Expect(x.sink.refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(x.sink.refused.Error()).To(ContainSubstring("evacuated"))
	}

	// Guards against requests that are held although no server can take them.
	DescribeTable("is refused at once if no server is left", func(kind route.Kind) {
		x := newScripted(kind, allRetries)
		x.evacuate("a", "b", "c")
		began := time.Now()
		x.play()
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		expectRefused(x)
	},
		Entry("with a prompt", route.Stream),
		Entry("without a prompt", route.Idempotent),
	)

	// Guards against prompts that are refused for good, because the servers of the evacuated data centres
	// do not count for what all engines together can hold.
	It("is refused for now if its prompt needs their memory", func() {
		x := newScripted(route.Stream, allRetries)
		x.req.PromptTokens = 1_500_000
		x.evacuate("a", "b")
		x.play()
		expectRefused(x)
	})

	// Guards against callers that come back with prompts that never fit.
	// Guards against load that stays recorded because the look at the evacuated engines placed the request.
	It("leaves no load behind if its prompt needs their memory", func() {
		x := newScripted(route.Stream, allRetries)
		x.req.PromptTokens = 1_500_000
		Expect(x.fitsWithEvacuated()).To(BeFalse())
		x.evacuate("a")
		x.req.PromptTokens = 500
		Expect(x.fitsWithEvacuated()).To(BeTrue())
		for _, s := range x.relay.catalog.Servers().All() {
			Expect(x.relay.loads.Total(s.ID)).To(BeZero())
		}
	})

	It("is refused for good if its prompt is too large for all engines", func() {
		x := newScripted(route.Stream, allRetries)
		x.req.PromptTokens = 6_000_000
		x.evacuate("a", "b")
		x.play()
		Expect(x.sink.refused.Code).To(Equal(result.TooLongForFleet))
	})

	// Guards against prompts that wait for their turn although nothing is left to wait for.
	It("is refused at once even if other prompts are held before it", func() {
		x := newScripted(route.Stream, allRetries)
		x.req.PromptTokens = 900_000
		Expect(x.isDeep()).To(BeTrue())
		before := x.another("first")
		before.req.PromptTokens, before.started = 500_000, x.relay.now()-time.Millisecond
		x.started = x.relay.now()
		x.relay.loads.Hold(before.turn())
		x.evacuate("a", "b", "c")
		x.play()
		Expect(x.heldFor).To(BeZero())
		expectRefused(x)
	})

	// Guards against held prompts that are sent to a server that was evacuated meanwhile, or that wait for
	// it until the end of their time.
	It("that is held is refused once no server is left", func() {
		x := newCold(route.Stream, 0.5, []string{"a", "b", "c"})
		x.route.FirstEventTarget = 10 * time.Second
		began := time.Now()
		time.AfterFunc(50*time.Millisecond, func() { x.evacuate("a", "b", "c") })
		x.play()
		Expect(time.Since(began)).To(And(BeNumerically(">", 50*time.Millisecond), BeNumerically("<", 250*time.Millisecond)))
		Expect(x.heldFor).To(BeNumerically(">", 0))
		expectRefused(x)
	})

	// Guards against requests that wait for a permit of a server for seconds and are sent although the
	// server went out of use meanwhile.
	It("is not placed on a server that was evacuated while it waited for a permit", func() {
		x := newScripted(route.Idempotent, allRetries, script{status: http.StatusOK})
		server := x.relay.catalog.Servers().Ready("s")[0]
		_, placed := x.placeGranted(server)
		Expect(placed).To(BeTrue())
		x.evacuate(server.ID)
		_, placed = x.placeGranted(server)
		Expect(placed).To(BeFalse())
	})
})
