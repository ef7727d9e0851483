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

var _ = Describe("load reports", func() {
	var l *Loads
	report := func(calls uint32) *peerpb.Envelope {
		return &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{
			Complete: true, Servers: []uint32{uint32(spread.KeyOf("s"))}, Calls: []uint32{calls},
		}}}
	}
	BeforeEach(func() {
		l = &Loads{
			log: zap.NewNop(), scope: tally.NoopScope, now: func() time.Duration { return time.Second }, ledger: spread.NewLedger(), queue: spread.NewQueue(), away: away.NewTable(func() float64 { return 0 }),
			dirty: make(chan struct{}, 1), synced: map[string]bool{}, newestReport: map[string]reportID{}, cell: cell.Cell{Count: 2, Peers: []string{"a", "b"}}, cellPeers: map[string]bool{"a": true, "b": true},
		}
	})

	// When two reports arrive out of order and the older one says that an engine has no work,
	// prompts go to a full engine for up to a second.
	It("are ignored when a newer one was received before", func() {
		receive := func(sequence uint64, incarnation uint64, calls uint32) {
			env := report(calls)
			env.Incarnation, env.GetLoadReport().Sequence = incarnation, sequence
			l.receive("a", env)
		}
		receive(2, 7, 3)
		receive(1, 7, 0)
		Expect(l.Total("s").Calls).To(Equal(int64(3)))
		receive(1, 8, 5)
		Expect(l.Total("s").Calls).To(Equal(int64(5)), "a new incarnation restarts its sequence")
	})

	// An instance of another cell with a member list that differs for a moment reports work
	// but never its end, and the engine would stay unused for the life of the receiver.
	It("are counted from cell peers only", func() {
		l.receive("a", report(2))
		l.receive("stranger", report(5))
		Expect(l.Total("s").Calls).To(Equal(int64(2)))
	})

	It("are awaited from all cell peers after start", func() {
		Expect(l.WarmingUp()).To(BeTrue())
		l.receive("a", report(1))
		l.receive("stranger", report(1))
		Expect(l.WarmingUp()).To(BeTrue())
		l.receive("b", report(0))
		Expect(l.WarmingUp()).To(BeFalse())
	})

	It("are added to the work placed by this instance", func() {
		l.receive("a", report(2))
		_, v := l.Place(func(load func(string) spread.Load, _ *spread.Queue) (spread.Plan, spread.Verdict) {
			Expect(load("s").Calls).To(Equal(int64(2)))
			return spread.Plan{Parts: []spread.Part{{Server: backends.Server{ID: "s"}, Load: spread.Load{Calls: 1}}}}, spread.Placed
		})
		Expect(v).To(Equal(spread.Placed))
		Expect(l.Total("s").Calls).To(Equal(int64(3)))
	})

	// Guards against each of 88 instances losing requests to learn that a server left.
	It("tell cell peers which servers rejected work", func() {
		servers := []backends.Server{{ID: "s", Life: 1}, {ID: "t", Life: 1}, {ID: "u", Life: 1}, {ID: "v", Life: 1}}
		Expect(l.Available(servers)).To(HaveLen(4))
		r := report(0).GetLoadReport()
		encodeRejections(r, map[away.Key]time.Duration{away.KeyOf(servers[0]): time.Second})
		l.receive("a", &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
		Expect(l.Available(servers)).To(Equal(servers[1:]))
		l.RecordRejection(servers[1], true)
		Expect(l.Available(servers)).To(Equal(servers[2:]))
		Expect(l.away.Observed(time.Second)).To(HaveLen(1), "each instance reports only its own observations")
	})

	It("are ignored if they list rejecting servers without times", func() {
		r := report(3).GetLoadReport()
		r.Away = []uint32{1}
		l.receive("a", &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}})
		Expect(l.Total("s").Calls).To(BeZero())
	})

	Describe("that came through a relay", func() {
		relayed := func(sequence, incarnation uint64, calls uint32) *peerpb.Envelope {
			env := report(calls)
			env.Incarnation = incarnation
			r := env.GetLoadReport()
			r.Complete, r.Relayed, r.Sequence = false, true, sequence
			return env
		}
		direct := func(sequence, incarnation uint64, calls uint32) *peerpb.Envelope {
			env := report(calls)
			env.Incarnation, env.GetLoadReport().Sequence = incarnation, sequence
			return env
		}

		It("are ordered with direct ones", func() {
			l.receive("a", direct(1, 7, 1))
			l.receive("a", relayed(3, 7, 3))
			l.receive("a", relayed(2, 7, 2))
			Expect(l.Total("s").Calls).To(Equal(int64(3)))
			l.receive("a", direct(3, 7, 5))
			Expect(l.Total("s").Calls).To(Equal(int64(3)), "the same report on two paths counts once")
			l.receive("a", direct(4, 7, 4))
			Expect(l.Total("s").Calls).To(Equal(int64(4)))
		})

		// Guards against work of a process that has ended, from a relay that was frozen.
		It("are ignored if the sender has another incarnation by now", func() {
			l.receive("a", direct(1, 8, 1))
			l.receive("a", relayed(9, 7, 5))
			Expect(l.Total("s").Calls).To(Equal(int64(1)))
			l.receive("a", direct(2, 8, 2))
			Expect(l.Total("s").Calls).To(Equal(int64(2)))
		})

		// Guards against work of a peer whose complete reports do not arrive, so that nothing would
		// correct it.
		It("do not extend the time for which work of the sender counts", func() {
			now := time.Second
			l.now = func() time.Duration { return now }
			l.receive("a", direct(2, 7, 2))
			now += peerTimeout - time.Millisecond
			l.receive("a", relayed(3, 7, 3))
			l.expire()
			Expect(l.Total("s").Calls).To(Equal(int64(3)))
			now += 2 * time.Millisecond
			l.expire()
			Expect(l.Total("s").Calls).To(BeZero())
			l.receive("a", relayed(4, 7, 4))
			Expect(l.Total("s").Calls).To(BeZero())
			l.receive("a", direct(5, 7, 5))
			Expect(l.Total("s").Calls).To(Equal(int64(5)))
		})

		// Guards against work of a process that has ended, from a relay that was frozen, after the next
		// process of that name became a cell peer.
		It("are ignored if no direct report of the sender came before", func() {
			l.receive("a", relayed(1, 7, 1))
			Expect(l.Total("s").Calls).To(BeZero())
		})

		// Guards against an instance that takes engines for idle after its start.
		It("do not end the wait for complete reports after start", func() {
			for _, peer := range []string{"a", "b"} {
				first := direct(1, 7, 0)
				first.GetLoadReport().Complete = false
				l.receive(peer, first)
				complete := relayed(2, 7, 0)
				complete.GetLoadReport().Complete = true
				l.receive(peer, complete)
			}
			Expect(l.WarmingUp()).To(BeTrue())
		})
	})
})
