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

// drawWork draws what instances tell each other, in units that a report keeps.
func drawWork(t *rapid.T) map[spread.Key]spread.Work {
	ticks := func(name string) time.Duration { return time.Duration(rapid.IntRange(0, 1<<20).Draw(t, name)) * tick }
	out := map[spread.Key]spread.Work{}
	for range rapid.IntRange(0, 20).Draw(t, "servers") {
		w := spread.Work{Load: spread.Load{
			Calls: rapid.Int64Range(0, 30).Draw(t, "calls"), DeepCalls: rapid.Int64Range(0, 3).Draw(t, "long"),
			HeldTokens: rapid.Int64Range(0, 1<<40).Draw(t, "held"), Parts: rapid.Int64Range(0, 12).Draw(t, "parts"), UnconfirmedPrefill: ticks("unread"),
		}}
		for range rapid.IntRange(0, 3).Draw(t, "reads") {
			w.Prefills = append(w.Prefills, spread.Prefill{Duration: ticks("read"), ExpectedEnd: ticks("due")})
		}
		out[spread.Key(rapid.Uint32().Draw(t, "server"))] = w
	}
	return out
}

// A report that is read otherwise than it was written sends prompts to full engines.
func TestReportsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := drawWork(t)
		told := &peerpb.LoadReport{}
		encodeWork(told, work)
		raw, err := proto.Marshal(told)
		if err != nil {
			t.Fatal(err)
		}
		heard := &peerpb.LoadReport{}
		if err := proto.Unmarshal(raw, heard); err != nil {
			t.Fatal(err)
		}
		got, ok := decodeWork(heard)
		if !ok || len(got) != len(work) {
			t.Fatalf("%d servers told, %d heard", len(work), len(got))
		}
		for server, w := range work {
			if got[server].Load != w.Load || len(got[server].Prefills) != len(w.Prefills) {
				t.Fatalf("told %+v, heard %+v", w, got[server])
			}
			for i, r := range w.Prefills {
				if got[server].Prefills[i] != r {
					t.Fatalf("told %+v, heard %+v", w, got[server])
				}
			}
		}
	})
}

var _ = Describe("a report of work", func() {
	DescribeTable("whose columns do not fit each other is not taken", func(r *peerpb.LoadReport) {
		_, ok := decodeWork(r)
		Expect(ok).To(BeFalse())
	},
		Entry("calls of more servers", &peerpb.LoadReport{Servers: []uint32{1}, Calls: []uint32{1, 2}}),
		Entry("calls of no server", &peerpb.LoadReport{Calls: []uint32{1}}),
		Entry("fewer readings than counted", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{2}, Read: []uint32{1}, Due: []uint32{1}}),
		Entry("readings without an end", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{1}, Read: []uint32{1}}),
		Entry("a count beyond all bounds", &peerpb.LoadReport{Servers: []uint32{1}, Reads: []uint32{1<<32 - 1}}),
	)

	// Of the bytes between data centres most were reports of prompts that ten engines read,
	// and cells had to be so small that few large prompts were read at a time.
	It("of a short prompt that nine engines help to read, and of its ends, has 440 bytes in all", func() {
		ledger, sum := spread.NewLedger(), 0
		tell := func(now time.Duration) {
			r := &peerpb.LoadReport{Sequence: 1 << 20}
			encodeWork(r, ledger.TakeChanged(now))
			sum += proto.Size(r)
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
		tell(2 * time.Millisecond)
		for _, p := range parts {
			ledger.EndPrefill(p.Server.ID, p.Recorded)
			ledger.Sub(p.Server.ID, p.Load.PrefillPhase())
		}
		tell(100 * time.Millisecond)
		ledger.Sub(parts[0].Server.ID, parts[0].Load.DecodePhase())
		tell(2 * time.Second)
		Expect(sum).To(BeNumerically("<=", 440))
	})
})
