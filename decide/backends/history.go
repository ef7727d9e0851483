package backends

import "github.com/auburnmoor/auburnmoor/decide/position"

// historySize is the number of lists that a History remembers: those of some seconds while servers change.
const historySize = 64

// History remembers the digests of the lists that an instance held last, so that they can be compared with
// that of an instance which is not at the same position now. The zero value is empty.
type History struct {
	held [historySize]heldList
	next int
}

// heldList is the digest of a list that is the same between two positions of an era.
type heldList struct {
	from, to position.Position
	digest   uint64
}

// last is the list recorded last.
func (h *History) last() *heldList { return &h.held[(h.next+historySize-1)%historySize] }

// Record records the list that is held now. What was between it and an equal one before is not known: a
// server may have come and gone.
func (h *History) Record(s *Snapshot) {
	held := heldList{from: s.At, to: s.At, digest: s.Digest}
	switch last := h.last(); {
	case last.to != s.At:
		h.held[h.next] = held
		h.next = (h.next + 1) % historySize
	case last.digest != s.Digest:
		*last = held
	}
}

// Advance records that nothing has changed up to a later position.
func (h *History) Advance(at position.Position) { h.last().to = at }

// Contradicts reports whether the list that was held at a position had another digest.
func (h *History) Contradicts(at position.Position, digest uint64) bool {
	for _, l := range h.held {
		if l.from.Era == at.Era && !at.Before(l.from) && !l.to.Before(at) && l.from != (position.Position{}) {
			return l.digest != digest
		}
	}
	return false
}
