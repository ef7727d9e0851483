package relay

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/sequence"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	errEventGap      = errors.New("an event is missing")
)

// eventSplitter splits a stream into whole events. A stream that breaks off inside an
// event can then be resumed at another server without joining two partial events.
type eventSplitter struct {
	buffered []byte
	order    sequence.Order
	// lastID is the id of the last whole event as it was sent.
	lastID string
}

// feed adds bytes and returns the whole events that are new, or nil. Events that
// were returned before are dropped; a gap in the numbers is an error.
func (e *eventSplitter) feed(p []byte) ([]byte, error) {
	e.buffered = append(e.buffered, p...)
	var out []byte
	for {
		end := bytes.Index(e.buffered, eventEnd)
		if end < 0 {
			break
		}
		ev := e.buffered[:end+len(eventEnd)]
		e.buffered = e.buffered[end+len(eventEnd):]
		fresh, err := e.checkOrder(ev)
		if err != nil {
			return out, err
		}
		if fresh {
			out = append(out, ev...)
		}
	}
	if len(e.buffered) > maxEventBytes {
		return out, errEventTooLarge
	}
	return out, nil
}

// checkOrder reports whether an event is new. Events without a number always are.
func (e *eventSplitter) checkOrder(ev []byte) (fresh bool, err error) {
	raw, ok := eventID(ev)
	if !ok {
		return true, nil
	}
	id, err := strconv.ParseInt(raw, 10, 64)
	if err != nil {
		e.lastID = raw
		return true, nil
	}
	expected := e.order.Expected()
	switch e.order.Take(id) {
	case sequence.Duplicate:
		return false, nil
	case sequence.Gap:
		return false, errors.Wrapf(errEventGap, "event %d, expected %d", id, expected)
	default:
		e.lastID = raw
		return true, nil
	}
}

// partial reports whether the stream so far ends inside an event.
func (e *eventSplitter) partial() bool { return len(e.buffered) > 0 }

// discardPartial drops the incomplete event at which a stream broke off.
func (e *eventSplitter) discardPartial() { e.buffered = nil }

func eventID(ev []byte) (string, bool) {
	for line := range bytes.Lines(ev) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
