// Package peerlink carries envelopes between instances over gRPC and UDP. Delivery
// is best effort: a message may be lost when a ring is full or a connection
// breaks, and senders rely on their own timeouts.
package peerlink

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	grpcbackoff "google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/ring"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "peer.link"

func init() { auburnmoor.Register(new(Link)) }

// Bounds of the link.
const (
	// defaultRing holds some seconds of messages to one instance under the heaviest load.
	// With 4,096 slots, the rings of 74 peers took 2.1 MB of an idle instance.
	defaultRing = 512
	maxMessage  = 64 << 20
	// maxMetadata bounds the head and the trailer of a call; the calls here have a few hundred bytes of them.
	maxMetadata = 16 << 10
	// idleTimeout is how long an unused connection is kept, sweepInterval how often unused
	// connections are closed.
	idleTimeout   = 10 * time.Second
	sweepInterval = 2 * time.Second
	// ioBuffer is the size of the buffers of a connection between instances, in bytes.
	// Most messages have some 200 bytes; larger ones take several reads. gRPC's default is
	// two buffers of 32 KB for each of hundreds of connections.
	ioBuffer = 2 << 10
	// Backoff between failed connection attempts. A peer that restarts, or whose
	// partition heals, must be reachable before its load report is stale.
	reconnectMinDelay   = 100 * time.Millisecond
	reconnectMaxDelay   = 800 * time.Millisecond
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
	// dialTimeout ends an attempt whose SYN was lost: the kernel retransmits it after
	// 1, 3, 7 and 15 s, so that an attempt that began during a partition could
	// connect that long after its end. gRPC's default is 20 s. A round trip between
	// data centres takes 3 ms.
	dialTimeout = 500 * time.Millisecond
	// userTimeout ends a connection whose data is not acknowledged. It is far above
	// a round trip of 3 ms, and a new connection works at once.
	userTimeout = 1500 * time.Millisecond
)

// errClosed is returned for messages after Cleanup.
var errClosed = errors.New("the link is closed")

// Handler processes a received envelope; it must not block.
type Handler func(from string, env *peerpb.Envelope)

// Forwarder handles a request forwarded by another instance.
type Forwarder func(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)

// Permitter gives out permits to send requests to limited backend servers.
type Permitter interface {
	TakePermit(context.Context, *peerpb.PermitRequest) (*peerpb.PermitReply, error)
}

// RetryLender gives up retries of this instance's part of a shared budget for other instances.
type RetryLender interface {
	LendRetry(service string) bool
}

// Proxier makes calls to backend servers for other instances.
type Proxier interface {
	Proxy(s grpc.BidiStreamingServer[peerpb.ProxyRequest, peerpb.ProxyReply]) error
	ProxyOrder(context.Context, *peerpb.ProxyOrderRequest) (*peerpb.ProxyOrderReply, error)
}

// Link is the module "peer.link".
type Link struct {
	// RingSize bounds the envelopes queued for one instance; excess ones are
	// dropped and counted.
	RingSize int `toml:"ring_size" validate:"min=0,max=65536"`

	self     auburnmoor.Identity
	log      *zap.Logger
	server   *grpc.Server
	listener net.Listener
	resolve  func(string) (string, bool)
	handlers []Handler
	forward  Forwarder
	proxier  Proxier
	permits  Permitter
	lender   RetryLender
	ctx      context.Context

	transport Transport
	datagrams datagrams

	mu    sync.Mutex
	peers map[string]*peer
	// closed is set by Cleanup: no connection is opened any more.
	closed bool

	sentBytes, receivedBytes atomic.Uint64
	sent, received, dropped  atomic.Uint64
}

type peer struct {
	name string
	addr string
	ring *ring.Ring[*peerpb.Envelope]
	conn *grpc.ClientConn
	stop context.CancelFunc
	// lastUsed is when the connection was last requested for sending.
	lastUsed time.Time
	// calls counts the proxied calls in progress.
	calls int
}

func (p *peer) close() {
	p.stop()
	_ = p.conn.Close()
}

// ModuleInfo implements auburnmoor.Module.
func (*Link) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, New: func() auburnmoor.Module { return new(Link) }}
}

// Provision implements auburnmoor.Provisioner.
func (l *Link) Provision(c *auburnmoor.Context) error {
	if l.RingSize == 0 {
		l.RingSize = defaultRing
	}
	l.self, l.log, l.peers = c.Self, c.Log, map[string]*peer{}
	l.resolve = func(string) (string, bool) { return "", false }
	return nil
}

// Self returns the name of this instance.
func (l *Link) Self() string { return l.self.Name }

// SetResolver sets the function that resolves an instance's name to its peer
// address. It must be called before Start.
func (l *Link) SetResolver(f func(string) (string, bool)) { l.resolve = f }

// Handle adds a handler; every handler receives every envelope. It must be called
// before Start.
func (l *Link) Handle(h Handler) { l.handlers = append(l.handlers, h) }

// HandleForward sets the handler of forwarded requests.
func (l *Link) HandleForward(f Forwarder) { l.forward = f }

// HandleProxy sets the handler of calls that other instances ask this one to make.
func (l *Link) HandleProxy(p Proxier) { l.proxier = p }

// HandlePermits sets the handler of requests for permits. It must be called before Start.
func (l *Link) HandlePermits(p Permitter) { l.permits = p }

// HandleRetryLoans sets the handler of requests for retries. It must be called before Start.
func (l *Link) HandleRetryLoans(r RetryLender) { l.lender = r }

// Start implements auburnmoor.Starter.
func (l *Link) Start(ctx context.Context) error {
	if l.transport == nil {
		l.transport = osTransport{}
	}
	lis, err := l.transport.Listen(l.self.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listening on the peer address")
	}
	l.ctx, l.listener = ctx, lis
	l.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxMetadata), grpc.ReadBufferSize(ioBuffer), grpc.WriteBufferSize(ioBuffer))
	peerpb.RegisterPeerServer(l.server, &server{link: l})
	go func() { _ = l.server.Serve(lis) }()
	if err := l.listenDatagrams(); err != nil {
		// All envelopes use connections then, which takes more memory.
		l.log.Warn("no datagrams to other instances", eventlog.Error(err))
	}
	go wait.Every(ctx, sweepInterval, func() { l.sweep(time.Now()) })
	return nil
}

// sweep closes connections that were not used for idleTimeout.
func (l *Link) sweep(now time.Time) {
	for _, p := range l.removeIdle(now) {
		p.close()
	}
}

// removeIdle removes the connections that were not used for idleTimeout. Closing one can take seconds
// if its peer does not read, so that is done without l.mu.
func (l *Link) removeIdle(now time.Time) (idle []*peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if p.calls == 0 && now.Sub(p.lastUsed) > idleTimeout {
			idle = append(idle, p)
			delete(l.peers, name)
		}
	}
	return idle
}

// Cleanup implements auburnmoor.Cleaner.
func (l *Link) Cleanup() error {
	l.mu.Lock()
	l.closed = true
	open := slices.Collect(maps.Values(l.peers))
	l.mu.Unlock()
	for _, p := range open {
		p.close()
	}
	if l.datagrams.conn != nil {
		_ = l.datagrams.conn.Close()
	}
	if l.server != nil {
		l.server.Stop()
		// A server that has not begun to serve yet does not know its listener.
		_ = l.listener.Close()
	}
	return nil
}

// ProvisionalName returns the name of an instance known only by its peer address.
func ProvisionalName(addr string) string { return "@" + addr }

// Send queues an envelope for an instance and reports whether it was queued.
func (l *Link) Send(to string, env *peerpb.Envelope) bool { return l.enqueue(to, l.fromSelf(env)) }

// enqueue queues an envelope with its sender for the connection to an instance.
func (l *Link) enqueue(to string, env *peerpb.Envelope) bool {
	p, err := l.peer(to)
	if err != nil {
		l.dropped.Add(1)
		return false
	}
	out := &peerpb.Envelope{From: env.From, Incarnation: env.Incarnation, To: to, Body: env.Body}
	if !p.ring.Offer(out) {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Forward forwards a request to another instance and waits for its reply.
func (l *Link) Forward(ctx context.Context, to string, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	p, err := l.peer(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(p.conn).Forward(ctx, req)
}

// Proxy opens a call that another instance makes for this one. The caller calls done once
// it has ended.
func (l *Link) Proxy(ctx context.Context, to string) (call grpc.BidiStreamingClient[peerpb.ProxyRequest, peerpb.ProxyReply], done func(), err error) {
	p, err := l.peer(to)
	if err != nil {
		return nil, nil, err
	}
	l.countCall(p, 1)
	call, err = peerpb.NewPeerClient(p.conn).Proxy(ctx)
	if err != nil {
		l.countCall(p, -1)
		return nil, nil, err
	}
	return call, func() { l.countCall(p, -1) }, nil
}

func (l *Link) countCall(p *peer, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.calls += n
	p.lastUsed = time.Now()
}

// TakePermit asks another instance for a permit.
func (l *Link) TakePermit(ctx context.Context, to string, req *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	p, err := l.peer(to)
	if err != nil {
		return nil, err
	}
	l.countCall(p, 1)
	defer l.countCall(p, -1)
	return peerpb.NewPeerClient(p.conn).TakePermit(ctx, req)
}

// BorrowRetry asks another instance for a retry of a service.
func (l *Link) BorrowRetry(ctx context.Context, from, service string) (lent bool, err error) {
	p, err := l.peer(from)
	if err != nil {
		return false, err
	}
	l.countCall(p, 1)
	defer l.countCall(p, -1)
	reply, err := peerpb.NewPeerClient(p.conn).LendRetry(ctx, &peerpb.RetryLoanRequest{Service: service})
	return reply.GetLent(), err
}

// ProxyOrder has another instance send an order to a backend server.
func (l *Link) ProxyOrder(ctx context.Context, to string, req *peerpb.ProxyOrderRequest) (*peerpb.ProxyOrderReply, error) {
	p, err := l.peer(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(p.conn).ProxyOrder(ctx, req)
}

func (l *Link) peer(name string) (*peer, error) {
	addr, ok := l.resolve(name)
	if !ok || addr == "" {
		return nil, errors.Newf("no address known for instance %s", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	p := l.peers[name]
	if p != nil && p.addr == addr {
		p.lastUsed = time.Now()
		return p, nil
	}
	if p != nil {
		go p.close()
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(l.dial),
		grpc.WithMaxHeaderListSize(maxMetadata), grpc.WithReadBufferSize(ioBuffer), grpc.WithWriteBufferSize(ioBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           grpcbackoff.Config{BaseDelay: reconnectMinDelay, Multiplier: reconnectMultiplier, Jitter: reconnectJitter, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(l.ctx)
	p = &peer{name: name, addr: addr, conn: conn, stop: stop, lastUsed: time.Now(), ring: ring.New[*peerpb.Envelope]("peer."+name, l.RingSize)}
	l.peers[name] = p
	go l.sendLoop(ctx, p)
	return p, nil
}

func (l *Link) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.transport.Dial(ctx, addr)
}

// sendLoop sends one instance's envelopes and reconnects with jittered backoff, so
// that not all peers connect to a restarted instance at once.
func (l *Link) sendLoop(ctx context.Context, p *peer) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = reconnectMinDelay, reconnectMaxDelay
	for ctx.Err() == nil {
		if l.stream(ctx, p) {
			b.Reset()
		}
		select {
		case <-time.After(b.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// stream sends envelopes until an error and reports whether any was sent.
func (l *Link) stream(ctx context.Context, p *peer) (sentAny bool) {
	s, err := peerpb.NewPeerClient(p.conn).Link(ctx)
	if err != nil {
		return false
	}
	for {
		env, ok := p.ring.Take(ctx)
		if !ok {
			_, _ = s.CloseAndRecv()
			return sentAny
		}
		if s.Send(env) != nil {
			return sentAny
		}
		sentAny = true
		l.sent.Add(1)
		l.sentBytes.Add(uint64(proto.Size(env)))
	}
}

// Dump implements auburnmoor.Dumper.
func (l *Link) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Peers: len(l.peers),
		Sent:  l.sent.Load(), Received: l.received.Load(), Dropped: l.dropped.Load(),
		SentBytes: l.sentBytes.Load(), ReceivedBytes: l.receivedBytes.Load(),
	}
	for _, p := range l.peers {
		d.Rings = append(d.Rings, p.ring.Stats())
	}
	return d
}

// Dump is the state of the link.
type Dump struct {
	// Peers is the number of instances with an open connection.
	Peers         int          `json:"peers"`
	Sent          uint64       `json:"sent"`
	Received      uint64       `json:"received"`
	Dropped       uint64       `json:"dropped"`
	SentBytes     uint64       `json:"sent_bytes"`
	ReceivedBytes uint64       `json:"received_bytes"`
	Rings         []ring.Stats `json:"rings"`
}
