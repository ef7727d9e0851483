package relay

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Bounds of the answers that are read to their end before they are sent on. Those of the services have
// about 1 KiB.
const (
	// maxAnswerBytes is the size in bytes from which an answer is given up.
	maxAnswerBytes = 4 << 20
	// smallAnswerBytes is read of every answer. What an answer needs beyond it is taken from roomBytes,
	// which all answers being read share.
	smallAnswerBytes = 8 << 10
	roomBytes        = 6 << 20
)

// Bounds as metrics name them.
const (
	boundBody  = "body"
	boundRoom  = "room"
	boundEvent = "event"
)

var (
	errAnswerTooLarge = errors.New("answer exceeds the size limit")
	errNoRoom         = errors.New("answer is the largest of those that need more memory than there is")
)

// room is the memory for large answers. If it does not suffice, the largest answer is given up: one
// that has no end becomes that sooner or later, and small ones go on. Its zero value is empty.
type room struct {
	mu      sync.Mutex
	used    int
	holders map[*roomHolder]struct{}
}

// roomHolder is an answer that takes memory of a room.
type roomHolder struct {
	room  *room
	bytes int
	// giveUp ends the reading of the answer.
	giveUp  func()
	evicted bool
}

// grow takes memory for an answer and reports whether the answer goes on.
func (h *roomHolder) grow(n int) bool {
	r := h.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.evicted {
		return false
	}
	if r.holders == nil {
		r.holders = map[*roomHolder]struct{}{}
	}
	r.holders[h] = struct{}{}
	h.bytes += n
	r.used += n
	for r.used > roomBytes {
		r.largest().evict()
	}
	return !h.evicted
}

// largest returns the holder of the most memory; the room is not empty.
func (r *room) largest() (l *roomHolder) {
	for h := range r.holders {
		if l == nil || h.bytes > l.bytes {
			l = h
		}
	}
	return l
}

// evict takes the memory of an answer away. The caller holds the room's lock.
func (h *roomHolder) evict() {
	h.evicted = true
	h.leave()
	h.giveUp()
}

func (h *roomHolder) leave() {
	h.room.used -= h.bytes
	h.bytes = 0
	delete(h.room.holders, h)
}

// release returns the memory and reports whether the answer was given up.
func (h *roomHolder) release() (evicted bool) {
	h.room.mu.Lock()
	defer h.room.mu.Unlock()
	if !h.evicted {
		h.leave()
	}
	return h.evicted
}

// readWhole reads an answer to its end. It calls giveUp if the memory is needed for smaller ones.
func (r *room) readWhole(answer io.Reader, giveUp func()) ([]byte, error) {
	h := &roomHolder{room: r, giveUp: giveUp}
	body, err := h.readAll(answer)
	if h.release() {
		return nil, errNoRoom
	}
	return body, err
}

// Sizes of the buffers into which an answer is read, in bytes: the first one, and those beyond
// smallAnswerBytes.
const (
	firstBufferBytes = 2 << 10
	pieceBytes       = 16 << 10
)

// pieces are the buffers of large answers. They are used again, so that answers which are given up
// leave no garbage behind.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

func (h *roomHolder) readAll(answer io.Reader) ([]byte, error) {
	small, ended, err := readSmall(answer)
	if ended || err != nil {
		return small, err
	}
	var large []*[pieceBytes]byte
	defer func() {
		for _, p := range large {
			pieces.Put(p)
		}
	}()
	for len(small)+len(large)*pieceBytes < maxAnswerBytes {
		if !h.grow(pieceBytes) {
			return nil, errNoRoom
		}
		p := pieces.Get().(*[pieceBytes]byte)
		large = append(large, p)
		n, ended, err := fill(answer, p[:])
		if err != nil {
			return nil, err
		}
		if ended {
			return join(small, large, n), nil
		}
	}
	return nil, errAnswerTooLarge
}

// readSmall reads smallAnswerBytes at most and reports whether they are the whole answer.
func readSmall(answer io.Reader) (body []byte, ended bool, err error) {
	body = make([]byte, firstBufferBytes)
	n := 0
	for {
		k, ended, err := fill(answer, body[n:])
		n += k
		if ended || err != nil || n >= smallAnswerBytes {
			return body[:n], ended, err
		}
		body = append(body, make([]byte, len(body))...)
	}
}

// fill reads until a buffer is full and reports whether the answer ended before.
func fill(answer io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		k, err := answer.Read(p[n:])
		n += k
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// join returns the bytes of all pieces, of which the last one holds n.
func join(small []byte, large []*[pieceBytes]byte, n int) []byte {
	out := make([]byte, 0, len(small)+(len(large)-1)*pieceBytes+n)
	out = append(out, small...)
	for _, p := range large[:len(large)-1] {
		out = append(out, p[:]...)
	}
	return append(out, large[len(large)-1][:n]...)
}

// countExcess counts an error if a bound of an answer was exceeded.
func (r *Relay) countExcess(err error) {
	switch {
	case errors.Is(err, errAnswerTooLarge):
		r.count("answers_over_bound_total", "bound", boundBody)
	case errors.Is(err, errNoRoom):
		r.count("answers_over_bound_total", "bound", boundRoom)
	case errors.Is(err, errEventTooLarge):
		r.count("answers_over_bound_total", "bound", boundEvent)
	}
}
