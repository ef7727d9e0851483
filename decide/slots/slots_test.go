package slots_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/slots"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestSlots(t *testing.T) { testkit.Suite(t, "slots") }

func TestMain(m *testing.M) { testkit.Main(m) }

func never(*slots.Slot) bool { return false }

var _ = Describe("places for connections", func() {
	// Guards against clients that take all descriptors with connections on which nothing happens.
	DescribeTable("go to a new connection if another one is", func(state slots.State, after time.Duration, ok bool) {
		s := slots.New(2)
		first, _, _ := s.Add(0, "first", never)
		second, _, _ := s.Add(0, "second", never)
		s.Set(0, first, state)
		s.Set(0, second, slots.Busy)
		_, victim, added := s.Add(after, "third", never)
		Expect(added).To(Equal(ok))
		if ok {
			Expect(victim).To(BeIdenticalTo(first))
			Expect(s.Set(after, first, slots.Busy)).To(BeFalse())
		} else {
			Expect(victim).To(BeNil())
		}
	},
		Entry("idle", slots.Idle, time.Second/50, true),
		Entry("closing", slots.Closing, time.Duration(0), true),
		Entry("silent amid a head", slots.Head, time.Second, true),
		Entry("silent amid a body", slots.Body, time.Second, true),
		Entry("silent amid a head, briefly", slots.Head, time.Second/50, true),
		Entry("new", slots.Head, time.Second/100, false),
		Entry("receiving a body", slots.Body, time.Second/2, false),
		Entry("served", slots.Busy, time.Hour, false),
	)

	It("are taken from the connection that was silent for longest", func() {
		s := slots.New(2)
		first, _, _ := s.Add(0, "first", never)
		second, _, _ := s.Add(time.Second, "second", never)
		s.Hear(2*time.Second, first)
		_, victim, ok := s.Add(4*time.Second, "third", never)
		Expect(ok).To(BeTrue())
		Expect(victim).To(BeIdenticalTo(second))
	})

	// Guards against clients that take all places with bodies that trickle.
	It("are kept for requests that come at once beside bodies", func() {
		s := slots.New(4)
		var bodies []*slots.Slot
		for range 3 {
			b, _, _ := s.Add(0, nil, never)
			_, ok := s.SetBody(0, b)
			Expect(ok).To(BeTrue())
			bodies = append(bodies, b)
		}
		fourth, _, ok := s.Add(0, nil, never)
		Expect(ok).To(BeTrue())
		_, ok = s.SetBody(time.Second/2, fourth)
		Expect(ok).To(BeFalse())
		s.Hear(time.Second, bodies[0])
		s.Hear(time.Second, bodies[2])
		victim, ok := s.SetBody(time.Second, fourth)
		Expect(ok).To(BeTrue())
		Expect(victim).To(BeIdenticalTo(bodies[1]))
	})

	// Guards against clients whose requests an instance without processor time has not read yet.
	It("are not taken from a connection whose bytes wait to be read", func() {
		s := slots.New(2)
		first, _, _ := s.Add(0, "first", never)
		second, _, _ := s.Add(0, "second", never)
		_, victim, ok := s.Add(time.Second, "third", func(o *slots.Slot) bool { return o == first })
		Expect(ok).To(BeTrue())
		Expect(victim).To(BeIdenticalTo(second))
	})

	It("are counted by state", func() {
		s := slots.New(3)
		first, _, _ := s.Add(0, "first", never)
		_, _, _ = s.Add(0, "second", never)
		s.Set(0, first, slots.Idle)
		Expect(s.Count()).To(Equal(map[string]int{"idle": 1, "head": 1, "body": 0, "busy": 0, "closing": 0}))
		s.Hear(0, first)
		Expect(s.Count()).To(HaveKeyWithValue("head", 2))
	})
})

// Whatever happens, there are never more connections than places, and one that is served keeps its place.
func TestPlacesAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 5
		s, now := slots.New(size), time.Duration(0)
		open := map[*slots.Slot]bool{}
		pick := func() *slots.Slot {
			var all []*slots.Slot
			for o := range open {
				all = append(all, o)
			}
			return rapid.Permutation(all).Draw(t, "open")[0]
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what == 0 || len(open) == 0:
				added, victim, ok := s.Add(now, nil, never)
				if victim != nil {
					if victim.State() == slots.Busy || !open[victim] {
						t.Fatal("a connection that is served, or closed, loses its place")
					}
					delete(open, victim)
				}
				if ok {
					open[added] = true
				}
			case what == 1:
				s.Set(now, pick(), slots.State(rapid.IntRange(0, 4).Draw(t, "state")))
			case what == 2:
				s.Hear(now, pick())
			default:
				o := pick()
				s.Remove(o)
				delete(open, o)
			}
			sum := 0
			for _, n := range s.Count() {
				sum += n
			}
			if sum != len(open) || sum > size {
				t.Fatalf("%d connections, %d expected, %d places", sum, len(open), size)
			}
		}
	})
}
