package bench

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

func protoSize(env *peerpb.Envelope) int { return proto.Size(env) }
