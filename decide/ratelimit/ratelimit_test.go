package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRateLimit(t *testing.T) { testkit.Suite(t, "decide/ratelimit") }

const (
	second = time.Second
	// limitWindow is the length of the windows in which a limit holds, limitSlack the number of
	// requests in one that may be over it.
	limitWindow = 4 * second
	limitSlack  = 2
)

var named = func(perSecond float64) ratelimit.Limit {
	return ratelimit.Limit{Named: true, PerSecond: perSecond}
}

var _ = Describe("the limits that an instance knows", func() {
	var t *ratelimit.Table
	key := ratelimit.KeyOf("a", 1)
	BeforeEach(func() { t = ratelimit.NewTable() })

	It("are what the newest answers say", func() {
		Expect(t.Set(second, key, named(2))).To(BeTrue())
		Expect(t.Set(2*second, key, named(2))).To(BeFalse())
		Expect(t.Set(3*second, key, named(1))).To(BeTrue())
		// An answer that arrived before the newest one, but is told late.
		Expect(t.Set(2*second, key, named(5))).To(BeFalse())
		r, ok := t.Get(key)
		Expect(ok).To(BeTrue())
		Expect(r).To(Equal(ratelimit.Record{Limit: named(1), Heard: 3 * second, Changed: 3 * second, Since: second}))
		Expect(t.ChangedSince(3 * second)).To(HaveLen(1))
		Expect(t.ChangedSince(4 * second)).To(BeEmpty())
		Expect(t.Set(4*second, key, ratelimit.Limit{})).To(BeTrue())
		_, ok = t.Get(key)
		Expect(ok).To(BeFalse())
	})

	It("are not those of another life of the server", func() {
		t.Set(second, key, named(2))
		_, ok := t.Get(ratelimit.KeyOf("a", 2))
		Expect(ok).To(BeFalse())
	})

	It("need no record of servers that never named one", func() {
		Expect(t.Set(second, key, ratelimit.Limit{})).To(BeFalse())
		Expect(t.Len()).To(BeZero())
	})

	// Guards against a limit that an old message puts in force again after its end.
	It("are remembered for a while after their end", func() {
		t.Set(second, key, named(2))
		t.Set(2*second, key, ratelimit.Limit{})
		listed := func(ratelimit.Key) bool { return true }
		t.Retain(3*second, listed)
		Expect(t.All(3 * second)).To(HaveLen(1))
		Expect(t.Set(1500*time.Millisecond, key, named(2))).To(BeFalse())
		t.Retain(10*second, listed)
		Expect(t.Len()).To(BeZero())
	})

	It("are dropped with their servers", func() {
		t.Set(second, key, named(2))
		t.Retain(second, func(ratelimit.Key) bool { return false })
		Expect(t.Len()).To(BeZero())
	})
})

// busiest is the greatest number of times in one limitWindow.
func busiest(at []time.Duration) (most int) {
	for i, begin := range at {
		n := 0
		for _, t := range at[i:] {
			if t-begin < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("the permits of a server", func() {
	key := ratelimit.KeyOf("a", 1)

	DescribeTable("keep to its limit and use it while requests wait", func(perSecond float64) {
		p := ratelimit.NewPacer()
		var at []time.Duration
		for now := time.Duration(0); now < 60*second; now += 7 * time.Millisecond {
			if p.Ask(now, key, perSecond, ratelimit.Request{}, 0) == 0 {
				at = append(at, now)
			}
		}
		Expect(float64(busiest(at))).To(BeNumerically("<=", 4*perSecond+limitSlack))
		Expect(float64(len(at)) / 60).To(BeNumerically(">=", 0.9*perSecond))
	},
		Entry("0", 0.0), Entry("0.3", 0.3), Entry("1.6", 1.6), Entry("5", 5.0), Entry("40", 40.0),
	)

	It("are given by rank, then by weight, then in turn", func() {
		p := ratelimit.NewPacer()
		Expect(p.Ask(0, key, 1, ratelimit.Request{ID: 9}, 0)).To(BeZero())
		for _, r := range []ratelimit.Request{{ID: 1, Rank: 1, Weight: 5}, {ID: 2, Rank: 1, Weight: 5}, {ID: 3, Rank: 1, Weight: 9}, {ID: 4, Rank: 0, Weight: 1}} {
			Expect(p.Ask(0, key, 1, r, time.Minute)).To(BeNumerically(">", 0))
		}
		var order []uint64
		for now := time.Duration(0); now < 10*second; now += 10 * time.Millisecond {
			for id := range uint64(5) {
				if p.Poll(now, key, 1, id) == 0 {
					order = append(order, id)
				}
			}
		}
		Expect(order).To(Equal([]uint64{4, 3, 1, 2}))
	})

	// Guards against requests that wait although their turn comes too late.
	It("are denied at once with the time until they are free", func() {
		p := ratelimit.NewPacer()
		p.Ask(0, key, 1, ratelimit.Request{ID: 1}, 0)
		p.Ask(0, key, 1, ratelimit.Request{ID: 2}, 5*second)
		Expect(p.Ask(0, key, 1, ratelimit.Request{ID: 3}, second)).To(BeNumerically("~", 2*second, 300*time.Millisecond))
		Expect(p.Waiting(key)).To(Equal(1))
		p.Leave(key, 2)
		Expect(p.Waiting(key)).To(BeZero())
	})
})

var _ = Describe("the owner of a server", func() {
	names := make([]string, 50)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}

	It("changes with few servers when an instance joins", func() {
		moved, owned := 0, map[string]int{}
		for i := range 1000 {
			key := ratelimit.KeyOf(fmt.Sprint("server-", i), 1)
			before := ratelimit.Owner(key, names[:49])
			owned[before]++
			if after := ratelimit.Owner(key, names); after != before {
				Expect(after).To(Equal(names[49]))
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 40))
		for _, n := range owned {
			Expect(n).To(BeNumerically("<=", 45))
		}
	})

	It("gives out all of a limit on the larger side of a partition", func() {
		Expect(ratelimit.ShareOf(10, 6, 6)).To(Equal(10.0))
		Expect(ratelimit.ShareOf(10, 4, 6)).To(Equal(10.0))
		Expect(ratelimit.ShareOf(10, 3, 6)).To(Equal(5.0))
		Expect(ratelimit.ShareOf(10, 6, 0)).To(Equal(10.0))
	})

	// Guards against servers that nobody uses any more once most instances are lost for good.
	It("gives out nothing in a minority, but not forever", func() {
		g := ratelimit.NewGranter("a")
		key := ratelimit.KeyOf("server", 1)
		ask := func(now time.Duration) bool { return g.Ask(now, key, named(2), ratelimit.Request{}, 0).Granted }
		g.SetFleet(0, ratelimit.Fleet{Size: 4})
		Expect(ask(10 * second)).To(BeFalse())
		Expect(ask(time.Minute)).To(BeTrue())
	})

	It("gives out nothing just after its start, and before it has heard from all that it knows of", func() {
		g := ratelimit.NewGranter("a")
		key := ratelimit.KeyOf("server", 1)
		ask := func(now time.Duration) bool { return g.Ask(now, key, named(2), ratelimit.Request{}, 0).Granted }
		Expect(ask(second)).To(BeFalse())
		g.SetFleet(0, ratelimit.Fleet{Size: 1, Incomplete: true})
		Expect(ask(10 * second)).To(BeFalse())
		Expect(ask(time.Minute)).To(BeTrue())
	})

	// Guards against two owners after a partition in which one of them was started.
	It("are given out by an instance only some time after it has heard from all", func() {
		g := ratelimit.NewGranter("entry-1")
		key := ratelimit.KeyOf("server", 1)
		ask := func(now time.Duration) bool { return g.Ask(now, key, named(2), ratelimit.Request{}, 0).Granted }
		g.SetFleet(0, ratelimit.Fleet{Size: 1, Incomplete: true})
		g.SetView(5*second, ratelimit.View{Owners: []string{"entry-1"}, InSight: 3}, []ratelimit.Key{key})
		g.SetFleet(5*second, ratelimit.Fleet{Size: 3})
		Expect(ask(5 * second)).To(BeFalse())
		g.SetFleet(6*second, ratelimit.Fleet{Size: 3})
		Expect(ask(5*second + ratelimit.HandoverTime - time.Millisecond)).To(BeFalse())
		Expect(ask(5*second + ratelimit.HandoverTime)).To(BeTrue())
	})

	It("are given out at once where nothing is known to be missing when the first limit is named", func() {
		g := ratelimit.NewGranter("entry-1")
		g.SetFleet(time.Minute, ratelimit.Fleet{Size: 1})
		Expect(g.Ask(time.Minute, ratelimit.KeyOf("server", 1), named(2), ratelimit.Request{}, 0).Granted).To(BeTrue())
	})
})
