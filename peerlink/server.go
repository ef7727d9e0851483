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
		// An instance that took over an address gets messages meant for its
		// predecessor; acting on them would answer for another.
		if env.To != sv.link.self.Name && env.To != AtAddr(sv.link.self.PeerAddr) {
			sv.link.dropped.Add(1)
			continue
		}
		sv.link.received.Add(1)
		sv.link.receivedBytes.Add(uint64(proto.Size(env)))
		for _, h := range sv.link.handlers {
			h(env.From, env)
		}
	}
}

// Forward implements peerpb.PeerServer.
func (sv *server) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if sv.link.forward == nil {
		return nil, result.New(result.NotFound, "this instance takes no forwarded requests")
	}
	return sv.link.forward(ctx, req)
}
