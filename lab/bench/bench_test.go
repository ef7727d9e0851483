package bench_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/bench"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestBench(t *testing.T) { testkit.Suite(t, "bench") }

func productPolicy() bench.Policy {
	p, ok := bench.LookupPolicy(bench.Product)
	Expect(ok).To(BeTrue())
	return p
}

var _ = Describe("the committed bounds", func() {
	raw, err := os.ReadFile("bounds.toml")
	if err != nil {
		panic(err)
	}
	bounds, err := bench.ParseBounds(raw)
	if err != nil {
		panic(err)
	}
	for _, b := range bounds.Quick {
		It(fmt.Sprintf("hold for %s", b.Scenario), func() {
			s, ok := bench.Find(b.Scenario)
			Expect(ok).To(BeTrue())
			set := bench.DefaultSettings()
			set.Scale = bounds.QuickScale
			Expect(b.Check(bench.Measure(s, productPolicy(), set))).To(BeEmpty())
		})
	}
})

var _ = Describe("a run", func() {
	It("is deterministic for a given seed", func() {
		s, _ := bench.Find("te-puna-0.8x")
		set := bench.DefaultSettings()
		set.Scale = 0.1
		Expect(bench.Measure(s, productPolicy(), set)).To(Equal(bench.Measure(s, productPolicy(), set)))
	})

	// Guards against leaked reservations: memory reserved by a crashed instance
	// stayed accounted, so requests waited while engines were idle. Renewals stop
	// with the instance, so its reservations expire.
	It("releases the reservations of a crashed instance", func() {
		s, _ := bench.Find("entry-dies")
		set := bench.DefaultSettings()
		set.Scale = 0.4
		sum := bench.Measure(s, productPolicy(), set)
		Expect(sum.Lost).To(BeNumerically(">", 0))
		Expect(sum.Reserved).To(BeZero())
		Expect(sum.Late + sum.Unanswered).To(BeZero())
	})

	// Guards against a stuck gang: an engine crashed while its part was still
	// queued and the gang was not notified, so the other parts held their memory
	// until the deadline. The request failed after its ten minutes, and four
	// others waited as long on engines that looked idle.
	It("re-forms a gang when one of its engines crashes before its part starts", func() {
		s, _ := bench.Find("engine-dies")
		sum := bench.Measure(s, productPolicy(), bench.DefaultSettings())
		Expect(sum.Failures).To(BeEmpty())
		Expect(sum.WorstLongMS).To(BeNumerically("<", 450_000))
	})

	It("keeps short requests more than three times faster than any baseline under mixed load", func() {
		s, _ := bench.Find("thistlegate-0.8x")
		set := bench.DefaultSettings()
		set.Scale = 0.3
		productSummary := bench.Measure(s, productPolicy(), set)
		for _, name := range []string{"round-robin", "least-outstanding", "two-reports"} {
			p, _ := bench.LookupPolicy(name)
			Expect(bench.Measure(s, p, set).ShortP99MS).To(BeNumerically(">", 3*productSummary.ShortP99MS), name)
		}
	})
})

// TestPromisesProperty draws small sites, loads and faults. Every request must
// have exactly one outcome by its deadline, non-repeatable requests must not be
// dispatched twice, and no memory may stay held or reserved.
func TestPromisesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 6).Draw(t, "engines")
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		site := bench.Site{Entries: entries, Hop: time.Millisecond, Seed: 5, NewEntry: func(name string, seed uint64) dispatch.Machine {
			return dispatch.NewNode(name, dispatch.DefaultConfig(), seed)
		}}
		for i := range engines {
			site.Engines = append(site.Engines, enginecore.Config{
				Name: fmt.Sprintf("e%d", i), KVTokens: 480_000, Assume: enginecore.Assumed(1), Models: []string{"model@v1"},
				ReportLag: time.Duration(rapid.IntRange(0, 5000).Draw(t, "lag")) * time.Millisecond, EventGap: 50,
			})
		}
		l := bench.NewLoop(site)
		mix := bench.TePuna
		rate := mix.Capacity(enginecore.Assumed(1), engines) * rapid.Float64Range(0.3, 2.5).Draw(t, "load")
		for i, a := range mix.Generate(uint64(rapid.IntRange(1, 1000).Draw(t, "seed")), rate, 20*time.Second, bench.AllSources) {
			l.Submit(i%entries, a)
		}
		faultyEngine := fmt.Sprintf("e%d", rapid.IntRange(0, engines-1).Draw(t, "faulty"))
		at := time.Duration(rapid.IntRange(1, 20).Draw(t, "at")) * time.Second
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0:
			l.At(at, func(l *bench.Loop, now time.Duration) { l.Kill(now, faultyEngine) })
		case 1:
			l.At(at, func(l *bench.Loop, now time.Duration) { l.Hang(now, faultyEngine) })
		case 2:
			l.At(at, func(l *bench.Loop, _ time.Duration) { l.Slow(faultyEngine, 4) })
		case 3:
			if entries > 1 {
				l.At(at, func(l *bench.Loop, now time.Duration) { l.KillEntry(now, "a-entry") })
			}
		}
		l.Run(15 * time.Minute)
		l.Settle(30 * time.Second)
		s := bench.Summarize(l)
		if s.Unanswered > 0 || s.Late > 0 {
			t.Fatalf("%d unanswered, %d late", s.Unanswered, s.Late)
		}
		if s.RepeatedDispatches > 0 {
			t.Fatalf("%d non-repeatable requests were dispatched twice", s.RepeatedDispatches)
		}
		if s.Duplicates > 0 {
			t.Fatalf("%d requests had more than one outcome", s.Duplicates)
		}
		if s.Reserved != 0 {
			t.Fatalf("%d tokens stayed reserved", s.Reserved)
		}
		if s.Lost == 0 && s.MemoryLeft != 0 {
			t.Fatalf("%d tokens stayed held", s.MemoryLeft)
		}
	})
}
