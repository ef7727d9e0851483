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
	var tracker *orphan.Tracker
	alive := func(name string, inc uint64) bool { return name == "live" && inc == 7 }

	BeforeEach(func() { tracker = orphan.NewTracker() })

	observe := func(now, age time.Duration, ids ...string) []string {
		r := engine.Report{Engine: "e"}
		for _, id := range ids {
			r.Streams = append(r.Streams, engine.StreamState{ID: id, AgeMS: age.Milliseconds()})
		}
		return tracker.Observe(now, r, alive)
	}

	It("parses IDs of streams and parts", func() {
		id := orphan.Format("entry-1.x", 255, 3, 90*time.Second, true)
		for _, name := range []string{id, id + ".2", id + "#1.2"} {
			got, ok := orphan.Parse(name)
			Expect(ok).To(BeTrue(), name)
			Expect(got).To(Equal(orphan.ID{Instance: "entry-1.x", Incarnation: 255, Limit: 90 * time.Second, Once: true}))
		}
	})

	// Guards against engine memory that is never freed: an instance was killed while it
	// streamed, and the engine continued to generate.
	It("cancels the streams of a failed instance after the grace period", func() {
		id := orphan.Format("dead", 1, 1, time.Minute, false) + ".1"
		Expect(observe(0, time.Second, id)).To(BeEmpty())
		Expect(observe(5*time.Second, 6*time.Second, id)).To(BeEmpty())
		Expect(observe(11*time.Second, 12*time.Second, id)).To(Equal([]string{id}))
	})

	It("keeps the streams of live instances and of other clients", func() {
		id := orphan.Format("live", 7, 1, time.Minute, false) + ".1"
		Expect(observe(0, time.Second, id, "somebody-elses")).To(BeEmpty())
		Expect(observe(time.Minute, time.Minute, id, "somebody-elses")).To(BeEmpty())
	})

	It("cancels a stream of a live instance that has exceeded its time limit", func() {
		id := orphan.Format("live", 7, 1, time.Minute, false) + ".1"
		Expect(observe(0, 2*time.Minute, id)).To(Equal([]string{id}))
	})

	// Guards against a lost answer: the instance failed, and the stream was cancelled
	// before the caller repeated its request.
	It("keeps the stream of a request that must not be repeated until its time limit", func() {
		id := orphan.Format("dead", 1, 1, 5*time.Minute, true) + ".1"
		Expect(observe(0, time.Second, id)).To(BeEmpty())
		Expect(observe(time.Minute, time.Minute, id)).To(BeEmpty())
		Expect(observe(6*time.Minute, 6*time.Minute, id)).To(Equal([]string{id}))
	})
})
