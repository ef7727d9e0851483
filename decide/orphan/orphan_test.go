package orphan_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/orphan"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

func TestOrphan(t *testing.T) { testkit.Suite(t, "orphan") }

var _ = Describe("orphans", func() {
	var tr *orphan.Tracker
	alive := func(name string, inc uint64) bool { return name == "live" && inc == 7 }

	BeforeEach(func() { tr = orphan.NewTracker() })

	observe := func(now, age time.Duration, ids ...string) []string {
		r := engine.Report{Engine: "e"}
		for _, id := range ids {
			r.Streams = append(r.Streams, engine.StreamState{ID: id, AgeMS: age.Milliseconds()})
		}
		return tr.Observe(now, r, alive)
	}

	It("reads ids of streams and parts", func() {
		id := orphan.Format("entry-1.x", 255, 3, 90*time.Second, true)
		for _, name := range []string{id, id + ".2", id + "#1.2"} {
			got, ok := orphan.Parse(name)
			Expect(ok).To(BeTrue(), name)
			Expect(got).To(Equal(orphan.ID{Instance: "entry-1.x", Incarnation: 255, Limit: 90 * time.Second, Once: true}))
		}
	})

	// An engine's memory stays full for ever: an instance was killed while it
	// streamed, and the engine goes on generating for nobody.
	It("cancels the streams of a dead instance within its grace", func() {
		id := orphan.Format("dead", 1, 1, time.Minute, false) + ".1"
		Expect(observe(0, time.Second, id)).To(BeEmpty())
		Expect(observe(5*time.Second, 6*time.Second, id)).To(BeEmpty())
		Expect(observe(11*time.Second, 12*time.Second, id)).To(Equal([]string{id}))
	})

	It("leaves the streams of live instances and of others alone", func() {
		mine := orphan.Format("live", 7, 1, time.Minute, false) + ".1"
		Expect(observe(0, time.Second, mine, "somebody-elses")).To(BeEmpty())
		Expect(observe(time.Minute, time.Minute, mine, "somebody-elses")).To(BeEmpty())
	})

	It("cancels a stream that a live instance forgot, past its time limit", func() {
		mine := orphan.Format("live", 7, 1, time.Minute, false) + ".1"
		Expect(observe(0, 2*time.Minute, mine)).To(Equal([]string{mine}))
	})

	// An appeal review is lost: its instance died, and the stream was cancelled
	// before the caller came back for it. A request that may not be repeated
	// keeps its stream until the time limit.
	It("keeps the stream of a request that may not be repeated until its limit", func() {
		id := orphan.Format("dead", 1, 1, 5*time.Minute, true) + ".1"
		Expect(observe(0, time.Second, id)).To(BeEmpty())
		Expect(observe(time.Minute, time.Minute, id)).To(BeEmpty())
		Expect(observe(6*time.Minute, 6*time.Minute, id)).To(Equal([]string{id}))
	})
})
