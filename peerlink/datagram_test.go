package peerlink

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestPeerlink(t *testing.T) { testkit.Suite(t, "peerlink") }

// startLink starts the link of one instance that finds others by addrs and hands over to h.
func startLink(name, addr string, addrs map[string]string, h Handler) *Link {
	l := &Link{
		RingSize: defaultRing, self: auburnmoor.Identity{Name: name, PeerAddr: addr, Incarnation: 1}, log: zap.NewNop(), peers: map[string]*peer{},
		resolve: func(name string) (string, bool) { a, ok := addrs[name]; return a, ok },
	}
	l.Handle(h)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	Expect(l.Start(ctx)).To(Succeed())
	DeferCleanup(l.Cleanup)
	return l
}

// Of 300 instances each held a connection each way to every other one, some 0.1 MB each,
// only to say once a second that it lives.
var _ = Describe("a small envelope", func() {
	const first, second = "127.0.0.1:19910", "127.0.0.1:19911"
	addrs := map[string]string{"a": first, "b": second, "c": second}
	var a, b *Link
	var got atomic.Int64
	BeforeEach(func() {
		got.Store(0)
		a = startLink("a", first, addrs, func(string, *peerpb.Envelope) {})
		b = startLink("b", second, addrs, func(from string, _ *peerpb.Envelope) {
			if from == "a" {
				got.Add(1)
			}
		})
	})
	peers := func() int { return a.Dump().(Dump).Peers }
	beat := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}

	It("is told without a connection", func() {
		Expect(a.Fits(beat)).To(BeTrue())
		Expect(a.Tell("b", beat)).To(BeTrue())
		Eventually(got.Load, "2s", "5ms").Should(Equal(int64(1)))
		Expect(peers()).To(BeZero())
	})

	It("is not taken by an instance that has another one's address", func() {
		Expect(a.Tell("c", beat)).To(BeTrue())
		Expect(a.Tell("b", beat)).To(BeTrue())
		Eventually(got.Load, "2s", "5ms").Should(Equal(int64(1)))
		Expect(b.Dump().(Dump).Dropped).To(Equal(uint64(1)))
	})

	It("that is too large for a packet goes over a connection, which ends when it is idle", func() {
		big := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Content: []byte(strings.Repeat("x", 5000))}}}
		Expect(a.Fits(big)).To(BeFalse())
		Expect(a.Tell("b", big)).To(BeTrue())
		Eventually(got.Load, "5s", "5ms").Should(Equal(int64(1)))
		Expect(peers()).To(Equal(1))
		a.sweep(time.Now().Add(idleFor - time.Second))
		Expect(peers()).To(Equal(1))
		a.sweep(time.Now().Add(idleFor + time.Second))
		Expect(peers()).To(BeZero())
		Expect(a.Tell("b", big)).To(BeTrue())
		Eventually(got.Load, "5s", "5ms").Should(Equal(int64(2)))
	})

	It("reaches nobody whose address is not known", func() {
		Expect(a.Tell("nobody", beat)).To(BeFalse())
	})
})
