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

// Record records the list that is held now.
func (h *History) Record(s *Snapshot) {
	last := &h.held[(h.next+historySize-1)%historySize]
	if last.digest == s.Digest && last.from.Era == s.At.Era && !s.At.Before(last.to) {
		last.to = s.At
		return
	}
	if last.from == s.At {
		last.digest = s.Digest
		return
	}
	h.held[h.next] = heldList{from: s.At, to: s.At, digest: s.Digest}
	h.next = (h.next + 1) % historySize
}

// Contradicts reports whether the list that was held at a position had another digest.
func (h *History) Contradicts(at position.Position, digest uint64) bool {
	for _, l := range h.held {
		if l.from.Era == at.Era && !at.Before(l.from) && !l.to.Before(at) && l.from != (position.Position{}) {
			return l.digest != digest
		}
	}
	return false
}
