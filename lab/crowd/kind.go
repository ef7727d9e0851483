package crowd

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names what the clients of a crowd do.
type Kind string

// The kinds of crowds.
const (
	// Bodies, SlowBodies, Chunks and TinyChunks stop just short of the end of a body: sent at once, piece by piece, in
	// large chunks, in chunks of one byte.
	Bodies     Kind = "bodies"
	SlowBodies Kind = "slow-bodies"
	Chunks     Kind = "chunks"
	TinyChunks Kind = "tiny-chunks"
	// Finished bodies are sent whole. Huge bodies are announced far over any limit, Endless ones sent without an end.
	Finished Kind = "finished"
	Huge     Kind = "huge"
	Endless  Kind = "endless"
	// Heads sends headers without an end, Idle nothing at all, SentAhead requests behind one another.
	Heads     Kind = "heads"
	Idle      Kind = "idle"
	SentAhead Kind = "sent-ahead"
	// Unread reads no answer.
	Unread Kind = "unread"
)

// Kinds lists all kinds.
var Kinds = []Kind{Bodies, SlowBodies, Chunks, TinyChunks, Finished, Huge, Endless, Heads, Idle, SentAhead, Unread}

// Sizes and times of the kinds.
const (
	hugeBytes    = 10 << 30
	endlessBytes = 1 << 30
	headBytes    = 1 << 20
	aheadBytes   = 8 << 20
	slowPause    = 60 * time.Millisecond
	shortBody    = 100
)

// ParseKind returns the kind with a name.
func ParseKind(name string) (Kind, error) {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		if string(k) == name {
			return k, nil
		}
		names[i] = string(k)
	}
	return "", errors.Newf("no kind of crowd is named %q; there are %s", name, strings.Join(names, ", "))
}

// Member returns what a client of a kind sends; body is the length of a body inside the limits, in bytes.
func (k Kind) Member(r Request, body int) Member {
	switch k {
	case SlowBodies:
		return r.Announced(body, slowPause)
	case Chunks:
		return r.Chunked(body-1, largeChunk)
	case TinyChunks:
		return r.Chunked(body/4, 1)
	case Finished:
		return r.Whole(body)
	case Huge:
		return r.Announced(hugeBytes, 0)
	case Endless:
		return r.Chunked(endlessBytes, largeChunk)
	case Heads:
		return r.Headers(headBytes)
	case Idle:
		return Silent
	case SentAhead:
		return r.Ahead(aheadBytes)
	case Unread:
		return r.Whole(shortBody)
	default:
		return r.Announced(body, 0)
	}
}
