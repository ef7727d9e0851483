package room_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/room"
)

// sender is a kind of clients that send bodies.
type sender struct {
	name, customer string
	bytes          int64
	// perSecond is how many begin in a second, takes the time in which all but the last byte is sent.
	perSecond float64
	takes     time.Duration
	// stops marks those that do not send the last byte, hides those that do not announce the length.
	stops, hides bool
}

// body is a body of a simulated client.
type body struct {
	of     *sender
	holder *room.Holder
	began  time.Duration
	sent   int64
}

const (
	simTick   = 50 * time.Millisecond
	simLength = 2 * time.Minute
	// simLimit is the time limit of each request, simServed how long a server needs for one.
	simLimit  = 10 * time.Second
	simServed = 100 * time.Millisecond
	simRoom   = 32 << 20
	simPiece  = 16 << 10
)

// play returns the share of the bodies of each kind that were received whole in time.
func play(p room.Policy, size int64, seed uint64, senders []sender) map[string]float64 {
	// Each kind of clients arrives at the same times whatever others there are.
	rnd := map[string]*rand.Rand{}
	for _, s := range senders {
		rnd[s.name] = rand.New(rand.NewPCG(seed, uint64(s.bytes)+uint64(s.takes)))
	}
	r := room.New(room.Config{Bytes: size, Tiers: []room.Tier{{Above: 192 << 10, Share: 0.75}}, Policy: p})
	began, served := map[string]float64{}, map[string]float64{}
	open, waiting := map[*room.Holder]*body{}, map[*room.Holder]time.Duration{}
	lose := func(victims []*room.Holder) {
		for _, l := range victims {
			delete(open, l)
		}
	}
	for now := time.Duration(0); now < simLength; now += simTick {
		for i := range senders {
			s := &senders[i]
			for n := s.perSecond * simTick.Seconds(); n > 0; n-- {
				if rnd[s.name].Float64() >= n {
					break
				}
				if now < simLength-simLimit {
					began[s.name]++
				}
				e, first := room.Entry{Customer: s.customer, Length: s.bytes, Until: now + simLimit}, s.bytes
				if s.hides {
					e.Length, first = room.Unknown, simPiece
				}
				h, victims, ok := r.Enter(now, e, first)
				lose(victims)
				if ok {
					open[h] = &body{of: s, holder: h, began: now}
				}
			}
		}
		for h, ends := range waiting {
			if now >= ends {
				r.Leave(now, h)
				delete(waiting, h)
			}
		}
		for h, b := range open {
			if now >= b.began+simLimit {
				r.Leave(now, h)
				delete(open, h)
			}
		}
		for _, b := range sorted(open) {
			if open[b.holder] == nil {
				continue
			}
			due := min(b.of.bytes, int64(float64(b.of.bytes)*float64(now+simTick-b.began)/float64(b.of.takes)))
			if b.of.stops {
				due = min(due, b.of.bytes-1)
			}
			if b.of.hides {
				if grown := (due/simPiece - b.sent/simPiece) * simPiece; grown > 0 {
					victims, ok := r.Grow(now, b.holder, grown)
					lose(victims)
					if !ok {
						delete(open, b.holder)
						continue
					}
				}
			}
			r.Receive(now, b.holder, due-b.sent)
			if b.sent = due; due == b.of.bytes {
				r.Complete(b.holder)
				if b.began < simLength-simLimit {
					served[b.of.name]++
				}
				waiting[b.holder] = now + simServed
				delete(open, b.holder)
			}
		}
	}
	for name, n := range began {
		served[name] /= n
	}
	return served
}

func sorted(open map[*room.Holder]*body) (out []*body) {
	for _, b := range open {
		out = append(out, b)
	}
	for i := range out {
		for k := i; k > 0 && (out[k].began < out[k-1].began || out[k].began == out[k-1].began && out[k].of.name < out[k-1].of.name); k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// Each policy beside a crowd whose clients come back all the time. The legal clients are quick small ones, quick large
// ones, and large ones that take most of the time that they have.
var _ = Describe("who loses memory", func() {
	legal := []sender{
		{name: "small", customer: "school", bytes: 100 << 10, perSecond: 20, takes: 100 * time.Millisecond},
		{name: "large", customer: "school", bytes: 4 << 20, perSecond: 0.5, takes: 300 * time.Millisecond},
		{name: "slow", customer: "school", bytes: 4 << 20, perSecond: 0.1, takes: 8 * time.Second},
	}
	stopping := sender{name: "crowd", customer: "crowd", bytes: 4 << 20, perSecond: 40, takes: 500 * time.Millisecond, stops: true}
	trickling := sender{name: "crowd", customer: "crowd", bytes: 4 << 20, perSecond: 40, takes: time.Minute}
	hiding := sender{name: "crowd", customer: "crowd", bytes: 4 << 20, perSecond: 40, takes: 500 * time.Millisecond, stops: true, hides: true}
	inTime := sender{name: "crowd", customer: "crowd", bytes: 4 << 20, perSecond: 40, takes: 9 * time.Second}
	policies := []struct {
		name   string
		policy room.Policy
	}{{"largest", room.Largest}, {"slowest", room.Slowest}, {"slowest, then share", room.SlowestThenShare}}

	DescribeTable("beside a crowd", func(name string, s sender) {
		own := s
		own.customer = "school"
		for kind, crowd := range map[string]sender{"another customer": s, "the same customer": own} {
			var best map[string]float64
			for _, p := range policies {
				best = play(p.policy, simRoom, 7, append([]sender{crowd}, legal...))
				GinkgoWriter.Printf("%s, %s: %s: small %.3f, large %.3f, slow %.3f\n", name, kind, p.name, best["small"], best["large"], best["slow"])
				Expect(best["small"]).To(BeNumerically(">=", 0.95))
			}
			if kind == "another customer" {
				// As if half of the memory were there for them alone.
				alone := play(room.SlowestThenShare, simRoom/2, 7, legal)
				GinkgoWriter.Printf("alone in half of the room: large %.3f, slow %.3f\n", alone["large"], alone["slow"])
				Expect(best["large"]).To(BeNumerically(">=", alone["large"]))
				Expect(best["slow"]).To(BeNumerically(">=", alone["slow"]))
			}
		}
	},
		Entry("that stops short of the end", "stops", stopping),
		Entry("that trickles", "trickles", trickling),
		Entry("that stops short of the end and announces no length", "hides", hiding),
		Entry("that is slow but in time", "in time", inTime),
	)

	It("leaves all to the legal ones in calm", func() {
		for _, p := range policies {
			shares := play(p.policy, simRoom, 7, legal)
			Expect(shares).To(HaveKeyWithValue("small", 1.0), p.name)
			Expect(shares).To(HaveKeyWithValue("large", 1.0), p.name)
			Expect(shares).To(HaveKeyWithValue("slow", 1.0), p.name)
		}
	})
})
