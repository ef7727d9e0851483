package relay

import (
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
)

// Ending is how an exchange ended for its client.
type Ending int

// The endings. All but Answered and Refused close the client's connection.
const (
	// Unanswered is the zero value: the exchange has not ended, or never did.
	Unanswered Ending = iota
	// Answered means that a server's whole answer was sent.
	Answered
	// Refused means that an error of this instance was sent as the answer.
	Refused
	// ClientLeft means that the client closed its connection first.
	ClientLeft
	// ServerBrokeOff means that a server broke off a stream and nothing could continue it.
	ServerBrokeOff
	// TimeUp means that the time limit passed in the middle of a stream.
	TimeUp
	// DrainTimeout means that the time to drain passed in the middle of a stream.
	DrainTimeout
)

// endings are the names of the endings in logs and metrics.
var endings = [...]string{"unanswered", "answered", "refused", "client_left", "server_broke_off", "time_up", "drain_timeout"}

// String returns the name used in logs and metrics.
func (e Ending) String() string { return endings[e] }

// reply sends the answer of one exchange and records how it ended.
type reply struct {
	sink   Sink
	ending Ending
}

// refuse sends an error of this instance.
func (r *reply) refuse(why *result.Error) {
	r.ending = Refused
	r.sink.Refuse(why)
}

// respond sends a whole answer that is not a stream.
func (r *reply) respond(h backend.Head, body []byte) {
	r.ending = Answered
	r.sink.Respond(h, body)
}

// complete ends a stream as whole.
func (r *reply) complete() {
	r.ending = Answered
	r.sink.End()
}

// cutOff closes the client's connection, so that the answer does not look complete.
func (r *reply) cutOff(e Ending) {
	r.ending = e
	r.sink.Abort()
}

// recordEnding counts how an exchange ended. One that did not end is a defect; its client is
// told so if nothing was sent yet.
func (x *exchange) recordEnding(panicked any) {
	if x.reply.ending == Unanswered {
		x.relay.log.Error("request ended without an answer", append(x.fields(nil), zap.Any("panic", panicked), zap.ByteString("stack", debug.Stack()))...)
		x.relay.count("exchanges_ended_total", "ending", Unanswered.String())
		if x.streamStarted.Load() {
			x.sink.Abort()
		} else {
			x.sink.Refuse(result.New(result.Internal, "internal error, request %s", x.req.ID))
		}
		return
	}
	x.relay.count("exchanges_ended_total", "ending", x.reply.ending.String())
}
