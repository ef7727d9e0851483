package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

func TestDispatch(t *testing.T) { testkit.Suite(t, "dispatch") }

var _ = Describe("placing a request while engines change owners", func() {
	// Guards against "no backend" errors while all engines are healthy: an instance
	// that had just joined and taken over engines was asked for a quote before its
	// first load report, and the entry took its reply for a final refusal.
	It("waits for the new owner's first report", func() {
		n := NewNode("self", DefaultConfig(), 1)
		n.Step(0, Directory{Engines: []EngineInfo{{Name: "e", Models: []string{"m"}, Owner: "self"}}})
		for _, a := range n.Step(0, Arrive{Job: testJob(1)}) {
			Expect(a).NotTo(BeAssignableToTypeOf(Finish{}))
		}
		n.Step(50*time.Millisecond, EngineReport{Report: engine.Report{Engine: "e", KVTotal: 480_000, PrefillPerSecond: 1e5, StepMS: 1}})
		started := false
		for now := 60 * time.Millisecond; now < time.Second; now += TickEvery {
			for _, a := range n.Step(now, Tick{}) {
				_, ok := a.(Start)
				started = started || ok
			}
		}
		Expect(started).To(BeTrue())
	})

	It("fails the request within a second when no owner answers", func() {
		n := NewNode("self", DefaultConfig(), 1)
		n.Step(0, Directory{Engines: []EngineInfo{{Name: "e", Models: []string{"m"}, Owner: "gone"}}})
		n.Step(0, Arrive{Job: testJob(1)})
		var failed *Finish
		for now := TickEvery; now < 2*time.Second && failed == nil; now += TickEvery {
			for _, a := range n.Step(now, Tick{}) {
				if f, ok := a.(Finish); ok {
					failed = &f
					Expect(now).To(BeNumerically("<=", time.Second))
				}
			}
		}
		Expect(failed).NotTo(BeNil())
		Expect(failed.Err.NotRun).To(BeTrue())
	})
})
