package peerlink

import (
	"context"
	"net"
	"net/netip"

	"github.com/auburnmoor/auburnmoor/internal/tcpopt"
)

// Transport opens the sockets of a link. The default one uses the operating system's.
type Transport interface {
	// Listen listens for connections on an address (host:port).
	Listen(addr string) (net.Listener, error)
	// ListenDatagrams listens for datagrams on an address (host:port).
	ListenDatagrams(addr string) (DatagramConn, error)
	// Dial connects to an address (host:port). The connection ends with an error if data sent
	// over it is not acknowledged within userTimeout.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// DatagramConn is an open socket for datagrams. *net.UDPConn implements it.
type DatagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// SetTransport replaces the sockets of the operating system. It must be called before Start.
func (l *Link) SetTransport(t Transport) { l.transport = t }

// osTransport uses the sockets of the operating system.
type osTransport struct{}

// Listen implements Transport.
func (osTransport) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// ListenDatagrams implements Transport.
func (osTransport) ListenDatagrams(addr string) (DatagramConn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", udp)
}

// Dial implements Transport.
func (osTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: tcpopt.UserTimeout(userTimeout)}
	return d.DialContext(ctx, "tcp", addr)
}
