package relay

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/internal/pieces"
)

// Bounds of the answers that are read to their end before they are sent on. Those of the services have
// about 1 KiB.
const (
	// maxAnswerBytes is the size in bytes from which an answer is given up.
	maxAnswerBytes = 4 << 20
	// smallAnswerBytes is read of every answer. What an answer needs beyond it is taken from roomBytes,
	// which all answers share until they are sent.
	smallAnswerBytes = 8 << 10
	roomBytes        = 6 << 20
	// firstBufferBytes is the size of the first buffer of an answer.
	firstBufferBytes = 2 << 10
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

// answerRoom is the memory for large answers. If it does not suffice, the largest answer is given up: one
// that has no end becomes that sooner or later, and small ones go on.
type answerRoom struct {
	mu   sync.Mutex
	room *room.Room
	held map[*room.Holder]*heldAnswer
}

func newAnswerRoom() *answerRoom {
	return &answerRoom{room: room.New(room.Config{Bytes: roomBytes, Policy: room.Largest}), held: map[*room.Holder]*heldAnswer{}}
}

// heldAnswer is an answer that takes memory of a room.
type heldAnswer struct {
	room   *answerRoom
	holder *room.Holder
	// giveUp ends the reading or the sending of the answer.
	giveUp  func()
	evicted bool
}

// enter adds an answer that takes no memory yet.
func (r *answerRoom) enter(giveUp func()) *heldAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, _, _ := r.room.Enter(0, room.Entry{Length: room.Unknown}, 0)
	a := &heldAnswer{room: r, holder: h, giveUp: giveUp}
	r.held[h] = a
	return a
}

// grow takes memory for an answer and reports whether the answer goes on.
func (a *heldAnswer) grow(n int) bool {
	r := a.room
	r.mu.Lock()
	defer r.mu.Unlock()
	victims, ok := r.room.Grow(0, a.holder, int64(n))
	if !ok {
		victims = append(victims, a.holder)
	}
	for _, h := range victims {
		r.evict(h)
	}
	return ok
}

// evict takes the memory of an answer away; r.mu must be held.
func (r *answerRoom) evict(h *room.Holder) {
	if a := r.held[h]; a != nil {
		delete(r.held, h)
		a.evicted = true
		a.giveUp()
	}
}

// send has giveUp end the sending of a whole answer from now on, and reports whether the answer still has its memory.
// An answer without any is nil.
func (a *heldAnswer) send(giveUp func()) bool {
	if a == nil {
		return true
	}
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	a.giveUp = giveUp
	return !a.evicted
}

// release returns the memory and reports whether the answer was given up.
func (a *heldAnswer) release() (evicted bool) {
	if a == nil {
		return false
	}
	r := a.room
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Leave(0, a.holder)
	delete(r.held, a.holder)
	return a.evicted
}

// readWhole reads an answer to its end. It calls giveUp if the memory is needed for smaller ones. The memory is to be
// released once the answer is sent.
func (r *answerRoom) readWhole(answer io.Reader, giveUp func()) ([]byte, *heldAnswer, error) {
	small, ended, err := readSmall(answer)
	if ended || err != nil {
		return small, nil, err
	}
	held := r.enter(giveUp)
	body, err := held.readRest(small, answer)
	if err == nil && held.send(giveUp) {
		return body, held, nil
	}
	if held.release() {
		err = errNoRoom
	}
	return nil, nil, err
}

// readRest reads an answer of which the beginning is known.
func (a *heldAnswer) readRest(small []byte, answer io.Reader) ([]byte, error) {
	var large pieces.Buffer
	defer large.Free()
	for len(small)+large.Len() < maxAnswerBytes {
		if !a.grow(pieces.Bytes) {
			return nil, errNoRoom
		}
		n, ended, err := fill(answer, large.Space())
		large.Advance(n)
		if err != nil {
			return nil, err
		}
		if ended {
			return large.AppendTo(append(make([]byte, 0, len(small)+large.Len()), small...)), nil
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
