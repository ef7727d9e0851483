package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/sched"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestSched(t *testing.T) { testkit.Suite(t, "sched") }

const kv = 100_000

func newEngine(cfg sched.Config) *sched.Engine {
	e := sched.NewEngine("e", cfg)
	e.ApplyReport(0, engine.Report{Engine: "e", KVTotal: kv, PrefillPerSecond: 10_000, StepMS: 10})
	return e
}

func job(id string, prompt int64, limit time.Duration) *peerpb.Job {
	return &peerpb.Job{
		Id: id, Attempt: 1, Customer: "c", PromptTokens: prompt, MaxTokens: 10,
		RemainingUs: limit.Microseconds(), TargetUs: time.Second.Microseconds(), Weight: 1,
	}
}

var _ = Describe("scheduling the requests of an engine", func() {
	It("grants a short request before a long one that is already running", func() {
		e := newEngine(sched.DefaultConfig())
		e.Reserve(0, "a", job("long", 50_000, time.Minute))
		Expect(e.Grants(0)).To(HaveLen(1))
		repeated := e.Grants(0)
		Expect(repeated).To(BeEmpty())
		e.Reserve(time.Second, "a", job("short", 1_000, time.Minute))
		g := e.Grants(time.Second)
		Expect(g).To(HaveLen(1))
		Expect(g[0].ID).To(Equal("short"))
	})

	It("orders a long request before new short ones when its deadline is near", func() {
		o, _ := sched.LookupOrder("stretch")
		long := o.Key(sched.Work{Arrived: 0, Target: time.Minute, Deadline: time.Minute, Prefill: 20 * time.Second, Total: 21 * time.Second})
		early := o.Key(sched.Work{Arrived: 5 * time.Second, Target: time.Second, Deadline: 35 * time.Second, Prefill: 100 * time.Millisecond, Total: time.Second})
		late := o.Key(sched.Work{Arrived: 40 * time.Second, Target: time.Second, Deadline: 70 * time.Second, Prefill: 100 * time.Millisecond, Total: time.Second})
		Expect(early).To(BeNumerically("<", long))
		Expect(late).To(BeNumerically(">", long))
	})

	It("refuses a request that cannot finish in time, with a retry delay", func() {
		e := newEngine(sched.DefaultConfig())
		p := e.Reserve(0, "a", job("late", 90_000, 2*time.Second))
		Expect(p.Refusal).To(Equal(result.CannotFinishInTime))
		Expect(p.RetryAfter).To(BeNumerically(">", 0))
		Expect(e.Len()).To(BeZero())
	})

	// Guards against an admitted long request that misses its deadline because many
	// short ones, each with little effect, overtake it. It happens if admission
	// checks only the deadline of the new request.
	It("refuses a new request that would make an admitted one late", func() {
		e := newEngine(sched.DefaultConfig())
		Expect(e.Reserve(0, "a", job("review", 80_000, 10*time.Second)).Refusal).To(Equal(result.OK))
		refused := 0
		for i := range 30 {
			if p := e.Reserve(0, "b", job(fmt.Sprint("s", i), 2_000, 10*time.Second)); p.Refusal != result.OK {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 15))
	})

	It("keeps memory for short requests while long ones wait", func() {
		e := newEngine(sched.DefaultConfig())
		for i := range 3 {
			e.Reserve(0, "a", job(fmt.Sprint("long", i), 45_000, time.Hour))
		}
		e.Grants(0)
		e.Progress(5*time.Second, "long0", 1, peerpb.Stage_STAGE_FIRST_TOKEN)
		e.Grants(5 * time.Second)
		e.Progress(10*time.Second, "long1", 1, peerpb.Stage_STAGE_FIRST_TOKEN)
		Expect(e.Grants(10*time.Second)).To(BeEmpty(), "the third long request was granted the headroom")
		e.Reserve(10*time.Second, "a", job("short", 2_000, time.Minute))
		Expect(e.Grants(10 * time.Second)).To(HaveLen(1))
	})

	// Guards against short requests that wait 15 s behind a gang's part on an engine
	// predicted to be idle: the part was granted with the key of its reservation, and
	// its work was counted as done while it waited for the preceding part.
	It("computes a gang part's key and progress from when it is ready, not from its reservation", func() {
		e := newEngine(sched.DefaultConfig())
		part := job("p#1", 40_000, time.Hour)
		part.Gang, part.HoldTokens = 2, 40_000
		e.Reserve(0, "a", part)
		Expect(e.Grants(0)).To(HaveLen(1), "its memory")
		Expect(e.ReservedMemory()).To(BeNumerically(">=", 40_000))
		idle := e.Quote(time.Minute, job("q", 1_000, time.Minute))
		Expect(idle.FirstToken).To(BeNumerically("<", 200*time.Millisecond))
		e.Progress(time.Minute, "p#1", 1, peerpb.Stage_STAGE_READY)
		g := e.Grants(time.Minute)
		Expect(g).To(HaveLen(1), "its turn")
		e.Reserve(time.Minute, "a", job("short", 1_000, time.Minute))
		short := e.Grants(time.Minute)
		Expect(short).To(HaveLen(1))
		Expect(short[0].Priority).To(BeNumerically("<", g[0].Priority))
	})

	It("detects an engine that answers but completes no step as hung", func() {
		e := newEngine(sched.DefaultConfig())
		for i := range 20 {
			e.ApplyReport(time.Duration(i)*250*time.Millisecond, engine.Report{KVTotal: kv, Running: 1, Steps: 7})
		}
		Expect(e.Hung()).To(BeTrue())
		e.ApplyReport(6*time.Second, engine.Report{KVTotal: kv, Running: 1, Steps: 8})
		Expect(e.Hung()).To(BeFalse())
	})

	It("resends a grant when the entry's renewal shows that it was lost", func() {
		e := newEngine(sched.DefaultConfig())
		j := job("r", 1_000, time.Minute)
		e.Reserve(0, "a", j)
		e.Grants(0)
		g, again := e.Renew(time.Second, "a", &peerpb.RenewItem{Job: j})
		Expect(again).To(BeTrue())
		Expect(g.ID).To(Equal("r"))
	})

	It("adopts a reservation granted by a previous owner", func() {
		e := newEngine(sched.DefaultConfig())
		j := job("r", 30_000, time.Minute)
		e.Renew(0, "a", &peerpb.RenewItem{Job: j, Running: true, FirstToken: true})
		Expect(e.ReservedMemory()).To(Equal(int64(30_010)))
		e.Tick(time.Minute)
		Expect(e.ReservedMemory()).To(BeZero(), "a reservation outlived its expiry")
	})

	It("clears its prefix cache index at a gap in the events", func() {
		e := newEngine(sched.DefaultConfig())
		j := job("r", 3_000, time.Minute)
		j.Prefix = []uint64{1, 2}
		e.ApplyCacheEvents([]engine.CacheEvent{{Seq: 1, Hash: 1}, {Seq: 2, Hash: 2}})
		Expect(e.Quote(0, j).Cached).To(Equal(int64(2048)))
		e.ApplyCacheEvents([]engine.CacheEvent{{Seq: 5, Hash: 9}})
		Expect(e.Quote(0, j).Cached).To(BeZero())
	})

	// Guards against requests that queue on one engine while others are idle: the
	// engine evicted a prefix, the event was lost, and its owner kept predicting the
	// hit. The first request that misses must correct the index.
	It("forgets cached blocks after a request missed them", func() {
		e := newEngine(sched.DefaultConfig())
		j := job("r", 3_000, time.Minute)
		j.Prefix = []uint64{1, 2}
		e.ApplyCacheEvents([]engine.CacheEvent{{Seq: 1, Hash: 1}, {Seq: 2, Hash: 2}})
		e.Reserve(0, "a", j)
		e.ObserveCachedTokens("r", 1, 0)
		Expect(e.Quote(0, j).Cached).To(BeZero())
	})

	It("limits a flooding customer to its share only while others are waiting", func() {
		e := newEngine(sched.DefaultConfig())
		for i := range 40 {
			j := job(fmt.Sprint("f", i), 2_000, time.Minute)
			j.Customer = "flood"
			e.Reserve(0, "a", j)
		}
		alone := e.Len()
		Expect(alone).To(Equal(40))
		e.Reserve(0, "a", job("other", 2_000, time.Minute))
		j := job("more", 2_000, time.Minute)
		j.Customer = "flood"
		Expect(e.Reserve(0, "a", j).Refusal).To(Equal(result.ShareExceeded))
		Expect(e.Reserve(0, "a", job("other2", 2_000, time.Minute)).Refusal).To(Equal(result.OK))
	})
})

// TestAccountProperty applies random requests, faults and lost messages and
// compares the reserved memory with the sum over the granted requests.
func TestAccountProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(sched.DefaultConfig())
		now := time.Duration(0)
		jobs := map[string]*peerpb.Job{}
		heldMemory := map[string]int64{}
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("r", rapid.IntRange(0, 15).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				j := job(id, int64(rapid.IntRange(1, 60_000).Draw(t, "prompt")), 10*time.Minute)
				j.Attempt = uint32(i + 1)
				if _, known := jobs[id]; known {
					continue
				}
				if e.Reserve(now, "a", j).Refusal == result.OK {
					jobs[id] = j
				}
			case 2:
				if j := jobs[id]; j != nil {
					e.Progress(now, id, j.Attempt, peerpb.Stage_STAGE_FIRST_TOKEN)
				}
			case 3:
				if j := jobs[id]; j != nil {
					e.Progress(now, id, j.Attempt, peerpb.Stage_STAGE_DONE)
					delete(jobs, id)
					delete(heldMemory, id)
				}
			case 4:
				if j := jobs[id]; j != nil {
					_, granted := heldMemory[id]
					e.Renew(now, "a", &peerpb.RenewItem{Job: j, Running: granted})
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "silence") == 0 {
					now += time.Minute
					e.Tick(now)
					clear(jobs)
					clear(heldMemory)
				}
			}
			for _, g := range e.Grants(now) {
				if jobs[g.ID] == nil {
					t.Fatalf("granted %s, which was not reserved", g.ID)
				}
				if _, twice := heldMemory[g.ID]; twice {
					t.Fatalf("granted %s twice", g.ID)
				}
				heldMemory[g.ID] = jobs[g.ID].PromptTokens + jobs[g.ID].MaxTokens
			}
			sum := int64(0)
			for _, m := range heldMemory {
				sum += m
			}
			if sum != e.ReservedMemory() || sum > kv {
				t.Fatalf("reserved memory is %d, granted requests hold %d of %d", e.ReservedMemory(), sum, kv)
			}
		}
	})
}
