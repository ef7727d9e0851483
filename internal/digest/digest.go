// Package digest hashes sequences of fields, to compare content and to detect changes.
package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fields is the digest of a sequence of fields. Other sequences have other digests even if their
// bytes are the same in a row. Call Reset before the first field.
type Fields struct{ xxhash.Digest }

// AddText adds text fields.
func (d *Fields) AddText(fields ...string) {
	for _, f := range fields {
		d.AddNumbers(uint64(len(f)))
		_, _ = d.WriteString(f)
	}
}

// AddNumbers adds number fields.
func (d *Fields) AddNumbers(fields ...uint64) {
	for _, f := range fields {
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], f)
		_, _ = d.Write(raw[:])
	}
}

// Bit returns a number for a field that is true or false.
func Bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
