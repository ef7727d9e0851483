package peerproxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/serve/intake"
)

// Bounds of the calls that an instance makes for others, so that its own callers are served.
const (
	maxCarriedCalls = 256
	// maxCarriedBytes bounds the bodies of these calls.
	maxCarriedBytes = 16 << 20
	// carryConnectTimeout bounds an attempt to connect for another instance, which asks the
	// next one after it.
	carryConnectTimeout = 200 * time.Millisecond
	// receiveTimeout bounds the receiving of a call whose opening was accepted.
	receiveTimeout = 10 * time.Second
	// readBufferBytes is the size of one read of an answer.
	readBufferBytes = 16 << 10
	// deadlineMargin is how long a call may outlive the time that its server was given: the
	// instance that asked for it normally ends it.
	deadlineMargin = time.Second
)

// carriedWork counts the calls made for other instances and the bytes of their bodies.
type carriedWork struct{ calls, bytes atomic.Int64 }

// admit counts a call and reports whether it is within the bounds. end is called in both
// cases.
func (w *carriedWork) admit(size int64) bool {
	calls, bytes := w.calls.Add(1), w.bytes.Add(size)
	return calls <= maxCarriedCalls && bytes <= maxCarriedBytes
}

func (w *carriedWork) end(size int64) {
	w.calls.Add(-1)
	w.bytes.Add(-size)
}

// serverStream is a call as the instance sees it that makes it.
type serverStream = grpc.BidiStreamingServer[peerpb.ProxyRequest, peerpb.ProxyReply]

// Proxy implements peerlink.Proxier: it makes one call for another instance.
func (p *PeerProxy) Proxy(s serverStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil || open.Server == nil || open.BodyBytes < 0 {
		return status.Error(codes.InvalidArgument, "a call begins with its server")
	}
	admitted := p.carried.admit(open.BodyBytes)
	defer p.carried.end(open.BodyBytes)
	var lease *intake.Lease
	if admitted && !open.Test {
		lease, admitted = p.takeCarried(open.BodyBytes)
		defer lease.Release()
	}
	to := decodeEndpoint(open.Server)
	refusal := peerpb.ProxyRefusal_PROXY_BUSY
	if admitted {
		refusal = p.checkReach(s.Context(), to, open.Test)
	}
	p.scope.Tagged(map[string]string{"result": refusal.String()}).Counter("carried_calls_total").Inc(1)
	opened := &peerpb.ProxyReply{Part: &peerpb.ProxyReply_Opened{Opened: &peerpb.ProxyOpened{Refusal: refusal}}}
	if err := s.Send(opened); err != nil || open.Test || refusal != peerpb.ProxyRefusal_PROXY_ACCEPTED {
		return err
	}
	call, err := receiveInTime(s, to, open.BodyBytes)
	if err != nil {
		return err
	}
	return p.carry(s, call)
}

// takeCarried takes the memory for the body of a call. It is not taken away for others: the instance that asks has the
// body whole.
func (p *PeerProxy) takeCarried(bytes int64) (*intake.Lease, bool) {
	lease, refusal := p.intake.Enter(room.Entry{Length: bytes}, bytes, func() {})
	if refusal != nil {
		return nil, false
	}
	return lease, lease.Complete()
}

// checkReach reports why this instance cannot call a server for another one, if so. A
// connection is ready once it can, with test one that was just opened.
func (p *PeerProxy) checkReach(ctx context.Context, to backend.Endpoint, test bool) peerpb.ProxyRefusal {
	if p.members.Leaving() {
		return peerpb.ProxyRefusal_PROXY_LEAVING
	}
	if p.checkListed(to) != nil {
		return peerpb.ProxyRefusal_PROXY_SERVER_LEAVING
	}
	if err := p.guards.Check(to); errors.Is(err, backend.ErrResting) {
		return peerpb.ProxyRefusal_PROXY_SERVER_RESTING
	} else if err != nil {
		return peerpb.ProxyRefusal_PROXY_SERVER_LEAVING
	}
	if !test && p.prefersDirect(to.Server) && p.direct.Connected(to) {
		return peerpb.ProxyRefusal_PROXY_ACCEPTED
	}
	if !p.justFailed(to.Server) && p.connectFor(ctx, to) {
		return peerpb.ProxyRefusal_PROXY_ACCEPTED
	}
	if p.isIsolated(to.Server) {
		return peerpb.ProxyRefusal_PROXY_ISOLATED
	}
	return peerpb.ProxyRefusal_PROXY_UNREACHABLE
}

// connectFor reports whether a connection could be opened for another instance. An instance
// that seems to be isolated tries less long.
func (p *PeerProxy) connectFor(ctx context.Context, to backend.Endpoint) bool {
	timeout := carryConnectTimeout
	if p.isIsolated(to.Server) {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return p.connect(ctx, to) == nil
}

// receiveInTime is receiveCall with receiveTimeout: an instance may freeze amid sending.
func receiveInTime(s serverStream, to backend.Endpoint, size int64) (backend.Call, error) {
	type received struct {
		call backend.Call
		err  error
	}
	done := make(chan received, 1)
	go func() {
		call, err := receiveCall(s, to, size)
		done <- received{call, err}
	}()
	select {
	case r := <-done:
		return r.call, r.err
	case <-time.After(receiveTimeout):
		return backend.Call{}, status.Error(codes.DeadlineExceeded, "the call did not arrive in time")
	}
}

// receiveCall receives a call and its body.
func receiveCall(s serverStream, to backend.Endpoint, size int64) (backend.Call, error) {
	part, err := s.Recv()
	if err != nil {
		return backend.Call{}, err
	}
	if part.GetCall() == nil {
		return backend.Call{}, status.Error(codes.InvalidArgument, "no call follows its opening")
	}
	call := decodeCall(part.GetCall(), to)
	call.Body = make([]byte, 0, size)
	for int64(len(call.Body)) < size {
		if part, err = s.Recv(); err != nil {
			return backend.Call{}, err
		}
		if int64(len(call.Body)+len(part.GetBody())) > size {
			return backend.Call{}, status.Error(codes.InvalidArgument, "the body is longer than announced")
		}
		call.Body = append(call.Body, part.GetBody()...)
	}
	return call, nil
}

// carry makes a call and sends its answer to the instance that asked for it.
func (p *PeerProxy) carry(s serverStream, call backend.Call) error {
	ctx, cancel := context.WithTimeout(s.Context(), call.RemainingTime+deadlineMargin)
	defer cancel()
	answer, err := p.doDirect(ctx, call)
	if err != nil {
		return sendEnd(s, err)
	}
	defer answer.Close()
	head := &peerpb.ProxyReply{Part: &peerpb.ProxyReply_Head{Head: encodeHead(answer.Head())}}
	if err := s.Send(head); err != nil {
		return err
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := answer.Read(buf)
		if n > 0 {
			piece := &peerpb.ProxyReply{Part: &peerpb.ProxyReply_Body{Body: slices.Clone(buf[:n])}}
			if err := s.Send(piece); err != nil {
				return err
			}
		}
		if readErr != nil {
			return sendEnd(s, readErr)
		}
	}
}

// sendEnd sends how a call ended.
func sendEnd(s serverStream, err error) error {
	return s.Send(&peerpb.ProxyReply{Part: &peerpb.ProxyReply_End{End: encodeEnd(err)}})
}

// ProxyOrder implements peerlink.Proxier.
func (p *PeerProxy) ProxyOrder(ctx context.Context, req *peerpb.ProxyOrderRequest) (*peerpb.ProxyOrderReply, error) {
	if req.Server == nil {
		return nil, status.Error(codes.InvalidArgument, "an order names its server")
	}
	r := decodeOrder(req)
	if !p.prefersDirect(r.Server) {
		p.probe(r.Endpoint())
		return &peerpb.ProxyOrderReply{Failed: true}, nil
	}
	granted, err := true, error(nil)
	if req.Release {
		err = p.direct.Release(ctx, r)
	} else {
		granted, err = p.direct.Reserve(ctx, r)
	}
	return &peerpb.ProxyOrderReply{Failed: err != nil, Granted: granted}, nil
}
