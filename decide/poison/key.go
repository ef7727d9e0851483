package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cockroachdb/errors"
)

// Key identifies a request independently of who sends it again and which instance receives
// it. It is the first half of a SHA-256 hash, which includes the customer's name: to have
// another customer's request refused, a customer would have to find a second preimage.
type Key [sha256.Size / 2]byte

// Identity holds the fields in which two requests must agree to be the same request.
type Identity struct {
	// Customer is empty if requests need no API key.
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

// writeField writes a field preceded by its length, so that different lists of fields never
// produce the same bytes.
func writeField(h hash.Hash, s string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = h.Write(size[:])
	_, _ = io.WriteString(h, s)
}

// ParseKey parses the format written by String.
func ParseKey(text string) (k Key, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k) {
		return k, errors.Newf("%q is not a request identity of %d hexadecimal digits", text, 2*len(k))
	}
	return Key(raw), nil
}

// String implements fmt.Stringer.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
