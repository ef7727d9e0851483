package loads

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestLoads(t *testing.T) { testkit.Suite(t, "loads") }

var _ = Describe("reports of work", func() {
	var l *Loads
	report := func(calls uint32) *peerpb.Envelope {
		return &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{
			Complete: true, Servers: []uint32{uint32(spread.KeyOf("s"))}, Calls: []uint32{calls},
		}}}
	}
	BeforeEach(func() {
		l = &Loads{
			log: zap.NewNop(), scope: tally.NoopScope, now: func() time.Duration { return time.Second }, ledger: spread.NewLedger(), queue: spread.NewQueue(), away: away.NewTable(func() float64 { return 0 }),
			dirty: make(chan struct{}, 1), heard: map[string]bool{}, newest: map[string]reportID{}, cell: cell.Cell{Count: 2, Peers: []string{"a", "b"}}, mates: map[string]bool{"a": true, "b": true},
		}
	})

	// Prompts go to an engine that is full, for up to a second: two reports overtook each
	// other, and the older one told that the engine had no work.
	It("are not taken when a newer one came before", func() {
		told := func(sequence uint64, incarnation uint64, calls uint32) {
			env := report(calls)
			env.Incarnation, env.GetLoadReport().Sequence = incarnation, sequence
			l.receive("a", env)
		}
		told(2, 7, 3)
		told(1, 7, 0)
		Expect(l.Of("s").Calls).To(Equal(int64(3)))
		told(1, 8, 5)
		Expect(l.Of("s").Calls).To(Equal(int64(5)), "another process of that name counts anew")
	})

	// An engine stands idle for as long as an instance lives: one of another cell, whose
	// list of members was another one for a moment, told of work there and never of its end.
	It("count for mates only", func() {
		l.receive("a", report(2))
		l.receive("stranger", report(5))
		Expect(l.Of("s").Calls).To(Equal(int64(2)))
	})

	It("are awaited from all mates after a start", func() {
		Expect(l.Blind()).To(BeTrue())
		l.receive("a", report(1))
		l.receive("stranger", report(1))
		Expect(l.Blind()).To(BeTrue())
		l.receive("b", report(0))
		Expect(l.Blind()).To(BeFalse())
	})

	It("count with what this instance placed itself", func() {
		l.receive("a", report(2))
		_, v := l.Place(func(load func(string) spread.Load, _ *spread.Queue) (spread.Plan, spread.Verdict) {
			Expect(load("s").Calls).To(Equal(int64(2)))
			return spread.Plan{Parts: []spread.Part{{Server: backends.Server{ID: "s"}, Load: spread.Load{Calls: 1}}}}, spread.Placed
		})
		Expect(v).To(Equal(spread.Placed))
		Expect(l.Of("s").Calls).To(Equal(int64(3)))
	})

	// Each of 88 instances lost requests of its callers to find out that a server left.
	It("tell mates of servers that turned work away", func() {
		servers := []backends.Server{{ID: "s", Life: 1}, {ID: "t", Life: 1}, {ID: "u", Life: 1}, {ID: "v", Life: 1}}
		Expect(l.Present(servers)).To(HaveLen(4))
		r := report(0).GetLoadReport()
		encodeAway(r, map[away.Key]time.Duration{away.KeyOf(servers[0]): time.Second})
		l.receive("a", &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
		Expect(l.Present(servers)).To(Equal(servers[1:]))
		l.TurnedAway(servers[1], true)
		Expect(l.Present(servers)).To(Equal(servers[2:]))
		Expect(l.away.Observed(time.Second)).To(HaveLen(1), "each instance tells what it saw itself")
	})

	It("are not taken with servers but no times", func() {
		r := report(3).GetLoadReport()
		r.Away = []uint32{1}
		l.receive("a", &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
		Expect(l.Of("s").Calls).To(BeZero())
	})
})
