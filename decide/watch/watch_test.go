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

// fleet returns n instances over some data centres, a few of them larger.
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

func stand(self int, members []watch.Member) watch.Standing {
	return watch.Stand(members[self], members)
}

func primaries(members []watch.Member) (out []string) {
	for i, m := range members {
		if stand(i, members).Primary() {
			out = append(out, m.Name)
		}
	}
	return out
}

var _ = Describe("who watches the store", func() {
	// The price of a day was two thirds of what callers were worth: every instance of 22
	// watched, and each change and each pause of two seconds cost a call of each of them.
	DescribeTable("is a few of any fleet", func(n, dataCentres, most int) {
		members := fleet(n, dataCentres)
		Expect(len(primaries(members))).To(And(BeNumerically(">=", min(n, 5)), BeNumerically("<=", most)))
	},
		Entry("3 in one place", 3, 1, 3),
		Entry("6", 6, 3, 6),
		Entry("9", 9, 3, 6),
		Entry("22", 22, 5, 5),
		Entry("74", 74, 3, 6),
		Entry("295", 295, 5, 5),
		Entry("350 in twelve data centres", 350, 12, 12),
	)

	It("is in each data centre, and a larger one more often", func() {
		members := fleet(295, 5)
		large, places := 0, map[string]bool{}
		for round := range 200 {
			for i := range members {
				members[i].Name = fmt.Sprintf("r%d-i%03d", round, i)
			}
			byName := map[string]watch.Member{}
			for _, m := range members {
				byName[m.Name] = m
			}
			for _, dc := range []int{0, 1, 2, 3, 4} {
				first := byName[stand(dc, members).Order[0]]
				places[first.DataCentre] = true
				if first.Capacity == 800 {
					large++
				}
			}
		}
		Expect(places).To(HaveLen(5))
		// One of seven has four times the processor time: 0.41 of the chance.
		Expect(float64(large) / 1000).To(BeNumerically("~", 800.0/(800+6*192), 0.06))
	})

	It("changes by as many as are lost", func() {
		members := fleet(295, 5)
		before := primaries(members)
		gone := slices.Index(names(members), before[0])
		after := primaries(slices.Delete(slices.Clone(members), gone, gone+1))
		var kept int
		for _, p := range after {
			if slices.Contains(before, p) {
				kept++
			}
		}
		Expect(kept).To(Equal(len(before) - 1))
	})

	It("is a leaving instance last", func() {
		members := fleet(22, 5)
		first := slices.Index(names(members), primaries(members)[0])
		members[first].Leaving = true
		Expect(stand(first, members).Primary()).To(BeFalse())
	})

	It("is one more instance of a data centre for each step without news", func() {
		members := fleet(60, 1)
		p := watch.Policy{StaleAfter: 6 * time.Second, Step: time.Second}
		due := func(age time.Duration) (n int) {
			for i := range members {
				if p.Due(stand(i, members), age) {
					n++
				}
			}
			return n
		}
		Expect(due(0)).To(Equal(5))
		Expect(due(6*time.Second - 1)).To(Equal(5))
		Expect(due(6 * time.Second)).To(Equal(6))
		Expect(due(15 * time.Second)).To(Equal(15))
	})

	It("gives way to those before it only", func() {
		members := fleet(60, 3)
		for i := range members {
			s := stand(i, members)
			for j, m := range members {
				Expect(s.Before(m.Name)).To(Equal(stand(j, members).Rank < s.Rank))
			}
		}
		Expect(stand(0, members).Before("nobody")).To(BeFalse())
	})
})

func names(members []watch.Member) (out []string) {
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// reach passes one piece of news on from an instance that heard it from the store and
// returns who has it, in how many steps, and how often one instance sent it.
func reach(members []watch.Member, from int, lost map[string]bool) (have map[string]bool, steps, most int) {
	index := map[string]int{}
	for i, m := range members {
		index[m.Name] = i
	}
	have = map[string]bool{members[from].Name: true}
	round := stand(from, members).First()
	most = len(round)
	for len(round) > 0 {
		var next []string
		known := len(have)
		for _, name := range round {
			if have[name] || lost[name] {
				continue
			}
			have[name] = true
			out := stand(index[name], members).Next()
			most = max(most, len(out))
			next = append(next, out...)
		}
		round = next
		if len(have) > known {
			steps++
		}
	}
	return have, steps, most
}

var _ = Describe("passing news on", func() {
	DescribeTable("reaches a whole data centre in a few steps", func(n, most int) {
		members := fleet(n, 1)
		for from := range members {
			have, steps, sent := reach(members, from, nil)
			Expect(have).To(HaveLen(n))
			Expect(steps).To(BeNumerically("<=", most))
			Expect(sent).To(BeNumerically("<=", 9))
		}
	},
		Entry("1", 1, 0),
		Entry("2", 2, 1),
		Entry("20", 20, 3),
		Entry("75", 75, 4),
	)

	// Gossip repairs what is missed: an instance that others were to hear from, and those
	// below it.
	It("misses a branch at most when an instance is frozen", func() {
		members := fleet(75, 1)
		for i := range members {
			from := (i + 1) % len(members)
			have, _, _ := reach(members, from, map[string]bool{members[i].Name: true})
			Expect(len(have)).To(BeNumerically(">=", 75-(1+4+16)))
		}
	})
})

var _ = Describe("news of those that watch", func() {
	It("counts from the latest word, and from the start without any", func() {
		n := watch.NewNews()
		all := func(string) bool { return true }
		Expect(n.Age(3*time.Second, all)).To(Equal(3 * time.Second))
		n.Note(watch.Heard{By: "a", At: 5 * time.Second})
		n.Note(watch.Heard{By: "a", At: 2 * time.Second})
		n.Note(watch.Heard{By: "b", At: 7 * time.Second})
		Expect(n.Age(8*time.Second, all)).To(Equal(time.Second))
		Expect(n.Age(8*time.Second, func(by string) bool { return by == "a" })).To(Equal(3 * time.Second))
		Expect(n.Newest(8*time.Second, 1)).To(Equal([]watch.Heard{{By: "b", At: 7 * time.Second}}))
		Expect(n.Newest(100*time.Second, 8)).To(BeEmpty())
	})
})

// play is a fleet whose members tell each other at random, as gossip does, of those that
// watch, while a share of them cannot reach the store.
func play(n, dataCentres int, seed uint64, cut func(name string) bool) (watching []int, stalest time.Duration) {
	const (
		wait   = 6 * time.Second
		tick   = 200 * time.Millisecond
		length = 60 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 1))
	p := watch.Policy{StaleAfter: wait + 1600*time.Millisecond, Step: time.Second}
	members := fleet(n, dataCentres)
	var stands []watch.Standing
	var news []*watch.News
	answer := make([]time.Duration, n)
	for i := range members {
		stands = append(stands, stand(i, members))
		news = append(news, watch.NewNews())
		answer[i] = -1
	}
	for now := time.Duration(0); now < length; now += tick {
		count := 0
		for i, m := range members {
			due := p.Due(stands[i], news[i].Age(now, stands[i].Before))
			switch {
			case !due:
				answer[i] = -1
			case answer[i] < 0:
				answer[i] = now + wait
			case now >= answer[i] && !cut(m.Name):
				news[i].Note(watch.Heard{By: m.Name, At: now})
				answer[i] = now + wait
			}
			if due {
				count++
			}
			for range 2 {
				to := r.IntN(n)
				for _, h := range news[i].Newest(now, 8) {
					news[to].Note(h)
				}
			}
		}
		watching = append(watching, count)
		for i := range members {
			if now >= 2*wait+p.StaleAfter {
				stalest = max(stalest, news[i].Age(now, func(string) bool { return true }))
			}
		}
	}
	return watching, stalest
}

var _ = Describe("a fleet that watches", func() {
	DescribeTable("asks no more of the store the larger it is, and none lives on old news", func(n, dataCentres int) {
		for seed := range uint64(5) {
			watching, stalest := play(n, dataCentres, seed, func(string) bool { return false })
			Expect(slices.Max(watching)).To(BeNumerically("<=", 6))
			Expect(stalest).To(BeNumerically("<=", 6*time.Second+2*time.Second))
		}
	},
		Entry("6", 6, 3), Entry("22", 22, 5), Entry("74", 74, 3), Entry("295", 295, 5),
	)

	// All instances that watch are turned away by the store while it serves the others.
	// Without successors the fleet would send requests to servers that left for as long.
	DescribeTable("finds successors one after the other", func(n, dataCentres int) {
		members := fleet(n, dataCentres)
		first := primaries(members)
		for seed := range uint64(5) {
			watching, stalest := play(n, dataCentres, seed, func(name string) bool { return slices.Contains(first, name) })
			Expect(slices.Max(watching)).To(BeNumerically("<=", len(first)+8*dataCentres))
			Expect(watching[len(watching)-1]).To(BeNumerically(">", len(first)))
			Expect(stalest).To(BeNumerically("<=", 2*6*time.Second+4*time.Second))
		}
	},
		Entry("9", 9, 3), Entry("22", 22, 5), Entry("74", 74, 3), Entry("295", 295, 5),
	)
})
