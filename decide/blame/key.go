package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies what may be the cause of crashes: a part of prompts, on servers of one service, or a
// whole request. It is a part of a SHA-256 hash: to have another's parts
// refused or cleared, a customer would have to find a second preimage.
type Key uint64

// partBit is set in the keys of parts.
const partBit Key = 1 << 63

// PartKey returns the key of a part of prompts.
func PartKey(service, id string) Key {
	h := make([]byte, 0, len(service)+len(id)+16)
	// Instances of earlier versions have the version of the servers in the middle; of servers without one
	// they have the same keys.
	for _, field := range []string{service, "", id} {
		h = binary.LittleEndian.AppendUint64(h, uint64(len(field)))
		h = append(h, field...)
	}
	sum := sha256.Sum256(h)
	return Key(binary.LittleEndian.Uint64(sum[:])) | partBit
}

// Version is a hash of the version of a server's software, zero if it is not known.
type Version uint64

// VersionOf returns the hash of a version.
func VersionOf(version string) Version { return Version(xxhash.Sum64String(version) | 1) }

// RequestKey returns the key of a whole request with a hash of at least eight bytes.
func RequestKey(hash []byte) Key { return Key(binary.LittleEndian.Uint64(hash)) &^ partBit }

// IsPart reports whether the key is that of a part.
func (k Key) IsPart() bool { return k&partBit != 0 }

// String implements fmt.Stringer.
func (k Key) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(k)))
}

// ParseKey parses the format written by String.
func ParseKey(text string) (Key, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 8 {
		return 0, errors.Newf("%q is not a key of 16 hexadecimal digits", text)
	}
	return Key(binary.BigEndian.Uint64(raw)), nil
}

// Run is what a request has that may crash a server.
type Run struct {
	// Version is that of the server.
	Version Version
	// Parts are the shared parts of its prompt.
	Parts []Key
	// Request is the whole request.
	Request Key
	// Tries is the part that the run is the trial of, zero for none.
	// Probes is the suspected part that only this run of the fleet has, zero for none.
	Tries, Probes Key
}

// has reports whether the run has a key.
func (r Run) has(k Key) bool {
	if k == r.Request {
		return true
	}
	for _, p := range r.Parts {
		if p == k {
			return true
		}
	}
	return false
}

// keys returns all keys of the run; the zero Run has none.
func (r Run) keys() []Key {
	if r.Request == 0 {
		return r.Parts
	}
	return append([]Key{r.Request}, r.Parts...)
}
