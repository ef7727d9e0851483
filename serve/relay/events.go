package relay

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/sequence"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

var (
	errEventTooLarge = errors.New("event exceeds the limit")
	errEventGap      = errors.New("an event is missing")
)

// events cuts a stream into whole events, so that a stream which breaks in the
// middle of one can be continued by another server without joining two halves.
type events struct {
	rest  []byte
	order sequence.Order
	// lastRaw is the id of the last whole event as it was sent.
	lastRaw string
}

// feed adds bytes and returns the whole events that are new, or nil. Events up
// to the last one seen are dropped; a gap is an error.
func (e *events) feed(p []byte) ([]byte, error) {
	e.rest = append(e.rest, p...)
	var out []byte
	for {
		end := bytes.Index(e.rest, []byte("\n\n"))
		if end < 0 {
			break
		}
		ev := e.rest[:end+2]
		e.rest = e.rest[end+2:]
		fresh, err := e.accept(ev)
		if err != nil {
			return out, err
		}
		if fresh {
			out = append(out, ev...)
		}
	}
	if len(e.rest) > maxEvent {
		return out, errEventTooLarge
	}
	return out, nil
}

func (e *events) accept(ev []byte) (fresh bool, err error) {
	raw, ok := eventID(ev)
	if !ok {
		return true, nil
	}
	id, err := strconv.ParseInt(raw, 10, 64)
	if err != nil {
		e.lastRaw = raw
		return true, nil
	}
	due := e.order.Following()
	switch e.order.Take(id) {
	case sequence.Again:
		return false, nil
	case sequence.Gap:
		return false, errors.Wrapf(errEventGap, "event %d where %d is due", id, due)
	default:
		e.lastRaw = raw
		return true, nil
	}
}

// partial reports whether a part of an event is left over.
func (e *events) partial() bool { return len(e.rest) > 0 }

// restart forgets the part of an event at which a stream broke.
func (e *events) restart() { e.rest = nil }

func eventID(ev []byte) (string, bool) {
	for line := range bytes.Lines(ev) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
