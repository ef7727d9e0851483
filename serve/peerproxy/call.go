package peerproxy

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

const (
	// openTimeout bounds the opening of a call at another instance, which connects to the
	// server meanwhile.
	openTimeout = carryConnectTimeout + 100*time.Millisecond
	// maxOpenTries is the number of instances asked to make a call; none is asked after
	// openBudget.
	maxOpenTries = 5
	openBudget   = 400 * time.Millisecond
	// maxTesters is the number of instances asked at once whether they reach a server.
	maxTesters = 3
	// silentProxy is how long an instance that makes a call may tell nothing.
	silentProxy = time.Second
	// bodyPiece is the size of the messages in which a body is sent, in bytes.
	bodyPiece = 64 << 10
)

// errNoProxy is returned if no other instance could be asked to make a call.
var errNoProxy = errors.New("no other instance makes calls for this one")

// proxiedCall is a call that another instance makes for this one.
type proxiedCall struct {
	owner *PeerProxy
	// proxy is the instance that makes the call, server the one called.
	proxy  string
	server backend.Endpoint
	stream grpc.BidiStreamingClient[peerpb.ProxyRequest, peerpb.ProxyReply]
	cancel context.CancelFunc
	done   func()
	once   sync.Once
	// lastHeard is when anything last came from the other instance, in nanoseconds since the
	// start of the process, complete is set once the call has ended there.
	lastHeard atomic.Int64
	complete  atomic.Bool
}

// close ends the call; the other instance cancels it if it is in progress. An instance that
// was silent for long is not asked again for a while: it may be frozen or cut off.
func (c *proxiedCall) close() {
	c.once.Do(func() {
		if !c.complete.Load() && c.owner.now()-time.Duration(c.lastHeard.Load()) > silentProxy {
			c.owner.pauseProxy(c.proxy, reach.PauseFailed)
		}
		c.cancel()
		c.done()
		c.owner.end(c)
	})
}

// open asks other instances to make a call with a body of the given size until one accepts.
func (p *PeerProxy) open(ctx context.Context, to backend.Endpoint, size int64) (*proxiedCall, error) {
	return p.ask(ctx, to, &peerpb.ProxyOpen{Server: encodeEndpoint(to), BodyBytes: size})
}

// reachedByOther reports whether another instance can connect to a server now. Several are
// asked at once, because any of them may be cut off as well and notice it by a timeout.
func (p *PeerProxy) reachedByOther(ctx context.Context, to backend.Endpoint) bool {
	open := &peerpb.ProxyOpen{Server: encodeEndpoint(to), Test: true}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, maxTesters)
	var asked []string
	for range maxTesters {
		name, ok := p.chooseProxy(asked)
		if !ok {
			break
		}
		asked = append(asked, name)
		go func() { results <- p.canConnect(ctx, name, open) }()
	}
	for range asked {
		if <-results {
			p.recordReached(to.Server)
			return true
		}
	}
	return false
}

// canConnect reports whether one instance can connect to a server.
func (p *PeerProxy) canConnect(ctx context.Context, name string, open *peerpb.ProxyOpen) bool {
	call, refusal, err := p.askOne(ctx, name, open)
	if ctx.Err() == nil {
		p.countOpen(refusal, err)
	}
	if call == nil {
		return false
	}
	call.close()
	return true
}

// ask asks other instances until one accepts. The error is errNoProxy if none could say
// whether the server can be reached.
func (p *PeerProxy) ask(ctx context.Context, to backend.Endpoint, open *peerpb.ProxyOpen) (*proxiedCall, error) {
	giveUp := p.now() + openBudget
	// asked are the instances that did not accept, unreachable those of them that cannot
	// connect to the server either, resting those from which it wants nothing for a while.
	var asked, unreachable, resting []string
	for len(asked) < maxOpenTries && p.now() < giveUp {
		name, ok := p.chooseProxy(asked)
		if !ok {
			break
		}
		call, refusal, err := p.askOne(ctx, name, open)
		p.countOpen(refusal, err)
		switch {
		case ctx.Err() != nil:
			return nil, errors.Mark(ctx.Err(), backend.ErrNotSent)
		case err != nil:
			p.pauseProxy(name, reach.PauseFailed)
		case refusal == peerpb.ProxyRefusal_PROXY_ACCEPTED:
			// The server is up, so the others are cut off from it.
			for _, other := range unreachable {
				p.pauseProxy(other, reach.PauseIsolated)
			}
			return call, nil
		case refusal == peerpb.ProxyRefusal_PROXY_SERVER_LEAVING:
			err := errors.Newf("instance %s knows that %s is leaving", name, to.Server)
			return nil, errors.Mark(errors.Mark(err, backend.ErrHeldBack), backend.ErrNotSent)
		case refusal == peerpb.ProxyRefusal_PROXY_SERVER_RESTING:
			resting = append(resting, name)
		case refusal == peerpb.ProxyRefusal_PROXY_UNREACHABLE:
			unreachable = append(unreachable, name)
		default:
			p.pauseProxy(name, pauseAfter(refusal))
		}
		asked = append(asked, name)
	}
	if len(resting) > 0 {
		err := errors.Newf("%s asked %v for rest", to.Server, resting)
		return nil, errors.Mark(errors.Mark(errors.Mark(err, backend.ErrResting), backend.ErrHeldBack), backend.ErrNotSent)
	}
	if len(unreachable) > 0 {
		return nil, errors.Mark(errors.Newf("neither this instance nor %v can connect to %s", unreachable, to.Server), backend.ErrNotSent)
	}
	return nil, errors.Mark(errors.Mark(errNoProxy, backend.ErrNotSent), backend.ErrPathLost)
}

func pauseAfter(refusal peerpb.ProxyRefusal) time.Duration {
	switch refusal {
	case peerpb.ProxyRefusal_PROXY_BUSY:
		return reach.PauseBusy
	case peerpb.ProxyRefusal_PROXY_ISOLATED:
		return reach.PauseIsolated
	default:
		return reach.PauseFailed
	}
}

func (p *PeerProxy) countOpen(refusal peerpb.ProxyRefusal, err error) {
	result := refusal.String()
	if err != nil {
		result = "failed"
	}
	p.scope.Tagged(map[string]string{"result": result}).Counter("proxied_calls_total").Inc(1)
}

// askOne asks one instance to make a call.
func (p *PeerProxy) askOne(ctx context.Context, name string, open *peerpb.ProxyOpen) (*proxiedCall, peerpb.ProxyRefusal, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(openTimeout, cancel)
	defer timer.Stop()
	stream, done, err := p.link.Proxy(ctx, name)
	if err != nil {
		cancel()
		return nil, 0, err
	}
	c := &proxiedCall{owner: p, proxy: name, server: decodeEndpoint(open.Server), stream: stream, cancel: cancel, done: done}
	c.lastHeard.Store(int64(p.now()))
	p.begin(c)
	refusal, err := c.awaitOpened(open)
	if err != nil || refusal != peerpb.ProxyRefusal_PROXY_ACCEPTED {
		c.close()
		return nil, refusal, err
	}
	if !timer.Stop() {
		c.close()
		return nil, 0, errors.Newf("instance %s did not answer in time", name)
	}
	return c, refusal, nil
}

func (c *proxiedCall) receive() (*peerpb.ProxyReply, error) {
	reply, err := c.stream.Recv()
	if err != nil {
		return nil, err
	}
	c.lastHeard.Store(int64(c.owner.now()))
	if reply.GetEnd() != nil {
		c.complete.Store(true)
	}
	return reply, nil
}

func (c *proxiedCall) awaitOpened(open *peerpb.ProxyOpen) (peerpb.ProxyRefusal, error) {
	if err := c.stream.Send(&peerpb.ProxyRequest{Part: &peerpb.ProxyRequest_Open{Open: open}}); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	reply, err := c.receive()
	if err != nil {
		return 0, err
	}
	opened := reply.GetOpened()
	if opened == nil {
		return 0, errors.New("unexpected reply to the opening of a call")
	}
	return opened.Refusal, nil
}

// send sends an opened call and waits for the head of the answer. From here on the server
// may have run the request, unless the other instance says otherwise.
func (c *proxiedCall) send(call backend.Call) (backend.Answer, error) {
	answer, err := c.exchange(call)
	if err != nil {
		c.close()
		return nil, err
	}
	return answer, nil
}

func (c *proxiedCall) exchange(call backend.Call) (backend.Answer, error) {
	if err := c.sendCall(call); err != nil && !errors.Is(err, io.EOF) {
		return nil, c.lost(err)
	}
	// After io.EOF the reason is in the reply.
	reply, err := c.receive()
	switch {
	case err != nil:
		return nil, c.lost(err)
	case reply.GetEnd() != nil:
		return nil, c.endError(reply.GetEnd())
	case reply.GetHead() == nil:
		return nil, errors.Mark(errors.New("unexpected reply to a call"), backend.ErrBroken)
	}
	c.owner.recordReached(c.server.Server)
	head := decodeHead(reply.GetHead())
	c.owner.notices.Hear(c.server, head.Notice)
	return &proxiedAnswer{call: c, head: head}, nil
}

func (c *proxiedCall) sendCall(call backend.Call) error {
	if err := c.stream.Send(&peerpb.ProxyRequest{Part: &peerpb.ProxyRequest_Call{Call: encodeCall(call)}}); err != nil {
		return err
	}
	for body := call.Body; len(body) > 0; {
		n := min(len(body), bodyPiece)
		if err := c.stream.Send(&peerpb.ProxyRequest{Part: &peerpb.ProxyRequest_Body{Body: body[:n]}}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// endError is the error of a call that ended without a complete answer.
func (c *proxiedCall) endError(end *peerpb.ProxyEnd) error {
	err := errors.Newf("call made by %s: %s", c.proxy, end.Error)
	if end.PathLost {
		err = errors.Mark(err, backend.ErrPathLost)
	}
	if end.HeldBack {
		err = errors.Mark(err, backend.ErrHeldBack)
	}
	if end.InvalidAnswer {
		err = errors.Mark(err, backend.ErrInvalidAnswer)
	}
	if end.Outcome == peerpb.ProxyOutcome_PROXY_NOT_SENT {
		return errors.Mark(err, backend.ErrNotSent)
	}
	return errors.Mark(err, backend.ErrBroken)
}

// lost is the error of a call whose stream to the other instance failed.
func (c *proxiedCall) lost(err error) error {
	err = errors.Wrapf(err, "call made by %s", c.proxy)
	return errors.Mark(errors.Mark(err, backend.ErrBroken), backend.ErrPathLost)
}

// proxiedAnswer is the answer to a call that another instance makes. It implements
// backend.Answer.
type proxiedAnswer struct {
	call *proxiedCall
	head backend.Head
	// rest is the part of the last message that was not read yet.
	rest []byte
	err  error
}

// Head implements backend.Answer.
func (a *proxiedAnswer) Head() backend.Head { return a.head }

// Read implements backend.Answer.
func (a *proxiedAnswer) Read(b []byte) (int, error) {
	for len(a.rest) == 0 && a.err == nil {
		a.receive()
	}
	if len(a.rest) == 0 {
		return 0, a.err
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

func (a *proxiedAnswer) receive() {
	reply, err := a.call.receive()
	switch {
	case err != nil:
		a.err = a.call.lost(err)
	case reply.GetEnd().GetOutcome() == peerpb.ProxyOutcome_PROXY_COMPLETE:
		a.err = io.EOF
	case reply.GetEnd() != nil:
		a.err = errors.Mark(a.call.endError(reply.GetEnd()), backend.ErrBroken)
	default:
		a.rest = reply.GetBody()
	}
}

// Close implements backend.Answer.
func (a *proxiedAnswer) Close() { a.call.close() }
