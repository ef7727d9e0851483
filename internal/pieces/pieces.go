// Package pieces holds what is received until it is whole, in buffers that are used again: what is given up amid
// receiving leaves no garbage behind.
package pieces

import "sync"

// Bytes is the size of a piece.
const Bytes = 16 << 10

var free = sync.Pool{New: func() any { return new([Bytes]byte) }}

// Buffer is a sequence of pieces. Its zero value is empty.
type Buffer struct {
	pieces []*[Bytes]byte
	// last is the number of bytes in the last piece.
	last int
}

// Len returns the number of bytes received, Size that of the memory in use.
func (b *Buffer) Len() int  { return max(0, len(b.pieces)-1)*Bytes + b.last }
func (b *Buffer) Size() int { return len(b.pieces) * Bytes }

// Full reports whether the next byte needs a further piece.
func (b *Buffer) Full() bool { return len(b.pieces) == 0 || b.last == Bytes }

// Space returns the free part of the last piece, of a new one if it is full.
func (b *Buffer) Space() []byte {
	if b.Full() {
		b.pieces = append(b.pieces, free.Get().(*[Bytes]byte))
		b.last = 0
	}
	return b.pieces[len(b.pieces)-1][b.last:]
}

// Advance records that bytes were received into Space.
func (b *Buffer) Advance(n int) { b.last += n }

// AppendTo appends the bytes received to a slice.
func (b *Buffer) AppendTo(out []byte) []byte {
	for i, p := range b.pieces {
		if i == len(b.pieces)-1 {
			return append(out, p[:b.last]...)
		}
		out = append(out, p[:]...)
	}
	return out
}

// Free empties the buffer and lets others use its pieces.
func (b *Buffer) Free() {
	for _, p := range b.pieces {
		free.Put(p)
	}
	*b = Buffer{}
}
