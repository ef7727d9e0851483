package peerlink

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

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
