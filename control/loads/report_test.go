package loads

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// drawWork draws work with durations in whole units of a report.
func drawWork(t *rapid.T) map[spread.Key]spread.Work {
	drawDuration := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 1<<20).Draw(t, name)) * durationUnit
	}
	out := map[spread.Key]spread.Work{}
	for range rapid.IntRange(0, 20).Draw(t, "servers") {
		w := spread.Work{Load: spread.Load{
			Calls: rapid.Int64Range(0, 30).Draw(t, "calls"), DeepCalls: rapid.Int64Range(0, 3).Draw(t, "long"),
			HeldTokens: rapid.Int64Range(0, 1<<40).Draw(t, "held"), Parts: rapid.Int64Range(0, 12).Draw(t, "parts"), UnconfirmedPrefill: drawDuration("unread"),
		}}
		for range rapid.IntRange(0, 3).Draw(t, "reads") {
			w.Prefills = append(w.Prefills, spread.Prefill{Duration: drawDuration("read"), ExpectedEnd: drawDuration("due")})
		}
		out[spread.Key(rapid.Uint32().Draw(t, "server"))] = w
	}
	return out
}

// A report that does not survive encoding and decoding sends prompts to full engines.
func TestReportsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := drawWork(t)
		sent := &peerpb.LoadReport{}
		encodeWork(sent, work)
		raw, err := proto.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		received := &peerpb.LoadReport{}
		if err := proto.Unmarshal(raw, received); err != nil {
			t.Fatal(err)
		}
		got, ok := decodeWork(received)
		if !ok || len(got) != len(work) {
			t.Fatalf("%d servers sent, %d received", len(work), len(got))
		}
		for server, w := range work {
			if got[server].Load != w.Load || len(got[server].Prefills) != len(w.Prefills) {
				t.Fatalf("sent %+v, received %+v", w, got[server])
			}
			for i, r := range w.Prefills {
				if got[server].Prefills[i] != r {
					t.Fatalf("sent %+v, received %+v", w, got[server])
				}
			}
		}
	})
}

var _ = Describe("a load report", func() {
	DescribeTable("with inconsistent columns is rejected", func(r *peerpb.LoadReport) {
		_, ok := decodeWork(r)
		Expect(ok).To(BeFalse())
	},
		Entry("calls for more servers than listed", &peerpb.LoadReport{Servers: []uint32{1}, Calls: []uint32{1, 2}}),
		Entry("calls without servers", &peerpb.LoadReport{Calls: []uint32{1}}),
		Entry("fewer prefills than counted", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{2}, Read: []uint32{1}, Due: []uint32{1}}),
		Entry("prefills without an expected end", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{1}, Read: []uint32{1}}),
		Entry("a count near the integer limit", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{1<<32 - 1}}),
	)

	// Reports of prompts with ten engines are most of the traffic between data centres. If
	// they grow, cells must be smaller and fewer large prompts are prefilled at a time.
	It("takes at most 440 bytes in all for a short prompt with nine helpers, from placement to end", func() {
		ledger, totalSize := spread.NewLedger(), 0
		sendChanges := func(now time.Duration) {
			r := &peerpb.LoadReport{Sequence: 1 << 20}
			encodeWork(r, ledger.TakeChanged(now))
			totalSize += proto.Size(r)
		}
		var parts []spread.Part
		for i := range 10 {
			p := spread.Part{Server: backends.Server{ID: fmt.Sprintf("s%02d", i)}, Load: spread.Load{Parts: 1, Prefill: 5 * time.Millisecond, UnconfirmedPrefill: 5 * time.Millisecond}, PrefillEnd: 60 * time.Millisecond}
			if i == 0 {
				p.Load.Calls, p.Load.HeldTokens, p.Load.Parts = 1, 6000, 0
			}
			p.Recorded = ledger.Place(0, p)
			parts = append(parts, p)
		}
		sendChanges(2 * time.Millisecond)
		for _, p := range parts {
			ledger.EndPrefill(p.Server.ID, p.Recorded)
			ledger.Sub(p.Server.ID, p.Load.PrefillPhase())
		}
		sendChanges(100 * time.Millisecond)
		ledger.Sub(parts[0].Server.ID, parts[0].Load.DecodePhase())
		sendChanges(2 * time.Second)
		Expect(totalSize).To(BeNumerically("<=", 440))
	})
})

var _ = Describe("a held prompt in a report", func() {
	// Guards against instances that order held prompts differently.
	It("keeps what determines its turn", func() {
		t := spread.Turn{
			Request: "x", Weight: 200_000, Rank: 3, Arrived: time.Second,
			FirstTarget: 4 * time.Second, LateAfter: 3 * time.Second, OverShare: true,
		}
		now := 2 * time.Second
		Expect(decodeWaiting(now, &peerpb.LoadReport{Held: encodeHeldPrompt(now, t)}).First).To(Equal(t))
	})
})
