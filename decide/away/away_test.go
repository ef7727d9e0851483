package away_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestAway(t *testing.T) { testkit.Suite(t, "away") }

var _ = Describe("servers that rejected work", func() {
	const a = away.Key(1)
	const answering, silent = false, true
	var t *away.Table
	BeforeEach(func() { t = away.NewTable(func() float64 { return 0.5 }) })

	It("are passed over for as long as the store takes to report that they leave", func() {
		t.RecordRejection(0, a, answering)
		Expect(t.PassedOver(away.InitialPause-1, a)).To(BeTrue())
		Expect(t.PassedOver(away.InitialPause, a)).To(BeFalse())
		Expect(t.PassedOver(0, away.Key(2))).To(BeFalse())
	})

	// Guards against refusing a third of all requests for two seconds while most servers
	// are ready: with the store down, each of 88 instances lost requests every 1.5 s to
	// find out again which servers had left.
	It("are passed over for longer each time while the store is silent, up to a bound", func() {
		now := time.Duration(0)
		var pauses []time.Duration
		for range 5 {
			t.RecordRejection(now, a, silent)
			began := now
			for ; t.PassedOver(now, a); now += 10 * time.Millisecond {
			}
			pauses = append(pauses, now-began)
		}
		Expect(pauses).To(Equal([]time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 6 * time.Second, 6 * time.Second}))
	})

	It("are not passed over for longer because of requests already on their way", func() {
		for range 5 {
			t.RecordRejection(0, a, silent)
		}
		Expect(t.PassedOver(away.InitialPause, a)).To(BeFalse())
	})

	It("have the initial pause again once the store answers, or some time after the last pause", func() {
		t.RecordRejection(0, a, silent)
		t.RecordRejection(2*time.Second, a, answering)
		Expect(t.PassedOver(2*time.Second+away.InitialPause, a)).To(BeFalse())
		t.RecordRejection(20*time.Second, a, silent)
		Expect(t.PassedOver(20*time.Second+away.InitialPause, a)).To(BeFalse())
	})

	It("are passed over slightly longer by peers, and reported only by the instance that observed it", func() {
		peer := away.NewTable(func() float64 { return 0.5 })
		t.RecordRejection(0, a, answering)
		for server, left := range t.Observed(500 * time.Millisecond) {
			peer.ApplyReport(500*time.Millisecond, server, left)
		}
		Expect(peer.PassedOver(away.InitialPause, a)).To(BeTrue(), "the observer tries first")
		Expect(peer.PassedOver(away.InitialPause+200*time.Millisecond, a)).To(BeFalse())
		Expect(peer.Observed(time.Second)).To(BeEmpty())
		Expect(t.Observed(2 * time.Second)).To(BeEmpty())
	})

	It("are not excluded for long by a peer that reports absurd times", func() {
		t.ApplyReport(0, a, 1000*time.Hour)
		Expect(t.PassedOver(10*time.Second, a)).To(BeFalse())
		t.ApplyReport(20*time.Second, a, -time.Second)
		Expect(t.PassedOver(20*time.Second, a)).To(BeFalse())
	})

	// Guards against sending all work to the few servers without a known rejection: in a
	// burst most servers reject some requests.
	It("are used all the same if they are more than half", func() {
		servers := []backends.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
		Expect(t.Available(0, servers)).To(Equal(servers))
		t.RecordRejection(0, away.KeyOf(servers[0]), answering)
		t.RecordRejection(0, away.KeyOf(servers[1]), answering)
		Expect(t.Available(0, servers)).To(Equal(servers[2:]))
		t.RecordRejection(0, away.KeyOf(servers[2]), answering)
		Expect(t.Available(0, servers)).To(Equal(servers))
		Expect(t.Available(2*time.Second, servers)).To(Equal(servers))
	})

	It("have another key after a restart", func() {
		Expect(away.KeyOf(backends.Server{ID: "s", Life: 1})).NotTo(Equal(away.KeyOf(backends.Server{ID: "s", Life: 2})))
	})
})
