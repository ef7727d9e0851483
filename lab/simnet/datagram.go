package simnet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/peerlink"
)

// maxReceived bounds the datagrams that wait to be read at a socket; further ones are dropped.
const maxReceived = 4096

// datagramConn is a socket for datagrams.
type datagramConn struct {
	host     *Host
	addr     string
	ready    *sync.Cond
	received [][]byte
	closed   bool
}

// ListenDatagrams implements peerlink.Transport.
func (h *Host) ListenDatagrams(addr string) (peerlink.DatagramConn, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	d := &datagramConn{host: h, addr: addr, ready: sync.NewCond(&h.net.mu)}
	h.datagrams[addr] = d
	return d, nil
}

// WriteToUDPAddrPort implements peerlink.DatagramConn.
func (d *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := d.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	d.host.awaitRunningLocked()
	if d.closed {
		return 0, net.ErrClosed
	}
	target := n.hosts[to.Addr().String()]
	if target == nil || time.Until(d.host.sendFree) > maxQueued || time.Until(target.receiveFree) > maxQueued {
		return len(b), nil
	}
	at := n.send(d.host, target, len(b))
	if blocked(d.host, target) || n.lost(d.host, target) {
		return len(b), nil
	}
	data := append([]byte(nil), b...)
	time.AfterFunc(time.Until(at), func() { target.receiveDatagram(to.String(), d.host, data) })
	return len(b), nil
}

func (h *Host) receiveDatagram(addr string, from *Host, data []byte) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	d := h.datagrams[addr]
	if d == nil || blocked(from, h) || len(d.received) >= maxReceived {
		return
	}
	d.received = append(d.received, data)
	d.ready.Signal()
}

// ReadFromUDPAddrPort implements peerlink.DatagramConn. The sender's address is not returned.
func (d *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n := d.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for !d.closed && (len(d.received) == 0 || d.host.trouble.Frozen) {
		d.ready.Wait()
	}
	if d.closed {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	data := d.received[0]
	d.received = d.received[1:]
	return copy(b, data), netip.AddrPort{}, nil
}

// Close implements peerlink.DatagramConn.
func (d *datagramConn) Close() error {
	d.host.net.mu.Lock()
	defer d.host.net.mu.Unlock()
	d.closeLocked()
	return nil
}

func (d *datagramConn) closeLocked() {
	d.closed = true
	if d.host.datagrams[d.addr] == d {
		delete(d.host.datagrams, d.addr)
	}
	d.ready.Broadcast()
}
