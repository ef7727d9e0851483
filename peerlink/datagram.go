package peerlink

import (
	"net"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// maxDatagram is the maximum size of a datagram in bytes; it avoids IP fragmentation on
// any network.
const maxDatagram = 1200

// datagrams carry small envelopes without a connection. A connection takes some 0.1 MB at
// both ends, and a fleet of 300 instances has 90,000 pairs.
type datagrams struct{ conn DatagramConn }

// listenDatagrams also listens for datagrams on the peer address.
func (l *Link) listenDatagrams() error {
	conn, err := l.transport.ListenDatagrams(l.self.PeerAddr)
	if err != nil {
		return err
	}
	l.datagrams.conn = conn
	go l.receiveDatagrams(conn)
	return nil
}

func (l *Link) receiveDatagrams(conn DatagramConn) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example an ICMP error because a peer's port is closed.
			continue
		}
		env := &peerpb.Envelope{}
		if err := proto.Unmarshal(buf[:n], env); err != nil {
			l.dropped.Add(1)
			continue
		}
		l.deliver(env, n)
	}
}

// MaxDatagramBody is the size in bytes up to which the body of an envelope is sent as one
// datagram.
const MaxDatagramBody = maxDatagram - maxAddressing

// maxAddressing bounds the bytes that the sender's and receiver's names take in an
// envelope.
const maxAddressing = 200

// SendDatagram sends an envelope as a datagram if it is small, else over a connection. A lost
// datagram is not retransmitted.
func (l *Link) SendDatagram(to string, env *peerpb.Envelope) bool {
	return l.SendDatagrams([]string{to}, env)
}

// SendDatagrams sends one envelope to several instances as SendDatagram does and reports
// whether it was sent to all of them. The body is encoded only once.
func (l *Link) SendDatagrams(to []string, env *peerpb.Envelope) bool {
	return l.sendToAll(to, l.fromSelf(env))
}

// RelayDatagrams passes an envelope of another instance on to several instances, as SendDatagrams
// does. The envelope keeps its sender and incarnation.
func (l *Link) RelayDatagrams(to []string, env *peerpb.Envelope) bool {
	return l.sendToAll(to, env)
}

// fromSelf returns an envelope of this instance with a body.
func (l *Link) fromSelf(env *peerpb.Envelope) *peerpb.Envelope {
	return &peerpb.Envelope{From: l.self.Name, Incarnation: l.self.Incarnation, Body: env.Body}
}

// sendToAll sends an envelope to several instances, with each of them as its receiver.
func (l *Link) sendToAll(to []string, env *peerpb.Envelope) bool {
	raw, err := proto.Marshal(&peerpb.Envelope{From: env.From, Incarnation: env.Incarnation, Body: env.Body})
	if err != nil {
		l.log.Warn("message to other instances cannot be encoded", eventlog.Error(err))
		return false
	}
	sentAll := true
	for _, name := range to {
		sentAll = l.sendEncoded(name, raw, env) && sentAll
	}
	return sentAll
}

// sendEncoded sends env to one instance; raw is its encoding without the receiver.
func (l *Link) sendEncoded(to string, raw []byte, env *peerpb.Envelope) bool {
	addr, ok := l.datagramAddr(to)
	if !ok {
		return l.enqueue(to, env)
	}
	raw = appendReceiver(raw, to)
	if len(raw) > maxDatagram {
		return l.enqueue(to, env)
	}
	if _, err := l.datagrams.conn.WriteToUDPAddrPort(raw, addr); err != nil {
		l.dropped.Add(1)
		return false
	}
	l.sent.Add(1)
	l.sentBytes.Add(uint64(len(raw)))
	return true
}

// appendReceiver adds the receiver to an encoded envelope. Protobuf allows appending a
// field to an encoded message.
func appendReceiver(raw []byte, to string) []byte {
	raw = protowire.AppendTag(slices.Clip(raw), envelopeToField, protowire.BytesType)
	return protowire.AppendString(raw, to)
}

// envelopeToField is the field number of peerpb.Envelope.To.
const envelopeToField = 3

func (l *Link) datagramAddr(to string) (netip.AddrPort, bool) {
	if l.datagrams.conn == nil {
		return netip.AddrPort{}, false
	}
	name, ok := l.resolve(to)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(name)
	if err != nil {
		l.log.Debug("instance address is not an IP address with a port", zap.String("instance", to), zap.String("addr", name))
		return netip.AddrPort{}, false
	}
	return addr, true
}

// deliver passes an envelope to the handlers if it is addressed to this instance. An
// instance that took over an address may receive messages to its predecessor and must not
// act on them.
func (l *Link) deliver(env *peerpb.Envelope, size int) {
	if env.To != l.self.Name && env.To != ProvisionalName(l.self.PeerAddr) {
		l.dropped.Add(1)
		return
	}
	l.received.Add(1)
	l.receivedBytes.Add(uint64(size))
	for _, h := range l.handlers {
		h(env.From, env)
	}
}
