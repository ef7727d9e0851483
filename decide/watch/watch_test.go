package watch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestWatch(t *testing.T) { testkit.Suite(t, "watch") }

// fleet returns n instances spread over data centres, one in seven of them larger.
func fleet(n, dataCentres int) []watch.Member {
	var out []watch.Member
	for i := range n {
		m := watch.Member{Name: fmt.Sprintf("i%03d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Capacity: 192}
		if i%7 == 0 {
			m.Capacity = 800
		}
		out = append(out, m)
	}
	return out
}

func standing(self int, members []watch.Member) watch.Standing {
	return watch.StandingOf(members[self], members)
}

func primaries(members []watch.Member) (out []string) {
	for i, m := range members {
		if standing(i, members).Primary() {
			out = append(out, m.Name)
		}
	}
	return out
}

var _ = Describe("the instances that watch the store", func() {
	// Guards against store calls that grow with the fleet: if every instance watches, each
	// change and each pause of two seconds costs a call of each of them.
	DescribeTable("are few in a fleet of any size", func(n, dataCentres, limit int) {
		members := fleet(n, dataCentres)
		Expect(len(primaries(members))).To(And(BeNumerically(">=", min(n, 5)), BeNumerically("<=", limit)))
	},
		Entry("3 in one data centre", 3, 1, 3),
		Entry("6", 6, 3, 6),
		Entry("9", 9, 3, 6),
		Entry("22", 22, 5, 5),
		Entry("74", 74, 3, 6),
		Entry("295", 295, 5, 5),
		Entry("350 in twelve data centres", 350, 12, 12),
	)

	It("are in each data centre, larger instances more often", func() {
		members := fleet(295, 5)
		large, dataCentresSeen := 0, map[string]bool{}
		for round := range 200 {
			for i := range members {
				members[i].Name = fmt.Sprintf("r%d-i%03d", round, i)
			}
			byName := map[string]watch.Member{}
			for _, m := range members {
				byName[m.Name] = m
			}
			for _, dc := range []int{0, 1, 2, 3, 4} {
				first := byName[standing(dc, members).Order[0]]
				dataCentresSeen[first.DataCentre] = true
				if first.Capacity == 800 {
					large++
				}
			}
		}
		Expect(dataCentresSeen).To(HaveLen(5))
		// One of seven has more than four times the processor time of the others: it is first
		// with a probability of 0.41.
		Expect(float64(large) / 1000).To(BeNumerically("~", 800.0/(800+6*192), 0.06))
	})

	It("change only by those that are lost", func() {
		members := fleet(295, 5)
		before := primaries(members)
		removed := slices.Index(names(members), before[0])
		after := primaries(slices.Delete(slices.Clone(members), removed, removed+1))
		var kept int
		for _, p := range after {
			if slices.Contains(before, p) {
				kept++
			}
		}
		Expect(kept).To(Equal(len(before) - 1))
	})

	It("include a leaving instance last", func() {
		members := fleet(22, 5)
		first := slices.Index(names(members), primaries(members)[0])
		members[first].Leaving = true
		Expect(standing(first, members).Primary()).To(BeFalse())
	})

	It("grow by one per data centre for each step without a store answer", func() {
		members := fleet(60, 1)
		p := watch.Policy{StaleAfter: 6 * time.Second, Step: time.Second}
		countWatching := func(age time.Duration) (n int) {
			for i := range members {
				if p.ShouldWatch(standing(i, members), age, noneFails) {
					n++
				}
			}
			return n
		}
		Expect(countWatching(0)).To(Equal(5))
		Expect(countWatching(6*time.Second - 1)).To(Equal(5))
		Expect(countWatching(6 * time.Second)).To(Equal(6))
		Expect(countWatching(15 * time.Second)).To(Equal(15))
	})

	// Guards against seconds without any instance that watches, while the store turns away those that do.
	It("watch in place of those before them whose calls fail, up to a limit", func() {
		members := fleet(60, 1)
		p := watch.Policy{StaleAfter: 6 * time.Second, Step: time.Second}
		order := standing(0, members).Order
		countWatching := func(failing ...string) (n int) {
			for i := range members {
				if p.ShouldWatch(standing(i, members), 0, func(name string) bool { return slices.Contains(failing, name) }) {
					n++
				}
			}
			return n
		}
		Expect(countWatching(order[:5]...)).To(Equal(10))
		Expect(countWatching(order[1], order[3])).To(Equal(7))
		Expect(countWatching(order...)).To(Equal(15))
	})

	It("wait only for instances ranked before them", func() {
		members := fleet(60, 3)
		for i := range members {
			s := standing(i, members)
			for j, m := range members {
				Expect(s.PrecededBy(m.Name)).To(Equal(standing(j, members).Rank < s.Rank))
			}
		}
		Expect(standing(0, members).PrecededBy("nobody")).To(BeFalse())
	})
})

func noneFails(string) bool { return false }

func names(members []watch.Member) (out []string) {
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// propagate forwards content from an instance that got it from the store. It returns the
// instances reached, the number of steps and the maximum number of sends by one instance.
func propagate(members []watch.Member, from int, lost map[string]bool) (reached map[string]bool, steps, maxSends int) {
	index := map[string]int{}
	for i, m := range members {
		index[m.Name] = i
	}
	reached = map[string]bool{members[from].Name: true}
	round := standing(from, members).FirstTargets()
	maxSends = len(round)
	for len(round) > 0 {
		var next []string
		known := len(reached)
		for _, name := range round {
			if reached[name] || lost[name] {
				continue
			}
			reached[name] = true
			out := standing(index[name], members).Children()
			maxSends = max(maxSends, len(out))
			next = append(next, out...)
		}
		round = next
		if len(reached) > known {
			steps++
		}
	}
	return reached, steps, maxSends
}

var _ = Describe("forwarding content", func() {
	DescribeTable("reaches a whole data centre in a few steps", func(n, limit int) {
		members := fleet(n, 1)
		for from := range members {
			reached, steps, sent := propagate(members, from, nil)
			Expect(reached).To(HaveLen(n))
			Expect(steps).To(BeNumerically("<=", limit))
			Expect(sent).To(BeNumerically("<=", 9))
		}
	},
		Entry("1", 1, 0),
		Entry("2", 2, 1),
		Entry("20", 20, 3),
		Entry("75", 75, 4),
	)

	// Gossip repairs the loss of a frozen instance and its subtree.
	It("misses at most one subtree when an instance is frozen", func() {
		members := fleet(75, 1)
		for i := range members {
			from := (i + 1) % len(members)
			reached, _, _ := propagate(members, from, map[string]bool{members[i].Name: true})
			Expect(len(reached)).To(BeNumerically(">=", 75-(1+4+16)))
		}
	})
})

var _ = Describe("the last answers of the store", func() {
	It("are as old as the newest entry, or as the process without any", func() {
		n := watch.NewConfirmations()
		all := func(string) bool { return true }
		Expect(n.Age(3*time.Second, watch.Servers, all)).To(Equal(3 * time.Second))
		n.Record(watch.Confirmation{By: "a", At: watch.Times{watch.Servers: 5 * time.Second}})
		n.Record(watch.Confirmation{By: "a", At: watch.Times{watch.Servers: 2 * time.Second}})
		n.Record(watch.Confirmation{By: "b", At: watch.Times{watch.Servers: 7 * time.Second}})
		Expect(n.Age(8*time.Second, watch.Servers, all)).To(Equal(time.Second))
		Expect(n.Age(8*time.Second, watch.Servers, func(by string) bool { return by == "a" })).To(Equal(3 * time.Second))
		Expect(n.Newest(8*time.Second, 1)).To(Equal([]watch.Confirmation{{By: "b", At: watch.Times{watch.Servers: 7 * time.Second}}}))
		Expect(n.Newest(100*time.Second, 8)).To(BeEmpty())
	})

	// Guards against instances that do not watch one source because another one is answered, or watch all
	// because one is not.
	It("are of each source alone", func() {
		n := watch.NewConfirmations()
		all := func(string) bool { return true }
		n.Record(watch.Confirmation{By: "a", At: watch.Times{watch.Config: 9 * time.Second, watch.Servers: 2 * time.Second}})
		n.Record(watch.Confirmation{By: "a", Failed: watch.Times{watch.Servers: 8 * time.Second, watch.Config: 8 * time.Second}})
		Expect(n.Age(10*time.Second, watch.Config, all)).To(Equal(time.Second))
		Expect(n.Age(10*time.Second, watch.Servers, all)).To(Equal(8 * time.Second))
		Expect(n.Age(10*time.Second, watch.Evacuations, all)).To(Equal(10 * time.Second))
		Expect(n.Failing(10*time.Second, watch.Servers, "a")).To(BeTrue())
		Expect(n.Failing(10*time.Second, watch.Config, "a")).To(BeFalse())
		Expect(n.Failing(20*time.Second, watch.Servers, "a")).To(BeFalse())
	})
})

// simulate runs a fleet whose members relay the last answers of the store to random others,
// as gossip does, while those for which disconnected is true can't reach the store. It returns
// the number of watching instances over time and the maximum age of the last answer.
func simulate(n, dataCentres int, seed uint64, disconnected func(name string) bool) (watching []int, maxAge time.Duration) {
	const (
		wait   = 6 * time.Second
		tick   = 200 * time.Millisecond
		length = 60 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 1))
	p := watch.Policy{StaleAfter: wait + 1600*time.Millisecond, Step: time.Second}
	members := fleet(n, dataCentres)
	var standings []watch.Standing
	var confirmations []*watch.Confirmations
	answerAt := make([]time.Duration, n)
	for i := range members {
		standings = append(standings, standing(i, members))
		confirmations = append(confirmations, watch.NewConfirmations())
		answerAt[i] = -1
	}
	for now := time.Duration(0); now < length; now += tick {
		count := 0
		for i, m := range members {
			shouldWatch := p.ShouldWatch(standings[i], confirmations[i].Age(now, watch.Servers, standings[i].PrecededBy), noneFails)
			switch {
			case !shouldWatch:
				answerAt[i] = -1
			case answerAt[i] < 0:
				answerAt[i] = now + wait
			case now >= answerAt[i] && !disconnected(m.Name):
				confirmations[i].Record(watch.Confirmation{By: m.Name, At: watch.Times{watch.Servers: now}})
				answerAt[i] = now + wait
			}
			if shouldWatch {
				count++
			}
			for range 2 {
				to := r.IntN(n)
				for _, entry := range confirmations[i].Newest(now, 8) {
					confirmations[to].Record(entry)
				}
			}
		}
		watching = append(watching, count)
		for i := range members {
			if now >= 2*wait+p.StaleAfter {
				maxAge = max(maxAge, confirmations[i].Age(now, watch.Servers, func(string) bool { return true }))
			}
		}
	}
	return watching, maxAge
}

var _ = Describe("a fleet that watches the store", func() {
	DescribeTable("makes no more calls the larger it is, and keeps every instance up to date", func(n, dataCentres int) {
		for seed := range uint64(5) {
			watching, maxAge := simulate(n, dataCentres, seed, func(string) bool { return false })
			Expect(slices.Max(watching)).To(BeNumerically("<=", 6))
			Expect(maxAge).To(BeNumerically("<=", 6*time.Second+2*time.Second))
		}
	},
		Entry("6", 6, 3), Entry("22", 22, 5), Entry("74", 74, 3), Entry("295", 295, 5),
	)

	// Guards against requests sent to removed servers while the store rejects all watching
	// instances and serves the others: without successors nobody learns of the removal.
	DescribeTable("finds successors one after the other", func(n, dataCentres int) {
		members := fleet(n, dataCentres)
		first := primaries(members)
		for seed := range uint64(5) {
			watching, maxAge := simulate(n, dataCentres, seed, func(name string) bool { return slices.Contains(first, name) })
			Expect(slices.Max(watching)).To(BeNumerically("<=", len(first)+8*dataCentres))
			Expect(watching[len(watching)-1]).To(BeNumerically(">", len(first)))
			Expect(maxAge).To(BeNumerically("<=", 2*6*time.Second+4*time.Second))
		}
	},
		Entry("9", 9, 3), Entry("22", 22, 5), Entry("74", 74, 3), Entry("295", 295, 5),
	)
})
