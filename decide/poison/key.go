package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cockroachdb/errors"
)

// Key identifies a request whoever sends it again and wherever it arrives: the first half
// of a SHA-256. A customer that wanted another's request refused would have to find a
// second preimage, and the other's name is a part of it.
type Key [sha256.Size / 2]byte

// Identity is what two requests must have in common to be the same one.
type Identity struct {
	// Customer is empty where requests need no key.
	Customer     string
	Method, Host string
	// Target is the path and query exactly as sent.
	Target string
	Body   []byte
}

// Key returns the key of a request.
func (i Identity) Key() (k Key) {
	h := sha256.New()
	writeField(h, i.Customer)
	writeField(h, i.Method)
	writeField(h, i.Host)
	writeField(h, i.Target)
	_, _ = h.Write(i.Body)
	copy(k[:], h.Sum(nil))
	return k
}

// writeField writes a field behind its length, so that no two lists of fields are the
// same bytes.
func writeField(h hash.Hash, s string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = h.Write(size[:])
	_, _ = io.WriteString(h, s)
}

// ParseKey reads what String writes.
func ParseKey(text string) (k Key, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k) {
		return k, errors.Newf("%q is no identity of a request, which has %d hexadecimal digits", text, 2*len(k))
	}
	return Key(raw), nil
}

// String implements fmt.Stringer.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
