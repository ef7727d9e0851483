package confver

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"
)

// PartSize is the maximum content of one part object in bytes, below the platform's limit.
const PartSize = 900 << 10

// Keys of the objects in the store.
const (
	PointerKey = "config/current"
	partPrefix = "config/part/"
)

// WatchDuty is the key by which the instances that watch the store are chosen.
const WatchDuty = "config-watch"

// Digest returns the SHA-256 of content in hex.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// PartKey returns the key of part i of the content with this digest. Parts are immutable
// and addressed by content, so a reader can never combine parts of two versions.
func PartKey(digest string, i int) string { return fmt.Sprintf("%s%s-%d", partPrefix, digest, i) }

// Split cuts content into parts.
func Split(content []byte) [][]byte {
	var out [][]byte
	for len(content) > PartSize {
		out = append(out, content[:PartSize])
		content = content[PartSize:]
	}
	return append(out, content)
}

// Join concatenates parts and checks them against the digest.
func Join(digest string, parts [][]byte) ([]byte, error) {
	content := bytes.Join(parts, nil)
	if Digest(content) != digest {
		return nil, errors.Newf("configuration parts do not match digest %s", digest)
	}
	return content, nil
}
