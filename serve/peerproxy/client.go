package peerproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// connectDelay is how long an attempt to connect may take before another instance is asked
// as well; whichever is first makes the call.
const connectDelay = 100 * time.Millisecond

// Connected implements backend.Client.
func (p *PeerProxy) Connected(to backend.Endpoint) bool { return p.direct.Connected(to) }

// Connect implements backend.Client.
func (p *PeerProxy) Connect(ctx context.Context, to backend.Endpoint) error {
	return p.direct.Connect(ctx, to)
}

// Do implements backend.Client.
func (p *PeerProxy) Do(ctx context.Context, c backend.Call) (backend.Answer, error) {
	began := p.now()
	proxied, err := p.choosePath(ctx, c)
	if err != nil {
		return nil, err
	}
	c.RemainingTime -= p.now() - began
	if proxied != nil {
		return p.sendVia(proxied, c)
	}
	switch {
	case ctx.Err() != nil:
		return nil, errors.Mark(ctx.Err(), backend.ErrNotSent)
	default:
		return p.doDirect(ctx, c)
	}
}

// sendVia sends a call that was opened at another instance, unless the server wants no request by now.
func (p *PeerProxy) sendVia(proxied *proxiedCall, c backend.Call) (backend.Answer, error) {
	if err := p.guards.Check(c.Endpoint()); err != nil {
		proxied.close()
		return nil, err
	}
	return proxied.send(c)
}

// choosePath returns the call opened at another instance, or nil if this one makes it.
func (p *PeerProxy) choosePath(ctx context.Context, c backend.Call) (*proxiedCall, error) {
	to, size := c.Endpoint(), int64(len(c.Body))
	if !p.prefersDirect(to.Server) {
		p.probe(to)
		proxied, err := p.open(ctx, to, size)
		if err != nil && !saysLeaving(err) && p.connectsAfterAll(ctx, to) {
			return nil, nil
		}
		return proxied, err
	}
	if p.direct.Connected(to) {
		return nil, nil
	}
	return p.connectOrOpen(ctx, to, size)
}

// saysLeaving reports whether another instance made no call because the server leaves. One that the
// server asked for rest says nothing of other instances.
func saysLeaving(err error) bool {
	return errors.Is(err, backend.ErrHeldBack) && !errors.Is(err, backend.ErrResting)
}

// connectsAfterAll reports whether this instance connects to a server that no other one calls for
// it. That it could not connect to others is no reason to refuse a request.
func (p *PeerProxy) connectsAfterAll(ctx context.Context, to backend.Endpoint) bool {
	if p.justFailed(to.Server) {
		return false
	}
	if p.direct.Connected(to) && p.prefersDirect(to.Server) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return p.connect(ctx, to) == nil
}

// connectOrOpen connects to a server and, if that fails or takes long, opens the call at
// another instance. It returns nil once a connection of this instance is ready.
func (p *PeerProxy) connectOrOpen(ctx context.Context, to backend.Endpoint, size int64) (*proxiedCall, error) {
	connected := make(chan error, 1)
	go func() { connected <- p.connect(context.WithoutCancel(ctx), to) }()
	delay := time.NewTimer(connectDelay)
	defer delay.Stop()
	select {
	case err := <-connected:
		if err == nil {
			return nil, nil
		}
		return p.openAfter(ctx, to, size, err)
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), backend.ErrNotSent)
	case <-delay.C:
	}
	opened := make(chan openResult, 1)
	go func() {
		call, err := p.open(ctx, to, size)
		opened <- openResult{call, err}
	}()
	return firstOf(connected, opened)
}

type openResult struct {
	call *proxiedCall
	err  error
}

// openAfter opens a call at another instance after an attempt to connect failed.
func (p *PeerProxy) openAfter(ctx context.Context, to backend.Endpoint, size int64, connectErr error) (*proxiedCall, error) {
	call, err := p.open(ctx, to, size)
	if errors.Is(err, errNoProxy) {
		return nil, connectErr
	}
	return call, err
}

// firstOf waits until one of the two succeeded or both failed. A call that is opened too
// late ends.
func firstOf(connected <-chan error, opened <-chan openResult) (*proxiedCall, error) {
	select {
	case err := <-connected:
		if err != nil {
			o := <-opened
			return o.call, o.err
		}
		go func() {
			if o := <-opened; o.call != nil {
				o.call.close()
			}
		}()
		return nil, nil
	case o := <-opened:
		if o.err == nil {
			return o.call, nil
		}
		return nil, <-connected
	}
}

// Reserve implements backend.Client.
func (p *PeerProxy) Reserve(ctx context.Context, r backend.Reservation) (bool, error) {
	if p.orderDirectly(ctx, r.Endpoint()) {
		return p.direct.Reserve(ctx, r)
	}
	granted, err := p.orderVia(ctx, r, false)
	if errors.Is(err, errNoProxy) {
		return p.direct.Reserve(ctx, r)
	}
	return granted, err
}

// Release implements backend.Client.
func (p *PeerProxy) Release(ctx context.Context, r backend.Reservation) error {
	if p.orderDirectly(ctx, r.Endpoint()) {
		return p.direct.Release(ctx, r)
	}
	_, err := p.orderVia(ctx, r, true)
	if errors.Is(err, errNoProxy) {
		return p.direct.Release(ctx, r)
	}
	return err
}

// orderDirectly reports whether to send an order on a connection of this instance, which
// is ready then. Orders have little time, so a slow attempt to connect is not awaited.
func (p *PeerProxy) orderDirectly(ctx context.Context, to backend.Endpoint) bool {
	if !p.prefersDirect(to.Server) {
		p.probe(to)
		return false
	}
	if p.direct.Connected(to) {
		return true
	}
	connected := make(chan error, 1)
	go func() { connected <- p.connect(context.WithoutCancel(ctx), to) }()
	select {
	case err := <-connected:
		return err == nil
	case <-time.After(connectDelay):
		return false
	}
}

// maxOrderTries is the number of instances asked to send an order. Orders may be repeated.
const maxOrderTries = 2

// orderVia has another instance send an order and reports whether it was granted.
func (p *PeerProxy) orderVia(ctx context.Context, r backend.Reservation, release bool) (bool, error) {
	var asked []string
	err := errNoProxy
	for range maxOrderTries {
		name, ok := p.chooseProxy(asked)
		if !ok {
			break
		}
		asked = append(asked, name)
		reply, callErr := p.link.ProxyOrder(ctx, name, encodeOrder(r, release))
		switch {
		case callErr != nil && ctx.Err() != nil:
			return false, errors.Mark(callErr, backend.ErrBroken)
		case callErr != nil:
			p.pauseProxy(name, reach.PauseFailed)
			err = errors.Mark(callErr, backend.ErrBroken)
		case reply.Failed:
			err = errors.Mark(errors.Newf("order sent by %s was not answered", name), backend.ErrBroken)
		default:
			return reply.Granted, nil
		}
	}
	return false, err
}

// errRefused is the failure to connect to a server that refuses connections.
var errRefused = errors.New("connection refused")

// Examine implements backend.Client. A partition may refuse connections, too: a server that
// another instance reaches has not ended.
func (p *PeerProxy) Examine(ctx context.Context, to backend.Endpoint) backend.Condition {
	condition := p.direct.Examine(ctx, to)
	if condition != backend.ServerEnded {
		return condition
	}
	p.recordConnect(to.Server, errRefused)
	if p.reachedByOther(ctx, to) {
		return backend.PathLost
	}
	return condition
}
