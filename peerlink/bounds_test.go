package peerlink

import (
	"context"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// longHead answers every permit with a head of the given size.
type longHead struct {
	peerpb.UnimplementedPeerServer
	bytes int
}

// TakePermit implements peerpb.PeerServer.
func (l longHead) TakePermit(ctx context.Context, _ *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	return &peerpb.PermitReply{}, grpc.SetHeader(ctx, metadata.Pairs("long", strings.Repeat("x", l.bytes)))
}

// Guards against heads of calls between instances that fill the memory of the process.
var _ = Describe("the head of a call between instances", func() {
	const asks, answers = "127.0.0.1:19912", "127.0.0.1:19913"
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
	})

	DescribeTable("is bounded where it is answered", func(size int, refused bool) {
		startLink("b", answers, nil, func(string, *peerpb.Envelope) {})
		conn, err := grpc.NewClient("passthrough:///"+answers, grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		long := metadata.AppendToOutgoingContext(ctx, "long", strings.Repeat("x", size))
		_, err = peerpb.NewPeerClient(conn).LendRetry(long, &peerpb.RetryLoanRequest{})
		Expect(status.Code(err) == codes.Unimplemented).To(Equal(!refused), "%v", err)
	},
		Entry("one that is too long", 2*maxMetadata, true),
		Entry("another one", 0, false),
	)

	DescribeTable("is bounded where it was asked", func(size int, refused bool) {
		lis, err := net.Listen("tcp", answers)
		Expect(err).NotTo(HaveOccurred())
		s := grpc.NewServer()
		peerpb.RegisterPeerServer(s, longHead{bytes: size})
		go func() { _ = s.Serve(lis) }()
		DeferCleanup(s.Stop)
		a := startLink("a", asks, map[string]string{"b": answers}, func(string, *peerpb.Envelope) {})
		_, err = a.TakePermit(ctx, "b", &peerpb.PermitRequest{})
		Expect(err != nil).To(Equal(refused), "%v", err)
	},
		Entry("one that is too long", 2*maxMetadata, true),
		Entry("another one", 0, false),
	)
})
