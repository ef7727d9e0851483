package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestWarmup(t *testing.T) { testkit.Suite(t, "warmup") }

const (
	// The largest fleet and rate that are planned for.
	maxFleet, maxRate = 985, 1000
	// overshoot and slack bound what a cold server gets in a second while rosters differ.
	overshoot, slack = 1.5, 5.0
	settled          = time.Minute
)

func drawServer(t *rapid.T) warmup.Server {
	number := rapid.IntRange(0, 99).Draw(t, "server")
	return warmup.Server{ID: fmt.Sprint("s", number), Life: backends.Life(rapid.Int64Range(0, 1<<41).Draw(t, "life"))}
}

// total adds up the quotas of the instances with the given rosters.
func total(s warmup.Server, rate float64, rosters []member.Roster) (sum int) {
	for _, r := range rosters {
		sum += warmup.Quota(settled, s, rate, r)
	}
	return sum
}

// rosters returns those of the instances that know for each instance of a fleet whether it exists.
// An instance always knows of itself.
func rosters(size int, known func(i int) bool) []member.Roster {
	count, all := 0, make([]member.Roster, size)
	for i := range size {
		all[i].Rank = count
		if known(i) {
			count++
		}
	}
	for i := range size {
		all[i].Size = count
		if !known(i) {
			all[i].Size++
		}
	}
	return all
}

// TestConsistentRosterProperty guards against quotas that add up to more than the rate, or to
// less, so that capacity of cold servers is lost.
func TestConsistentRosterProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, maxFleet).Draw(t, "size")
		rate := rapid.Float64Range(1, maxRate).Draw(t, "rate")
		if sum := total(drawServer(t), rate, rosters(size, func(int) bool { return true })); sum != int(rate) {
			t.Fatalf("all quotas together are %d, of a rate of %g", sum, rate)
		}
	})
}

// TestDifferentRostersProperty guards against a server that is overrun while instances come and
// go: some instances know of all others, the others lack up to a tenth of them.
func TestDifferentRostersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, maxFleet).Draw(t, "size")
		rate := rapid.Float64Range(1, maxRate).Draw(t, "rate")
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lacking := map[int]bool{}
		for range rapid.IntRange(1, max(1, size/10)).Draw(t, "lacking") {
			lacking[draw.IntN(size)] = true
		}
		whole, partial := rosters(size, func(int) bool { return true }), rosters(size, func(i int) bool { return !lacking[i] })
		s, worst := drawServer(t), 0
		for i := range size {
			// Which instance has which roster is chosen as bad as can be.
			worst += max(warmup.Quota(settled, s, rate, whole[i]), warmup.Quota(settled, s, rate, partial[i]))
		}
		if float64(worst) > overshoot*rate+slack {
			t.Fatalf("all quotas together are %d, of a rate of %g at %d instances", worst, rate, size)
		}
	})
}

// TestWindowProperty guards against more sends in a second than the quota, whatever is taken, sent
// and given back in between.
func TestWindowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, s := warmup.NewLimiter(), warmup.Server{ID: "a", Life: 1}
		quota := rapid.IntRange(0, 6).Draw(t, "quota")
		var sent []time.Duration
		var pending []*warmup.Send
		now := time.Duration(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if v := l.Take(now, s, quota); v != nil {
				pending = append(pending, v)
			}
			if len(pending) == 0 {
				continue
			}
			v := pending[0]
			switch rapid.SampledFrom([]string{"send", "send", "return", "wait"}).Draw(t, "step") {
			case "send":
				l.Sent(now, v)
				sent, pending = append(sent, now), pending[1:]
			case "return":
				l.Return(v)
				pending = pending[1:]
			}
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at-sent[i] <= time.Second {
						n++
					}
				}
				if n > quota {
					t.Fatalf("%d sends in a second, of a quota of %d", n, quota)
				}
			}
		}
	})
}

var _ = Describe("the quota of an instance", func() {
	s := warmup.Server{ID: "a", Life: 1}

	// Guards against instances that start behind a partition, or together, and take themselves for
	// the only one.
	It("is zero until it knows the fleet", func() {
		Expect(warmup.Quota(settled, s, 10, member.Roster{Size: 1, Incomplete: true})).To(BeZero())
		Expect(warmup.Quota(warmup.SettleTime-1, s, 10, member.Roster{Size: 1})).To(BeZero())
		Expect(warmup.Quota(warmup.SettleTime, s, 10, member.Roster{Size: 1})).To(Equal(10))
	})

	// Guards against a server that gets more than its rate because of rounding.
	It("is rounded down and zero without a rate", func() {
		Expect(warmup.Quota(settled, s, 2.9, member.Roster{Size: 1})).To(Equal(2))
		Expect(warmup.Quota(settled, s, 0.9, member.Roster{Size: 1})).To(BeZero())
		Expect(warmup.Quota(settled, s, 0, member.Roster{Size: 1})).To(BeZero())
	})

	// Guards against one instance that has the quota for all cold servers while others have none.
	It("below one per second is at other instances for other servers", func() {
		const size, rate = 98, 6
		all, holders := rosters(size, func(int) bool { return true }), map[int]bool{}
		for i := range 78 {
			for rank, r := range all {
				if warmup.Quota(settled, warmup.Server{ID: fmt.Sprint("engine-", i), Life: 1}, rate, r) > 0 {
					holders[rank] = true
				}
			}
		}
		Expect(len(holders)).To(BeNumerically(">=", 0.9*size))
	})
})

var _ = Describe("the sends of an instance", func() {
	a, b := warmup.Server{ID: "a", Life: 1}, warmup.Server{ID: "a", Life: 2}

	// Guards against a restarted server that gets nothing because of requests to the last incarnation.
	It("count for one incarnation of a server", func() {
		l := warmup.NewLimiter()
		l.Sent(0, l.Take(0, a, 1))
		Expect(l.Allows(0, a, 1)).To(BeFalse())
		Expect(l.Allows(0, b, 1)).To(BeTrue())
	})

	// Guards against a request that waits long for its helpers and then counts for no time at all.
	It("count from the time at which they are sent", func() {
		l := warmup.NewLimiter()
		v := l.Take(0, a, 1)
		Expect(l.Take(5*time.Second, a, 1)).To(BeNil())
		l.Sent(5*time.Second, v)
		Expect(l.NextFree(5*time.Second, a, 1)).To(Equal(warmup.Window))
		Expect(l.NextFree(5*time.Second+warmup.Window+1, a, 1)).To(BeZero())
	})

	// Guards against a quota that is used up by requests that were never sent.
	It("are given back", func() {
		l := warmup.NewLimiter()
		v := l.Take(0, a, 1)
		l.Sent(0, v)
		l.Return(v)
		l.Return(v)
		Expect(l.Allows(0, a, 1)).To(BeTrue())
		Expect(l.NextFree(0, a, 0)).To(Equal(warmup.Window))
	})
})
