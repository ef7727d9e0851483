package loads

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

var _ = Describe("usage of customers", func() {
	const greedy, other = uint32(1), uint32(2)
	now := time.Second
	newLoads := func(keep bool) *Loads {
		l := NewLocal(func() time.Duration { return now }, func() float64 { return 0 })
		l.cellPeers = map[string]bool{"a": true}
		if keep {
			l.KeepShares()
		}
		return l
	}
	prefill := func(d time.Duration) spread.Plan {
		return spread.Plan{Parts: []spread.Part{{Load: spread.Load{Prefill: d}}}}
	}
	report := func(sequence uint64, customers, ms []uint32) *peerpb.Envelope {
		return envelopeOf(&peerpb.LoadReport{Sequence: sequence, Customers: customers, CustomerPrefill: ms, Held: &peerpb.HeldPrompt{Request: "r"}})
	}
	late := admission.Request{Customer: greedy, Deep: true, Waited: 4 * time.Second, MaxHold: 9 * time.Second, FirstTarget: 3 * time.Second}
	seven := []uint32{greedy, other, 3, 4, 5, 6, 7}

	// Guards against a customer over its share that goes unnoticed because each instance sees a part of its
	// prompts only.
	It("by prompts at peers counts towards a customer's share", func() {
		l := newLoads(true)
		for _, c := range seven {
			l.RecordUsage(c, prefill(time.Second))
		}
		Expect(l.OverShare(greedy)).To(BeFalse())
		l.receive("a", report(1, []uint32{greedy}, []uint32{20_000}))
		now += 20 * time.Millisecond
		Expect(l.OverShare(greedy)).To(BeTrue())
		Expect(l.Check(now, late).Refuse).To(BeTrue())
		Expect(l.OverShare(other)).To(BeFalse())
	})

	// Guards against changes in deployments that do not ask for shares.
	It("is neither kept nor sent without the setting", func() {
		l := newLoads(false)
		l.RecordUsage(greedy, prefill(time.Minute))
		l.HoldFor(other, true, 1)
		l.receive("a", report(1, seven, []uint32{20_000, 1, 1, 1, 1, 1, 1}))
		Expect(l.OverShare(greedy)).To(BeFalse())
		Expect(l.Check(now, late).Refuse).To(BeFalse())
		r := &peerpb.LoadReport{Complete: true}
		l.addUsage(now, r, spread.Waiting{ForSlot: 1})
		Expect(proto.Size(r)).To(Equal(proto.Size(&peerpb.LoadReport{Complete: true})))
	})

	// Guards against usage in each report of changes, and against shares that lag while requests wait.
	It("is sent in complete reports, and in others while requests are held", func() {
		l := newLoads(true)
		sent := func(complete bool, w spread.Waiting) int {
			r := &peerpb.LoadReport{Complete: complete}
			l.addUsage(now, r, w)
			return len(decodeUsage(r))
		}
		l.RecordUsage(greedy, prefill(time.Second))
		Expect(sent(false, spread.Waiting{})).To(Equal(0))
		Expect(sent(false, spread.Waiting{ForSlot: 1})).To(Equal(1))
		Expect(sent(false, spread.Waiting{ForSlot: 1})).To(Equal(0), "unchanged")
		Expect(sent(true, spread.Waiting{})).To(Equal(1))
		now += 3 * time.Second
		Expect(sent(true, spread.Waiting{})).To(Equal(0), "an instance without work")
	})

	// Guards against a faulty peer that makes an instance fail, or that has no limit to what it sends.
	It("in malformed lists is ignored or cut off, and the rest of the report counts", func() {
		l := newLoads(true)
		env := report(1, seven, []uint32{1})
		env.GetLoadReport().Servers, env.GetLoadReport().Calls = []uint32{uint32(spread.KeyOf("s"))}, []uint32{3}
		l.receive("a", env)
		Expect(l.Total("s").Calls).To(Equal(int64(3)))
		Expect(decodeUsage(env.GetLoadReport())).To(BeEmpty())
		long := make([]uint32, 5000)
		Expect(decodeUsage(&peerpb.LoadReport{Customers: long, CustomerPrefill: long})).To(HaveLen(fairshare.MaxEntries))
	})
})
