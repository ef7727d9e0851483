package loads

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/fanout"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// planChanges returns the receivers of a report of changes, and an empty plan for a complete report or
// without RelayReports: without relays, all cell peers get the report. l.mu must be held.
func (l *Loads) planChanges(now time.Duration, complete bool) fanout.Plan {
	if complete || !l.RelayReports {
		return fanout.Plan{}
	}
	l.updateHeardAt()
	l.relayRound++
	return fanout.Choose(now, l.link.Self(), l.dataCentre, l.fanoutPeers, l.relayRound)
}

// updateHeardAt records when each cell peer was last heard from directly. l.mu must be held.
func (l *Loads) updateHeardAt() {
	names := make([]string, len(l.fanoutPeers))
	for i, p := range l.fanoutPeers {
		names[i] = p.Name
	}
	for i, at := range l.members.HeardDirectly(names) {
		l.fanoutPeers[i].HeardAt = at
	}
}

// send sends a report by a plan, or to all peers if the plan has no relays or the report may not fit
// into a datagram: a relay would have to open connections to all its neighbours to pass it on.
func (l *Loads) send(peers []string, plan fanout.Plan, r *peerpb.LoadReport) {
	env := envelopeOf(r)
	if len(plan.Relays) == 0 {
		l.link.SendDatagrams(peers, env)
		return
	}
	marked := proto.CloneOf(r)
	marked.Relay = true
	toRelays := envelopeOf(marked)
	if proto.Size(toRelays) > peerlink.MaxDatagramBody {
		l.link.SendDatagrams(peers, env)
		return
	}
	l.scope.Counter("load_reports_relayed_total").Inc(1)
	l.link.SendDatagrams(plan.Direct, env)
	l.link.SendDatagrams(plan.Relays, toRelays)
}

// passOn sends a received report on to cell peers, marked as relayed.
func (l *Loads) passOn(to []string, env *peerpb.Envelope) {
	if len(to) == 0 {
		return
	}
	// The handlers of other modules share the received message.
	r := proto.CloneOf(env.GetLoadReport())
	r.Relay, r.Relayed = false, true
	relayed := envelopeOf(r)
	relayed.From, relayed.Incarnation = env.From, env.Incarnation
	l.scope.Counter("load_reports_forwarded_total").Inc(1)
	l.link.RelayDatagrams(to, relayed)
}

func envelopeOf(r *peerpb.LoadReport) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: r}}
}
