package intake

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/auburnmoor/auburnmoor/decide/slots"
	"github.com/auburnmoor/auburnmoor/internal/tcpopt"
)

// Shares of an instance that connections of clients may take.
const (
	// connectionShare is the part of the memory for connections, connectionBytes what one takes: buffers, stacks
	// and what the kernel holds.
	connectionShare = 0.2
	connectionBytes = 56 << 10
	// socketBuffer bounds the bytes of a connection that were received and not read, and those that were sent and
	// not taken. The kernel doubles it for its own use.
	socketBuffer = 16 << 10
	// reservedDescriptors are for files, listeners, the store and other instances. Half of the rest is for
	// connections to backend servers.
	reservedDescriptors = 200
	descriptorShare     = 0.5
	// minConnections is the least number of connections that a listener takes.
	minConnections = 16
)

// openFileLimit returns the number of descriptors that the process can have.
func openFileLimit() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<20 {
		return 1 << 20
	}
	return int(l.Cur)
}

// connections is the number of connections of clients that the instance can keep.
func (i *Intake) connections() int {
	if i.MaxConnections > 0 {
		return i.MaxConnections
	}
	byMemory := int(connectionShare * float64(i.memory) / connectionBytes)
	byDescriptors := int(descriptorShare * float64(i.descriptors-reservedDescriptors))
	return max(minConnections, min(byMemory, byDescriptors))
}

// ListenerConfig describes a listener.
type ListenerConfig struct {
	// Name stands in metrics.
	Name string
	// Share is its part of the connections of the instance.
	Share float64
	// Limits returns the present limits of its clients.
	Limits func() Limits
}

// Limits are limits of one client. Zero values set none.
type Limits struct {
	// HeadBytes is the size of the headers of a request.
	HeadBytes int
	// HeadTimeout bounds the time to receive a head, IdleTimeout that between two requests.
	HeadTimeout, IdleTimeout time.Duration
}

// Listener accepts as many connections as there are places for, and bounds what each may send.
type Listener struct {
	net.Listener
	intake *Intake
	name   string
	limits func() Limits

	mu    sync.Mutex
	slots *slots.Slots
}

// Listen opens a listener for clients.
func (i *Intake) Listen(ctx context.Context, addr string, cfg ListenerConfig) (*Listener, error) {
	lc := net.ListenConfig{Control: tcpopt.Buffers(socketBuffer)}
	lis, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for clients (%s)", cfg.Name)
	}
	size := max(minConnections, int(cfg.Share*float64(i.connections())))
	l := &Listener{Listener: lis, intake: i, name: cfg.Name, limits: cfg.Limits, slots: slots.New(size)}
	i.mu.Lock()
	i.listeners = append(i.listeners, l)
	i.mu.Unlock()
	return l, nil
}

// waits reports whether a connection has received bytes that were not read yet.
func waits(s *slots.Slot) bool {
	sc, ok := s.Owner.(*Conn).Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { waiting, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && ioctlErr == nil && waiting > 0
}

func (l *Listener) states() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots.Count()
}

// Accept implements net.Listener. Connections for which there is no place are closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, listener: l}
		l.mu.Lock()
		slot, victim, ok := l.slots.Add(l.intake.now(), conn, waits)
		conn.slot = slot
		if victim != nil {
			victim.Owner.(*Conn).displaced.Store(true)
		}
		l.mu.Unlock()
		if victim != nil {
			victim.Owner.(*Conn).giveUp(victim.State())
		}
		if ok {
			return conn, nil
		}
		l.intake.refused("connections")
		// Nothing was read of it, so its client may connect elsewhere.
		_ = c.Close()
	}
}
