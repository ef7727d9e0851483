package members

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// maxConnectedFleet is the fleet size up to which gossip uses connections. In a larger one it uses
// datagrams, since the memory of connections to ever other instances would not be freed. Until an
// instance is settled it does not know the size.
const maxConnectedFleet = 56

// send sends gossip. A message that does not fit into a datagram is sent as several.
func (m *Members) send(msgs []member.Message) {
	if len(msgs) == 0 {
		return
	}
	connected := m.Settled() && m.smallFleet()
	for _, msg := range msgs {
		for _, add := range m.gossipHooks {
			add(msg.Gossip)
		}
		m.sendMessage(msg, connected)
	}
}

func (m *Members) smallFleet() bool { return len(m.View().Alive) <= maxConnectedFleet }

// sendMessage sends one message over a connection or as datagrams.
func (m *Members) sendMessage(msg member.Message, connected bool) {
	if connected {
		m.link.Send(msg.To, &peerpb.Envelope{Body: &peerpb.Envelope_Gossip{Gossip: msg.Gossip}})
		return
	}
	for _, env := range datagramsOf(msg.Gossip) {
		m.link.SendDatagram(msg.To, env)
	}
}

// datagramsOf divides a message into envelopes that fit into datagrams. The first has the fields
// of the modules.
func datagramsOf(g *peerpb.Gossip) []*peerpb.Envelope {
	states := g.Members
	g.Members = nil
	first := takeStates(states, peerlink.MaxDatagramBody-proto.Size(g))
	g.Members = states[:first]
	return append([]*peerpb.Envelope{{Body: &peerpb.Envelope_Gossip{Gossip: g}}}, statesIn(states[first:])...)
}

// stateOverhead bounds the bytes that an entry takes in a message beyond its own.
const stateOverhead = 3

// takeStates returns how many of the first entries fit into a limit in bytes, at least one.
func takeStates(states []*peerpb.MemberState, limit int) int {
	for i, s := range states {
		limit -= proto.Size(s) + stateOverhead
		if limit < 0 && i > 0 {
			return i
		}
	}
	return len(states)
}

// announceLeaving informs all members that this instance leaves. Gossip repeats it where a
// datagram is lost.
func (m *Members) announceLeaving() {
	m.mu.Lock()
	msgs := m.table.Announce(m.now())
	m.mu.Unlock()
	connected := m.smallFleet()
	for _, msg := range msgs {
		m.sendMessage(msg, connected)
	}
}
