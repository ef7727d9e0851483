package members

import (
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// reportSilence reports cell peers that fell silent to all instances, other cells included.
func (m *Members) reportSilence() {
	m.mu.Lock()
	silent := m.table.NewlySilent(m.now())
	m.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	m.link.SendDatagrams(m.Peers(), &peerpb.Envelope{Body: &peerpb.Envelope_MembersSilent{MembersSilent: &peerpb.MembersSilent{Members: silent}}})
}

// sendCellDigests tells instances of other cells which members of this cell live.
func (m *Members) sendCellDigests() {
	m.mu.Lock()
	to, digest := m.table.CellDigests(m.now())
	m.mu.Unlock()
	if len(to) > 0 {
		m.link.SendDatagrams(to, &peerpb.Envelope{Body: &peerpb.Envelope_CellDigest{CellDigest: digest}})
	}
}

// receiveCellReport processes what members report of their cell.
func (m *Members) receiveCellReport(from string, env *peerpb.Envelope) {
	m.mu.Lock()
	replies := m.applyCellReport(from, env)
	m.mu.Unlock()
	for _, reply := range replies {
		m.link.SendDatagram(from, reply)
	}
}

// applyCellReport applies a report to the table and returns the replies. The caller holds m.mu.
func (m *Members) applyCellReport(from string, env *peerpb.Envelope) []*peerpb.Envelope {
	now := m.now()
	switch {
	case env.GetMembersSilent() != nil:
		for _, s := range env.GetMembersSilent().Members {
			m.table.RecordSilence(now, from, s)
		}
	case env.GetCellDigest() != nil:
		if request := m.table.ReceiveCellDigest(now, env.GetCellDigest()); request != nil {
			return []*peerpb.Envelope{{Body: &peerpb.Envelope_CellRequest{CellRequest: request}}}
		}
	case env.GetCellRequest() != nil:
		roster, states := m.table.AnswerCellRequest(now, env.GetCellRequest())
		return append(statesIn(states), &peerpb.Envelope{Body: &peerpb.Envelope_CellRoster{CellRoster: roster}})
	case env.GetCellRoster() != nil:
		m.table.ReceiveCellRoster(now, env.GetCellRoster())
	}
	return nil
}

// statesIn divides entries into envelopes that fit into datagrams.
func statesIn(states []*peerpb.MemberState) (out []*peerpb.Envelope) {
	for len(states) > 0 {
		n := takeStates(states, peerlink.MaxDatagramBody)
		out = append(out, &peerpb.Envelope{Body: &peerpb.Envelope_MemberStates{MemberStates: &peerpb.MemberStates{Members: states[:n]}}})
		states = states[n:]
	}
	return out
}
