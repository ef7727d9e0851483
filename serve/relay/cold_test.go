package relay

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// coldTime is longer than any of the tests.
const coldTime = time.Minute

// newCold is newScripted at a service of which some servers are cold and take a rate each.
func newCold(kind route.Kind, rate float64, coldServers []string, scripts ...script) *scriptedExchange {
	x := newScripted(kind, allRetries, scripts...)
	x.service.ColdRate = rate
	cold := map[string]bool{}
	for _, id := range coldServers {
		cold[id] = true
	}
	var listed []backends.Server
	for _, s := range x.relay.catalog.Servers().Ready("s") {
		s.Cold = backends.ColdTime{Known: cold[s.ID], Remaining: coldTime}
		listed = append(listed, s)
	}
	set := backends.NewSet()
	set.Replace(x.relay.now(), listed, position.Position{})
	x.relay.catalog = follow.NewFixed(x.relay.now, set.Snapshot())
	return x
}

// another is the exchange of another request of the same kind at the same instance.
func (x *scriptedExchange) another(id string) *scriptedExchange {
	sink, req := new(answerSink), *x.req
	req.ID, req.Arrived = id, time.Now()
	next := &exchange{
		relay: x.relay, req: &req, sink: sink, reply: &reply{sink: sink},
		route: x.route, service: x.service, state: attempt.New(x.route), timeLimit: x.timeLimit,
		identity: sync.OnceValue(func() poison.Key { return req.key("") }),
	}
	return &scriptedExchange{next, sink, x.servers}
}

// playMany serves requests of the same kind at once and returns them.
func (x *scriptedExchange) playMany(n int) (all []*scriptedExchange) {
	var wg sync.WaitGroup
	for i := range n {
		next := x.another(fmt.Sprint("q", i))
		all = append(all, next)
		wg.Go(func() {
			defer GinkgoRecover()
			next.play()
		})
	}
	wg.Wait()
	return all
}

// counted returns the requests to a server that count against its quota, up to a bound.
func countedSends(r *Relay, id string, bound int) (n int) {
	r.coldQuotas.with(func(l *warmup.Limiter) {
		for n < bound && !l.Allows(r.now(), warmup.Server{ID: id}, n+1) {
			n++
		}
	})
	return n
}

var _ = Describe("a cold server", func() {
	all := []string{"a", "b", "c"}
	answer := script{status: http.StatusOK, pieces: []piece{{0, "answer", nil}}}
	stream := script{status: http.StatusOK, pieces: []piece{{0, threeEvents, nil}}}

	// Guards against requests that all see the same free quota and crash the server together, and against
	// plain requests that are held although nothing bounds their number.
	It("gets no more than the quota from requests that arrive at once", func() {
		x := newCold(route.Idempotent, 4, all, repeat(answer, 12)...)
		served := 0
		for _, q := range x.playMany(60) {
			if q.sink.complete {
				served++
				continue
			}
			Expect(q.sink.refused.Code).To(Equal(result.NoBackend))
			Expect(q.sink.refused.NotRun).To(BeTrue())
			Expect(q.heldFor).To(BeZero())
			Expect(q.sink.refused.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
		}
		calls, _ := x.servers.counts()
		Expect(calls).To(Equal(12))
		Expect(served).To(Equal(12))
		for _, id := range all {
			Expect(countedSends(x.relay, id, 9)).To(Equal(4))
		}
	})

	// Guards against requests for which the caller is told to come back although a server could take them soon.
	It("holds prompts until its quota is free again", func() {
		x := newCold(route.Stream, 1, all, repeat(stream, 6)...)
		x.route.FirstEventTarget = time.Second
		began := time.Now()
		for _, q := range x.playMany(6) {
			Expect(q.sink.body).To(Equal(threeEvents))
		}
		Expect(time.Since(began)).To(BeNumerically(">=", time.Second))
		Expect(x.relay.held.Load()).To(BeZero())
	})

	// Guards against prompts that are held for longer than their time allows, or sent beyond the quota then.
	It("refuses prompts as not run once they were held as long as they may be", func() {
		x := newCold(route.Stream, 0.5, all)
		x.play()
		Expect(x.sink.refused.Code).To(Equal(result.NoBackend))
		Expect(x.heldFor).To(BeNumerically(">=", spread.MaxHold(scriptedTarget, scriptedTime)))
		Expect(x.holdReason).To(Equal(spread.ForWarmup))
		calls, _ := x.servers.counts()
		Expect(calls).To(BeZero())
	})

	// Guards against servers that are overrun by instances that take themselves for the only one.
	It("gets none of an instance that does not know the fleet", func() {
		x := newCold(route.Idempotent, 100, all)
		x.relay.fleet = retry.Fleet{Size: 1, Incomplete: true}
		x.play()
		Expect(x.sink.refused.Code).To(Equal(result.NoBackend))
	})

	// Guards against refusals while other servers are warm, and against a limit on those.
	It("leaves the rest to those that are not cold", func() {
		x := newCold(route.Idempotent, 1, []string{"a", "b"}, repeat(answer, 40)...)
		for _, q := range x.playMany(40) {
			Expect(q.sink.complete).To(BeTrue())
		}
		Expect(countedSends(x.relay, "c", 9)).To(BeZero())
		Expect(countedSends(x.relay, "a", 9)).To(BeNumerically("<=", 1))
	})

	// Guards against limits in deployments that do not ask for any.
	It("has no limit if its service has none", func() {
		x := newCold(route.Idempotent, 0, all, repeat(answer, 40)...)
		for _, q := range x.playMany(40) {
			Expect(q.sink.complete).To(BeTrue())
		}
		Expect(x.relay.coldQuotas.limiter).To(BeNil())
	})

	// Guards against a quota that is used up by attempts that never reach the server.
	DescribeTable("does not count an attempt", func(counts int, s script) {
		x := newCold(route.Once, 9, all, repeat(s, 9)...)
		scope := tally.NewTestScope("", nil)
		x.relay.scope = scope
		x.play()
		calls, _ := x.servers.counts()
		Expect(calls).To(BeNumerically(">", 0))
		total := 0
		for _, id := range all {
			total += countedSends(x.relay, id, 9)
		}
		Expect(total).To(Equal(counts * calls))
		sent := int64(0)
		if c := scope.Snapshot().Counters()["requests_to_cold_servers_total+service="+x.service.Name]; c != nil {
			sent = c.Value()
		}
		Expect(sent).To(BeEquivalentTo(counts * calls))
	},
		Entry("that was not sent", 0, script{err: errors.Mark(errors.New("no connection"), backend.ErrNotSent)}),
		Entry("that a server held back", 0, script{err: errors.Mark(errors.New("leaving"), backend.ErrHeldBack)}),
		Entry("that was meant for another server", 0, script{status: http.StatusMisdirectedRequest}),
		Entry("unless it broke", 1, script{err: errBrokenOff}),
		Entry("unless the server was busy", 1, script{status: http.StatusServiceUnavailable}),
		Entry("unless it was answered", 1, answer),
	)

	// Guards against a quota that is used up by prompts of which the server prefills only a part.
	It("counts requests as their writer only", func() {
		x := newCold(route.Stream, 1, []string{"b"})
		gate := x.relay.lockAndMakeColdGate(x.service)
		a, b := backends.Server{ID: "a"}, backends.Server{ID: "b"}
		choose := func(parts ...backends.Server) func([]backends.Server) (spread.Plan, spread.Verdict) {
			return func(servers []backends.Server) (spread.Plan, spread.Verdict) {
				var p spread.Plan
				for _, s := range parts {
					p.Parts = append(p.Parts, spread.Part{Server: s})
				}
				if len(servers) == 0 {
					return p, spread.NoServer
				}
				return p, spread.Placed
			}
		}
		_, verdict := x.chooseWithin(gate, []backends.Server{a, b}, choose(a, b))
		Expect(verdict).To(Equal(spread.Placed))
		Expect(x.takeColdSend()).To(BeNil())
		_, verdict = x.chooseWithin(gate, []backends.Server{b}, choose(b))
		Expect(verdict).To(Equal(spread.Placed))
		first := x.takeColdSend()
		Expect(first).NotTo(BeNil())
		_, verdict = x.chooseWithin(gate, []backends.Server{b}, choose(b))
		Expect(verdict).To(Equal(spread.NoServer))
		Expect(x.cold.leftOut).To(BeTrue())
		first.end()
		Expect(gate.check(b)).To(Equal(eligible))
	})

	// Guards against quota that is lost because no instance of the server's cell has it.
	It("of another cell is a candidate while this instance has a quota for it", func() {
		x := newCold(route.Idempotent, 2, []string{"b", "c"})
		r, ready := x.relay, x.relay.catalog.Servers().Ready("s")
		cell := r.loads.Cell()
		x.relay.pool("s").share = cellShare{x.relay.catalog.Servers(), cell.Index, cell.Count, ready[:1]}
		candidates := func() (ids []string) {
			servers, _, coldLeftOut := r.candidates(x.service, false)
			Expect(coldLeftOut).To(BeFalse())
			for _, s := range servers {
				ids = append(ids, s.ID)
			}
			return ids
		}
		Expect(candidates()).To(Equal(all))
		for range 2 {
			_, ok := r.lockAndMakeColdGate(x.service).take(ready[1])
			Expect(ok).To(BeTrue())
		}
		Expect(candidates()).To(Equal([]string{"a", "c"}))
		r.fleet = retry.Fleet{Size: 1, Incomplete: true}
		Expect(candidates()).To(Equal([]string{"a"}))
		x.service.ColdRate = 0
		Expect(candidates()).To(Equal([]string{"a"}))
	})

	// Guards against requests that count as kept from a cold server that another filter excludes anyway.
	It("is excluded by the last of the required filters", func() {
		x := newCold(route.Idempotent, 0.5, []string{"a"})
		gate := x.relay.lockAndMakeColdGate(x.service)
		gate.fleet = member.Roster{Size: 1}
		Expect(gate.check(backends.Server{ID: "b"})).To(Equal(eligible))
		Expect(gate.excluded).To(BeFalse())
		chain := x.relay.required(gate)
		Expect(chain).To(HaveLen(1))
		Expect(chain.check(backends.Server{ID: "a"})).To(Equal(cold))
		Expect(gate.excluded).To(BeTrue())
		Expect(x.relay.required(nil)).To(BeEmpty())
	})
})

// repeat returns a script n times.
func repeat(s script, n int) (out []script) {
	for range n {
		out = append(out, s)
	}
	return out
}
