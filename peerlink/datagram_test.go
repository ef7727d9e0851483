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
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestPeerlink(t *testing.T) { testkit.Suite(t, "peerlink") }

// startLink starts the link of one instance that resolves names by addrs and delivers to h.
func startLink(name, addr string, addrs map[string]string, h Handler) *Link {
	return startLinkOver(nil, name, addr, addrs, h)
}

// startLinkOver is startLink with other sockets than those of the operating system.
func startLinkOver(t Transport, name, addr string, addrs map[string]string, h Handler) *Link {
	l := &Link{
		transport: t,
		RingSize:  defaultRing, self: auburnmoor.Identity{Name: name, PeerAddr: addr, Incarnation: 1}, log: zap.NewNop(), peers: map[string]*peer{},
		resolve: func(name string) (string, bool) { a, ok := addrs[name]; return a, ok },
	}
	l.Handle(h)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	Expect(l.Start(ctx)).To(Succeed())
	DeferCleanup(l.Cleanup)
	return l
}

// Guards against connections, some 0.1 MB each, between all pairs of 300 instances that
// only carry one small message a second.
var _ = Describe("a small envelope", func() {
	const first, second = "127.0.0.1:19910", "127.0.0.1:19911"
	addrs := map[string]string{"a": first, "b": second, "c": second}
	var a, b *Link
	var received atomic.Int64
	BeforeEach(func() {
		received.Store(0)
		a = startLink("a", first, addrs, func(string, *peerpb.Envelope) {})
		b = startLink("b", second, addrs, func(from string, _ *peerpb.Envelope) {
			if from == "a" {
				received.Add(1)
			}
		})
	})
	peers := func() int { return a.Dump().(Dump).Peers }
	small := &peerpb.Envelope{Body: &peerpb.Envelope_CellDigest{CellDigest: &peerpb.CellDigest{}}}

	It("is sent without a connection", func() {
		Expect(proto.Size(small)).To(BeNumerically("<=", MaxDatagramBody))
		Expect(a.SendDatagram("b", small)).To(BeTrue())
		Eventually(received.Load, "2s", "5ms").Should(Equal(int64(1)))
		Expect(peers()).To(BeZero())
	})

	It("is dropped by an instance to which it is not addressed", func() {
		Expect(a.SendDatagram("c", small)).To(BeTrue())
		Expect(a.SendDatagram("b", small)).To(BeTrue())
		Eventually(received.Load, "2s", "5ms").Should(Equal(int64(1)))
		Expect(b.Dump().(Dump).Dropped).To(Equal(uint64(1)))
	})

	It("that is too large for a datagram uses a connection, which is closed when idle", func() {
		big := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Content: []byte(strings.Repeat("x", 5000))}}}
		Expect(proto.Size(big)).To(BeNumerically(">", MaxDatagramBody))
		Expect(a.SendDatagram("b", big)).To(BeTrue())
		Eventually(received.Load, "5s", "5ms").Should(Equal(int64(1)))
		Expect(peers()).To(Equal(1))
		a.sweep(time.Now().Add(idleTimeout - time.Second))
		Expect(peers()).To(Equal(1))
		a.sweep(time.Now().Add(idleTimeout + time.Second))
		Expect(peers()).To(BeZero())
		Expect(a.SendDatagram("b", big)).To(BeTrue())
		Eventually(received.Load, "5s", "5ms").Should(Equal(int64(2)))
	})

	// Guards against a connection that nothing closes.
	It("is not sent over a new connection after the link was closed", func() {
		Expect(a.Cleanup()).To(Succeed())
		Expect(a.Send("b", small)).To(BeFalse())
		Expect(peers()).To(BeZero())
	})

	// Guards against an address that stays in use after the link has ended: the server had not begun
	// to serve its listener yet.
	It("can be sent by the next link at an address as soon as the last one was closed", func() {
		for range 300 {
			Expect(startLink("e", "127.0.0.1:19917", addrs, func(string, *peerpb.Envelope) {}).Cleanup()).To(Succeed())
		}
	})

	It("is not sent to an instance without a known address", func() {
		Expect(a.SendDatagram("nobody", small)).To(BeFalse())
	})

	// Guards against reports that count as those of the instance that passes them on.
	DescribeTable("of another instance keeps its sender and incarnation when it is passed on", func(content int) {
		type sender struct {
			name        string
			incarnation uint64
		}
		senders := make(chan sender, 1)
		startLink("d", "127.0.0.1:19916", nil, func(from string, env *peerpb.Envelope) { senders <- sender{from, env.Incarnation} })
		addrs["d"] = "127.0.0.1:19916"
		env := &peerpb.Envelope{
			From: "c", Incarnation: 7, To: "a",
			Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Content: []byte(strings.Repeat("x", content))}},
		}
		Expect(a.RelayDatagrams([]string{"d"}, env)).To(BeTrue())
		Eventually(senders, "5s", "5ms").Should(Receive(Equal(sender{"c", 7})))
	},
		Entry("as a datagram", 10),
		Entry("over a connection, as it is too large for a datagram", 5000),
	)
})
