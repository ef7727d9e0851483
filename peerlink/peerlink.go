// Package peerlink carries envelopes between instances over gRPC. It promises
// nothing: a message may be lost when a ring is full or a connection breaks,
// and whoever sent it decides by its own timers.
package peerlink

import (
	"context"
	"net"
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
	"github.com/auburnmoor/auburnmoor/internal/tcpopt"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/ring"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "peer.link"

func init() { auburnmoor.Register(new(Link)) }

// Bounds of the link.
const (
	// defaultRing is some seconds of messages to one instance under the heaviest load.
	// Of 4,096 places, 74 peers took 2.1 MB of an instance at rest (heap profile).
	defaultRing = 512
	maxMessage  = 64 << 20
	// idleFor is how long a connection is kept that nothing is sent on, and sweepEvery how
	// often such ones are looked for.
	idleFor    = 10 * time.Second
	sweepEvery = 2 * time.Second
	// ioBuffer is the size of the buffers of a connection between instances, in bytes.
	// Most messages have some 200 bytes; larger ones go in several reads. gRPC's own
	// 32 KB twice are allocated for each of hundreds of connections.
	ioBuffer = 2 << 10
	// Pauses between vain attempts to connect. A peer that restarts, or whose
	// partition heals, must be heard again before the view of its load is old.
	reconnectFirst  = 100 * time.Millisecond
	reconnectMost   = 800 * time.Millisecond
	reconnectGrowth = 1.6
	reconnectJitter = 0.2
	// dialTimeout ends an attempt whose opening packet was lost: the kernel sends
	// the next ones after 1, 3, 7 and 15 s, so an attempt that began during a
	// partition would connect only that long after its end. gRPC waits 20 s by
	// itself. A round trip between data centres takes 3 ms.
	dialTimeout = 500 * time.Millisecond
	// userTimeout ends a connection that went silent; a round trip of 3 ms is far
	// below, and a new connection works at once.
	userTimeout = 1500 * time.Millisecond
)

// Handler takes over a received envelope; it must not block.
type Handler func(from string, env *peerpb.Envelope)

// Forwarder answers a request that another instance passed on.
type Forwarder func(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)

// Link is the module "peer.link".
type Link struct {
	// RingSize bounds the envelopes waiting for one instance; further ones are
	// dropped and counted.
	RingSize int `toml:"ring_size" validate:"min=0,max=65536"`

	self     auburnmoor.Identity
	log      *zap.Logger
	server   *grpc.Server
	listener net.Listener
	resolve  func(string) (string, bool)
	handlers []Handler
	forward  Forwarder
	ctx      context.Context

	datagrams datagrams

	mu    sync.Mutex
	peers map[string]*peer

	sentBytes, receivedBytes atomic.Uint64
	sent, received, dropped  atomic.Uint64
}

type peer struct {
	name string
	addr string
	ring *ring.Ring[*peerpb.Envelope]
	conn *grpc.ClientConn
	stop context.CancelFunc
	// used is when something was last sent.
	used time.Time
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

// Self is the name of this instance.
func (l *Link) Self() string { return l.self.Name }

// SetResolver tells the link how to find an instance's peer address. It must
// be called before Start.
func (l *Link) SetResolver(f func(string) (string, bool)) { l.resolve = f }

// Handle adds a handler; every handler sees every envelope. It must be called
// before Start.
func (l *Link) Handle(h Handler) { l.handlers = append(l.handlers, h) }

// HandleForward sets the answer to forwarded requests.
func (l *Link) HandleForward(f Forwarder) { l.forward = f }

// Start implements auburnmoor.Starter.
func (l *Link) Start(ctx context.Context) error {
	lis, err := net.Listen("tcp", l.self.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	l.ctx, l.listener = ctx, lis
	l.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.ReadBufferSize(ioBuffer), grpc.WriteBufferSize(ioBuffer))
	peerpb.RegisterPeerServer(l.server, &server{link: l})
	go func() { _ = l.server.Serve(lis) }()
	if err := l.listenDatagrams(); err != nil {
		// Everything goes over connections then, at the cost of their memory.
		l.log.Warn("no datagrams to other instances", eventlog.Error(err))
	}
	go wait.Every(ctx, sweepEvery, func() { l.sweep(time.Now()) })
	return nil
}

// sweep closes connections to instances to which this one has nothing more to say.
func (l *Link) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if now.Sub(p.used) > idleFor {
			p.close()
			delete(l.peers, name)
		}
	}
}

// Cleanup implements auburnmoor.Cleaner.
func (l *Link) Cleanup() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.close()
	}
	if l.datagrams.conn != nil {
		_ = l.datagrams.conn.Close()
	}
	if l.server != nil {
		l.server.Stop()
	}
	return nil
}

// AtAddr is the name of an instance of which only the peer address is known.
func AtAddr(addr string) string { return "@" + addr }

// Send queues an envelope for an instance and reports whether there was room.
func (l *Link) Send(to string, env *peerpb.Envelope) bool {
	p, err := l.peer(to)
	if err != nil {
		l.dropped.Add(1)
		return false
	}
	out := &peerpb.Envelope{From: l.self.Name, Incarnation: l.self.Incarnation, To: to, Body: env.Body}
	if !p.ring.Offer(out) {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Forward passes a request to another instance and waits for its answer.
func (l *Link) Forward(ctx context.Context, to string, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	p, err := l.peer(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(p.conn).Forward(ctx, req)
}

func (l *Link) peer(name string) (*peer, error) {
	addr, ok := l.resolve(name)
	if !ok || addr == "" {
		return nil, errors.Newf("no address of instance %s", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p != nil && p.addr == addr {
		p.used = time.Now()
		return p, nil
	}
	if p != nil {
		p.close()
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithReadBufferSize(ioBuffer), grpc.WithWriteBufferSize(ioBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           grpcbackoff.Config{BaseDelay: reconnectFirst, Multiplier: reconnectGrowth, Jitter: reconnectJitter, MaxDelay: reconnectMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(l.ctx)
	p = &peer{name: name, addr: addr, conn: conn, stop: stop, used: time.Now(), ring: ring.New[*peerpb.Envelope]("peer."+name, l.RingSize)}
	l.peers[name] = p
	go l.pump(ctx, p)
	return p, nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: tcpopt.UserTimeout(userTimeout)}
	return d.DialContext(ctx, "tcp", addr)
}

// pump sends one instance's envelopes and reconnects with jittered backoff, so
// that a restarted instance is not met by everyone at once.
func (l *Link) pump(ctx context.Context, p *peer) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = reconnectFirst, reconnectMost
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

// stream sends until an error and reports whether anything was sent.
func (l *Link) stream(ctx context.Context, p *peer) (worked bool) {
	s, err := peerpb.NewPeerClient(p.conn).Link(ctx)
	if err != nil {
		return false
	}
	for {
		env, ok := p.ring.Take(ctx)
		if !ok {
			_, _ = s.CloseAndRecv()
			return worked
		}
		if s.Send(env) != nil {
			return worked
		}
		worked = true
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
	// Peers is the number of instances to which a connection is kept.
	Peers         int          `json:"peers"`
	Sent          uint64       `json:"sent"`
	Received      uint64       `json:"received"`
	Dropped       uint64       `json:"dropped"`
	SentBytes     uint64       `json:"sent_bytes"`
	ReceivedBytes uint64       `json:"received_bytes"`
	Rings         []ring.Stats `json:"rings"`
}
