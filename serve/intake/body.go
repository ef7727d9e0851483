package intake

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/internal/pieces"
	"github.com/auburnmoor/auburnmoor/result"
)

// Sizes of the buffers into which a body is read, in bytes.
const (
	// firstBuffer is the first buffer of a body of unknown length. Of a body whose length is known, probeBuffer is
	// received before the rest is allocated.
	firstBuffer = 4 << 10
	probeBuffer = 32 << 10
)

var (
	// errEvicted is the error of a body whose memory was taken away for others.
	errEvicted = errors.New("the memory of the body was needed for others")
	// ErrTooLarge is the error of a body beyond its limit.
	ErrTooLarge = errors.New("the body exceeds its limit")
)

// Body is a body that is to be received.
type Body struct {
	room.Entry
	Reader io.Reader
	// Limit is the most bytes that it may have.
	Limit int64
}

// ReadBody receives a body. The memory is released with the lease, which is nil if there is a refusal or an error.
// Stop makes a pending read of the body return.
func (i *Intake) ReadBody(b Body, stop func()) ([]byte, *Lease, *result.Error, error) {
	if b.Length == 0 {
		return nil, nil, nil, nil
	}
	lease, refusal := i.Enter(b.Entry, max(b.Length, firstBuffer), stop)
	if refusal != nil {
		return nil, nil, refusal, nil
	}
	var raw []byte
	var err error
	if b.Length >= 0 {
		raw, err = lease.readAnnounced(b)
	} else {
		raw, err = lease.readUnknown(b)
	}
	if err == nil && lease.Complete() {
		return raw, lease, nil, nil
	}
	evicted := lease.Evicted()
	lease.Release()
	if evicted {
		return nil, nil, i.Full(int64(len(raw))), nil
	}
	return nil, nil, nil, err
}

// unfinished are the buffers of large bodies that did not come whole. They are used again: clients that stop short of the
// end would leave one after the other to the garbage collector.
var unfinished sync.Pool

// newLarge returns a buffer of a size with any content.
func newLarge(size int) []byte {
	if used, ok := unfinished.Get().(*[]byte); ok && cap(*used) >= size && cap(*used) <= 2*size {
		return (*used)[:size]
	}
	return make([]byte, size)
}

// readAnnounced reads a body of known length.
func (l *Lease) readAnnounced(b Body) ([]byte, error) {
	raw := make([]byte, min(b.Length, probeBuffer))
	n, err := l.fill(b.Reader, raw)
	if err == nil && int64(n) < b.Length {
		probe := raw
		raw = newLarge(int(b.Length))
		copy(raw, probe)
		if _, err = l.fill(b.Reader, raw[n:]); err != nil {
			unfinished.Put(&raw)
		}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return raw, err
}

// joinedCopies is how often a body of unknown length is in memory once it is whole: it is brought into one buffer then.
const joinedCopies = 2

// readUnknown reads a body to its end. The memory for all copies is taken as it comes: one that was sent whole is not
// refused for them.
func (l *Lease) readUnknown(b Body) ([]byte, error) {
	first := make([]byte, firstBuffer)
	n, err := l.fill(b.Reader, first)
	if errors.Is(err, io.EOF) {
		if int64(n) > b.Limit {
			return nil, ErrTooLarge
		}
		return first[:n], nil
	}
	if err != nil {
		return nil, err
	}
	var rest pieces.Buffer
	defer rest.Free()
	for {
		if rest.Full() && !l.Grow(joinedCopies*pieces.Bytes) {
			return nil, errEvicted
		}
		k, err := b.Reader.Read(rest.Space())
		rest.Advance(k)
		l.Receive(k)
		whole := n + rest.Len()
		switch {
		case int64(whole) > b.Limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return l.join(first, &rest), nil
		case err != nil:
			return nil, err
		}
	}
}

// join brings a body into one buffer.
func (l *Lease) join(first []byte, rest *pieces.Buffer) []byte {
	size := len(first) + rest.Len()
	out := rest.AppendTo(append(make([]byte, 0, size), first...))
	l.Shrink(int64(firstBuffer + joinedCopies*rest.Size() - size))
	return out
}

// fill reads until a buffer is full. The error is io.EOF if the body ended before.
func (l *Lease) fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) {
		var k int
		k, err = r.Read(p[n:])
		n += k
		l.Receive(k)
		if err != nil && n == len(p) && errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
