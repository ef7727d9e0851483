package member

import (
	"time"

	"github.com/auburnmoor/auburnmoor/peerpb"
)

// entryRequest is a request for the full entries of some members.
type entryRequest struct {
	peer  string
	names []string
}

// maxRequested bounds the entries of one request.
const maxRequested = 64

// requestUnknown prepares a request for members of which only brief entries arrived. The
// sender has sent each full entry as often as it does by itself.
func (t *Table) requestUnknown(from string, states []*peerpb.MemberState) {
	var names []string
	for _, s := range states {
		if s.Brief && t.unknownLife(s) && len(names) < maxRequested {
			names = append(names, s.Name)
		}
	}
	if len(names) > 0 {
		t.unknown = append(t.unknown, entryRequest{from, names})
	}
}

// unknownLife reports whether an entry is of a member, or of a life of it, that is not known.
func (t *Table) unknownLife(s *peerpb.MemberState) bool {
	if s.Name == t.self.Name {
		return false
	}
	e := t.entries[s.Name]
	return e == nil || e.contact || e.state.Incarnation < s.Incarnation
}

func (t *Table) addRequest(from string, names []string) {
	if len(names) > 0 {
		t.requests = append(t.requests, entryRequest{from, names[:min(maxRequested, len(names))]})
	}
}

// Replies returns replies to members that sent gossip before they were known here, or that asked
// for entries, and requests for entries that are missing here. Without the first an instance that
// starts would know nobody until another member picks it as a gossip target at random.
func (t *Table) Replies(now time.Duration) []Message {
	var out []Message
	for _, name := range t.newSenders {
		out = append(out, Message{To: name, Gossip: &peerpb.Gossip{Members: t.sample(now)}})
	}
	for _, r := range t.requests {
		out = append(out, Message{To: r.peer, Gossip: &peerpb.Gossip{Members: t.fullEntries(now, r.names)}})
	}
	for _, r := range t.unknown {
		out = append(out, Message{To: r.peer, Gossip: &peerpb.Gossip{Members: []*peerpb.MemberState{cloneState(t.self)}, Unknown: r.names}})
	}
	t.newSenders, t.requests, t.unknown = nil, nil, nil
	return out
}

// fullEntries returns self and the full entries of the named live members.
func (t *Table) fullEntries(now time.Duration, names []string) []*peerpb.MemberState {
	out := []*peerpb.MemberState{cloneState(t.self)}
	for _, name := range names {
		if e := t.entries[name]; e != nil && t.alive(now, e) {
			out = append(out, renderFull(now, e))
		}
	}
	return out
}
