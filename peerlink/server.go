package peerlink

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// errNoProxy is the answer of an instance that makes no calls for others.
var errNoProxy = status.Error(codes.Unimplemented, "this instance makes no calls for others")
var errNoRetries = status.Error(codes.Unimplemented, "this instance lends no retries")
var errNoPermits = status.Error(codes.Unimplemented, "this instance gives out no permits")

// server is the receiving side of a Link.
type server struct {
	peerpb.UnimplementedPeerServer
	link *Link
}

// Link implements peerpb.PeerServer.
func (sv *server) Link(s grpc.ClientStreamingServer[peerpb.Envelope, peerpb.LinkClosed]) error {
	for {
		env, err := s.Recv()
		if err != nil {
			return err
		}
		sv.link.deliver(env, proto.Size(env))
	}
}

// Forward implements peerpb.PeerServer.
func (sv *server) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if sv.link.forward == nil {
		return nil, result.New(result.NotFound, "this instance does not accept forwarded requests")
	}
	return sv.link.forward(ctx, req)
}

// Proxy implements peerpb.PeerServer.
func (sv *server) Proxy(s grpc.BidiStreamingServer[peerpb.ProxyRequest, peerpb.ProxyReply]) error {
	if sv.link.proxier == nil {
		return errNoProxy
	}
	return sv.link.proxier.Proxy(s)
}

// ProxyOrder implements peerpb.PeerServer.
func (sv *server) ProxyOrder(ctx context.Context, req *peerpb.ProxyOrderRequest) (*peerpb.ProxyOrderReply, error) {
	if sv.link.proxier == nil {
		return nil, errNoProxy
	}
	return sv.link.proxier.ProxyOrder(ctx, req)
}

// TakePermit implements peerpb.PeerServer.
func (sv *server) TakePermit(ctx context.Context, req *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	if sv.link.permits == nil {
		return nil, errNoPermits
	}
	return sv.link.permits.TakePermit(ctx, req)
}

// LendRetry implements peerpb.PeerServer.
func (sv *server) LendRetry(_ context.Context, req *peerpb.RetryLoanRequest) (*peerpb.RetryLoanReply, error) {
	if sv.link.lender == nil {
		return nil, errNoRetries
	}
	return &peerpb.RetryLoanReply{Lent: sv.link.lender.LendRetry(req.GetService())}, nil
}
