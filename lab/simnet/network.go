// Package simnet is a network between processes of one program. Packets take time by distance
// and queue on links of limited bandwidth; hosts can be cut off, frozen, reset or switched off.
//
// It waits by the time package only, so that it runs in virtual time in a test of
// testing/synctest. A frozen host's programs keep running, but nothing that they send or
// receive passes until it wakes.
package simnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Latencies, and the bounds of what a link holds.
const (
	// dataCentreLatency is the one-way latency within a data centre.
	dataCentreLatency = 150 * time.Microsecond
	// maxQueued is the time for which a datagram may wait at a link before it is dropped.
	maxQueued = 500 * time.Millisecond
	// packetOverhead is the size of the headers of a packet in bytes.
	packetOverhead = 54
	// retransmitDelay is the delay of data of a connection whose packet is lost.
	retransmitDelay = 200 * time.Millisecond
	// UserTimeout ends a connection whose data is not acknowledged.
	UserTimeout = 1500 * time.Millisecond
)

// Network connects hosts. Its methods, and those of its hosts and connections, may be called by
// any goroutine.
type Network struct {
	// mu guards the network with its hosts and connections.
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[string]*Host
	// latency is the one-way latency between data centres.
	latency time.Duration
	traffic Traffic
}

// Traffic counts what hosts sent to each other, with the headers of packets.
type Traffic struct {
	Packets, Bytes uint64
	// CrossBytes are the bytes between data centres.
	CrossBytes uint64
}

// New returns a network whose data centres are latency apart, one way.
func New(seed uint64, latency time.Duration) *Network {
	return &Network{rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*Host{}, latency: latency}
}

// Traffic returns what was sent so far.
func (n *Network) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic
}

// Host is one machine with an address of its own.
type Host struct {
	net        *Network
	ip         string
	dataCentre string
	// bitsPerSecond is the bandwidth of its link in each direction.
	bitsPerSecond float64
	// sendFree and receiveFree are when the two directions of its link are idle again.
	sendFree, receiveFree time.Time
	trouble               Trouble
	listeners             map[string]*listener
	datagrams             map[string]*datagramConn
	streams               map[*stream]bool
	// woken wakes goroutines that wait for the end of a freeze.
	woken *sync.Cond
}

// Trouble is what is wrong with a host. The zero value is a sound host.
type Trouble struct {
	// Off: it has no power.
	Off bool
	// Frozen: it neither receives nor sends until it wakes.
	Frozen bool
	// CutIn and CutOut: packets to it, or from it, are lost.
	CutIn, CutOut bool
	// Loss is the share of its packets, in either direction, that are lost.
	Loss float64
}

// AddHost adds a host with a link of the given bandwidth in Mbit/s.
func (n *Network) AddHost(ip, dataCentre string, mbps float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{
		net: n, ip: ip, dataCentre: dataCentre, bitsPerSecond: mbps * 1e6,
		listeners: map[string]*listener{}, datagrams: map[string]*datagramConn{}, streams: map[*stream]bool{},
	}
	h.woken = sync.NewCond(&n.mu)
	n.hosts[ip] = h
	return h
}

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() string { return h.dataCentre }

// SetTrouble changes what is wrong with the host.
func (h *Host) SetTrouble(t Trouble) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.trouble = t
	h.woken.Broadcast()
	for _, d := range h.datagrams {
		d.ready.Broadcast()
	}
	for s := range h.streams {
		s.retransmit()
		s.peer.retransmit()
	}
}

// Trouble returns what is wrong with the host.
func (h *Host) Trouble() Trouble {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.trouble
}

// Reset closes all sockets of the host, as the end of its process does: peers get a reset.
func (h *Host) Reset() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	for _, l := range h.listeners {
		l.closeLocked()
	}
	for _, d := range h.datagrams {
		d.closeLocked()
	}
	for s := range h.streams {
		s.resetLocked()
	}
}

// AwaitRunning waits for the end of a freeze.
func (h *Host) AwaitRunning() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.awaitRunningLocked()
}

func (h *Host) awaitRunningLocked() {
	for h.trouble.Frozen {
		h.woken.Wait()
	}
}

// blocked reports whether packets of one host do not reach the other.
func blocked(from, to *Host) bool {
	return from.trouble.Off || to.trouble.Off || from.trouble.CutOut || to.trouble.CutIn
}

// lost draws whether a packet between two hosts is lost.
func (n *Network) lost(from, to *Host) bool {
	p := from.trouble.Loss + to.trouble.Loss
	return p > 0 && n.rand.Float64() < p
}

// latencyBetween is the one-way latency between two hosts.
func (n *Network) latencyBetween(a, b *Host) time.Duration {
	if a.dataCentre == b.dataCentre {
		return dataCentreLatency
	}
	return n.latency
}

// send reserves both links for a packet and returns when it arrives.
func (n *Network) send(from, to *Host, bytes int) time.Time {
	bytes += packetOverhead
	n.traffic.Packets++
	n.traffic.Bytes += uint64(bytes)
	if from.dataCentre != to.dataCentre {
		n.traffic.CrossBytes += uint64(bytes)
	}
	from.sendFree = from.transmit(from.sendFree, time.Now(), bytes)
	to.receiveFree = to.transmit(to.receiveFree, from.sendFree.Add(n.latencyBetween(from, to)), bytes)
	return to.receiveFree
}

// transmit returns when a packet that is ready at a time has passed one direction of the link.
func (h *Host) transmit(free, ready time.Time, bytes int) time.Time {
	if free.Before(ready) {
		free = ready
	}
	return free.Add(h.transmissionTime(bytes))
}

func (h *Host) transmissionTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) * 8 / h.bitsPerSecond * float64(time.Second))
}

// Receive reserves the link of the host for bytes from outside the network, such as an answer of
// the store, and returns when they have arrived.
func (h *Host) Receive(bytes int) time.Time {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.receiveFree = h.transmit(h.receiveFree, time.Now(), bytes+packetOverhead)
	return h.receiveFree
}
