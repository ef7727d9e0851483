package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestFairShare(t *testing.T) { testkit.Suite(t, "fairshare") }

const (
	greedy = uint32(1)
	target = 3 * time.Second
)

// used returns a table with the given seconds of prefill for customers 1, 2, 3 and so on.
func used(seconds ...float64) *fairshare.Table {
	t := fairshare.NewTable()
	for i, s := range seconds {
		t.Place(0, uint32(i+1), time.Duration(s*float64(time.Second)))
	}
	return t
}

func request(customer uint32, waited time.Duration) admission.Request {
	return admission.Request{Customer: customer, Deep: true, Waited: waited, MaxHold: 3 * target, FirstTarget: target}
}

var _ = Describe("a customer with five times the usage of others", func() {
	var t *fairshare.Table
	fiveTimes := func() *fairshare.Table { return used(5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1) }
	BeforeEach(func() { t = fiveTimes() })

	refused := func() bool { return t.Check(0, request(greedy, target)).Refuse }

	// Guards against refusals that help nobody.
	It("is refused only while prompts of others wait", func() {
		Expect(refused()).To(BeFalse())
		t.Wait(greedy, true, 1)
		Expect(refused()).To(BeFalse())
		t.Wait(2, true, 1)
		Expect(refused()).To(BeTrue())
		t.Wait(2, true, -1)
		Expect(refused()).To(BeFalse())
	})

	// Guards against instances that take each other's prompts of the same customer for those of others.
	It("is not refused while its own prompts wait at all instances", func() {
		peer := fiveTimes()
		peer.Wait(greedy, true, 1)
		t.Wait(greedy, true, 1)
		t.ApplyReport(0, "peer", nil, !peer.Over(0, greedy))
		Expect(refused()).To(BeFalse())
	})

	// Guards against refusals of prompts that could still be placed in time, and against prompts sent
	// at the end of their hold time, ahead of those of customers within their share.
	It("is refused once a prompt has waited for its target or nearly used up its hold time", func() {
		t.Wait(2, true, 1)
		Expect(t.Check(0, request(greedy, target-1)).Refuse).To(BeFalse())
		d := t.Check(0, request(greedy, target))
		Expect(d.Refuse).To(BeTrue())
		Expect(d.Reason).To(Equal(admission.ShareExceeded))
		r := request(greedy, 2*time.Second)
		r.FirstTarget, r.MaxHold = 0, 2010*time.Millisecond
		Expect(t.Check(0, r).Refuse).To(BeTrue())
		Expect(t.Check(0, request(2, target)).Refuse).To(BeFalse(), "within its share")
		Expect(t.Check(0, request(0, target)).Refuse).To(BeFalse(), "no customer")
	})

	// Guards against refusals that help nobody: requests that wait for a slot do not compete with deep prompts.
	It("is not refused for requests that wait for something else", func() {
		t.Wait(2, false, 1)
		Expect(t.Check(0, request(greedy, target)).Refuse).To(BeFalse())
		r := request(greedy, target)
		r.Deep = false
		Expect(t.Check(0, r).Refuse).To(BeTrue())
	})

	// Guards against callers that come back too early and are refused again.
	It("may come back when its usage has decayed to its share", func() {
		t.Wait(2, true, 1)
		after := t.Check(0, request(greedy, target)).RetryAfter
		Expect(after).To(BeNumerically("~", 13*time.Second, time.Second), "10 s times the logarithm of 5 / 1.33")
		for c := uint32(2); c <= 12; c++ {
			t.Place(after, c, time.Second)
		}
		Expect(t.Over(after+time.Second, greedy)).To(BeFalse())
	})

	// Guards against orders of held prompts that change with each placed prompt.
	It("stays over its share for a while, so that reports do not flap", func() {
		Expect(t.Over(0, greedy)).To(BeTrue())
		changes := 0
		for i := range 100 {
			now := time.Duration(i) * 20 * time.Millisecond
			t.Place(now, uint32(2+i%11), 400*time.Millisecond)
			if t.Over(now, greedy) != t.Over(now+10*time.Millisecond, greedy) {
				changes++
			}
		}
		Expect(t.Over(2*time.Second, greedy)).To(BeFalse())
		Expect(changes).To(BeNumerically("<=", 1))
	})

	// Guards against log lines on customers whose usage differs by chance while there is room for all.
	It("is reported as a change once, while others wait", func() {
		Expect(t.TakeChanges(0)).To(BeEmpty())
		t.Wait(2, true, 1)
		Expect(t.TakeChanges(0)).To(HaveLen(1))
		t.Wait(2, true, -1)
		Expect(t.TakeChanges(0)).To(BeEmpty())
		for c := uint32(2); c <= 12; c++ {
			t.Place(0, c, 10*time.Second)
		}
		Expect(t.TakeChanges(time.Second)).To(ConsistOf(HaveField("Over", false)))
	})
})

var _ = Describe("shares", func() {
	over := func(seconds ...float64) (out []uint32) {
		t := used(seconds...)
		for i := range seconds {
			if t.Over(0, uint32(i+1)) {
				out = append(out, uint32(i+1))
			}
		}
		return out
	}

	DescribeTable("are equal, and what one leaves unused is lent to the others", func(want []uint32, seconds ...float64) {
		Expect(over(seconds...)).To(Equal(want))
	},
		Entry("one customer", nil, 30.0),
		Entry("equal customers", nil, 1.0, 1.0, 1.0),
		Entry("equal customers whose few prompts differ", nil, 0.4, 1.0, 1.8, 0.2, 2.4),
		Entry("two large customers beside small ones", nil, 5.0, 5.0, 0.1, 0.1, 0.1, 0.1, 0.1),
		Entry("one that has crowded out the others", []uint32{1}, 20.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
		Entry("two customers", []uint32{1}, 5.0, 1.0),
		Entry("two greedy ones", []uint32{1, 2}, 8.0, 7.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
		Entry("nobody", nil),
	)
})

var _ = Describe("reports", func() {
	// deliver sends a report of each table to all others, unless it is lost.
	deliver := func(now time.Duration, all []*fairshare.Table, complete bool, lost func() bool) {
		for i, from := range all {
			entries := from.TakeReport(now, complete)
			Expect(len(entries)).To(BeNumerically("<=", fairshare.MaxEntries))
			for j, to := range all {
				if i != j && !lost() {
					to.ApplyReport(now, fmt.Sprint(i), entries, false)
				}
			}
		}
	}

	// A customer that begins to send five times its part at 98 instances, so that none alone sees more than
	// a few of its prompts, with 1 in 20 reports lost.
	It("let all instances find the same customers over their share", func() {
		const step, customers, start, found = 100 * time.Millisecond, 24, 10 * time.Second, 8 * time.Second
		r := rand.New(rand.NewPCG(1, 1))
		all := make([]*fairshare.Table, 98)
		for i := range all {
			all[i] = fairshare.NewTable()
		}
		lost := func() bool { return r.IntN(20) == 0 }
		place := func(now time.Duration, customer uint32) { all[r.IntN(98)].Place(now, customer, 100*time.Millisecond) }
		now := time.Duration(0)
		for ; now < start+found; now += step {
			for c := range uint32(customers) {
				place(now, greedy+c)
			}
			for range 4 {
				if now >= start {
					place(now, greedy)
				}
			}
			deliver(now, all, now%(700*time.Millisecond) == 0, lost)
		}
		for _, t := range all {
			for c := range uint32(customers) {
				Expect(t.Over(now, greedy+c)).To(Equal(c == 0))
			}
		}
	})

	// Guards against usage that stays wrong after a lost or repeated report.
	It("are absolute, so that the next one corrects a lost one", func() {
		a, b := used(1), fairshare.NewTable()
		a.TakeReport(0, false)
		a.Place(0, 1, time.Second)
		b.ApplyReport(0, "a", a.TakeReport(0, true), false)
		b.ApplyReport(0, "a", a.TakeReport(0, true), false)
		Expect(b.Status(0)[0].Prefill).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	})

	// Guards against idle instances that send usage for as long as it decays.
	It("are empty soon after the last prompt", func() {
		a := used(100)
		Expect(a.TakeReport(2*time.Second, true)).To(HaveLen(1))
		Expect(a.TakeReport(2*time.Second, false)).To(BeEmpty())
		Expect(a.TakeReport(3*time.Second, true)).To(BeEmpty())
	})

	// Guards against shares that are computed from the usage of instances that are gone.
	It("of silent peers and of peers that left no longer count", func() {
		b := fairshare.NewTable()
		b.ApplyReport(0, "a", used(5).TakeReport(0, true), true)
		b.ApplyReport(0, "c", used(0, 5).TakeReport(0, true), true)
		b.Expire(fairshare.PeerTimeout)
		Expect(b.Status(fairshare.PeerTimeout)).To(HaveLen(2))
		b.RetainPeers(fairshare.PeerTimeout, map[string]bool{"c": true})
		b.Expire(fairshare.PeerTimeout)
		Expect(b.Status(fairshare.PeerTimeout)).To(HaveLen(1))
		b.Expire(fairshare.PeerTimeout + 1)
		Expect(b.Status(fairshare.PeerTimeout + 1)).To(BeEmpty())
	})

	// Totals are kept up by differences. Guards against usage that stays behind when reports, silence
	// and decay follow each other in any order.
	It("add up to the sum over all peers", func() {
		r := rand.New(rand.NewPCG(2, 2))
		b, last := fairshare.NewTable(), map[string]time.Duration{}
		now := time.Duration(0)
		for range 5000 {
			now += time.Duration(r.IntN(100)) * time.Millisecond
			peer := fmt.Sprint(r.IntN(4))
			usage := time.Duration(r.IntN(3000)) * time.Millisecond
			b.ApplyReport(now, peer, []fairshare.Usage{{Customer: greedy, Prefill: usage}}, false)
			last[peer] = now
			if r.IntN(50) == 0 {
				now += 2 * time.Second
				b.Expire(now)
			}
		}
		for peer, at := range last {
			now = max(now, at)
			b.ApplyReport(now, peer, []fairshare.Usage{{Customer: greedy, Prefill: time.Second}}, false)
		}
		Expect(b.Status(now)[0].Prefill).To(BeNumerically("~", time.Duration(len(last))*time.Second, time.Millisecond))
	})

	// Guards against refusals because of prompts that waited at a peer that hangs.
	It("that others wait count for a short time", func() {
		b := used(5, 1, 1, 1, 1, 1, 1, 1)
		b.ApplyReport(0, "a", nil, true)
		Expect(b.Check(0, request(greedy, target)).Refuse).To(BeTrue())
		Expect(b.Check(time.Second, request(greedy, target)).Refuse).To(BeFalse())
	})

	// Guards against memory that grows with whatever a faulty peer sends.
	It("of a faulty peer are bounded", func() {
		b := fairshare.NewTable()
		for i := range 100 {
			var entries []fairshare.Usage
			for j := range 5000 {
				entries = append(entries, fairshare.Usage{Customer: uint32(i*5000 + j), Prefill: 1<<62 - 1})
			}
			b.ApplyReport(0, "a", entries, true)
		}
		Expect(len(b.Status(0))).To(BeNumerically("<=", fairshare.MaxCustomers))
		for i := range 2 * fairshare.MaxCustomers {
			b.Place(0, uint32(1<<20+i), time.Second)
		}
		Expect(len(b.Status(0))).To(BeNumerically("<=", 2*fairshare.MaxCustomers))
	})
})

func BenchmarkOver(b *testing.B) {
	t := fairshare.NewTable()
	for p := range 98 {
		for c := range fairshare.MaxEntries {
			t.ApplyReport(0, fmt.Sprint(p), []fairshare.Usage{{Customer: uint32(1 + c), Prefill: time.Second}}, false)
		}
	}
	for i := 0; b.Loop(); i++ {
		t.Over(time.Duration(i)*time.Millisecond, greedy)
	}
}
