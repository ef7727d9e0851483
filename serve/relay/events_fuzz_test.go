package relay

import (
	"bytes"
	"testing"
)

// feedPieces splits a stream that arrives in pieces.
func feedPieces(t *testing.T, raw []byte, piece int) (out []byte, e *eventSplitter, err error) {
	e = &eventSplitter{}
	for len(raw) > 0 {
		n := min(len(raw), piece)
		events, err := e.feed(raw[:n])
		out = append(out, events...)
		if err != nil {
			return out, e, err
		}
		if len(e.buffered) > maxEventBytes {
			t.Fatalf("%d bytes of an event are kept", len(e.buffered))
		}
		raw = raw[n:]
	}
	return out, e, nil
}

// FuzzEvents checks that a stream is split into the same whole events however it arrives.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\nid: 3\nda"), 1)
	f.Add([]byte("id: 1\n\nid: 3\n\n"), 4)
	f.Add([]byte("\n\n\n\nid:x\n\nid: -1\n\n"), 3)
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		piece = min(max(piece, 1), readBufferBytes)
		out, e, err := feedPieces(t, raw, piece)
		whole, f, wholeErr := feedPieces(t, raw, 1)
		if !bytes.Equal(out, whole) || (err == nil) != (wholeErr == nil) || err == nil && (e.lastID != f.lastID || e.partial() != f.partial()) {
			t.Fatalf("%q: %q and %v in pieces of %d, %q and %v byte by byte", raw, out, err, piece, whole, wholeErr)
		}
		if len(out) > 0 && !bytes.HasSuffix(out, []byte("\n\n")) {
			t.Fatalf("%q: %q ends inside an event", raw, out)
		}
	})
}
