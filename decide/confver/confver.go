// Package confver decides how versions of the configuration are accepted and
// adopted. It does no I/O itself: the given store carries out the reads and writes.
package confver

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// maxRecent bounds the write ids kept in the pointer object. A writer whose
// reply was lost finds its id there for that many further changes.
const maxRecent = 32

// Pointer is the object that identifies the version in force.
type Pointer struct {
	Version uint64 `json:"version"`
	WriteID string `json:"write_id"`
	// Digest identifies the immutable parts of the content, Parts is their number.
	Digest string `json:"digest"`
	Parts  int    `json:"parts"`
	// Era is the store's era in which the version was accepted.
	Era uint64 `json:"era,omitempty"`
	// Recent holds the write ids of the last accepted versions.
	Recent []Accepted `json:"recent"`
}

// Accepted is a write id with the version assigned to it.
type Accepted struct {
	WriteID string `json:"write_id"`
	Version uint64 `json:"version"`
}

// Decode parses a pointer object; empty input yields the pointer before version 1.
func Decode(raw []byte) (Pointer, error) {
	var p Pointer
	if len(raw) == 0 {
		return p, nil
	}
	return p, errors.Wrap(json.Unmarshal(raw, &p), "configuration pointer")
}

// Encode returns the stored form of the pointer.
func (p Pointer) Encode() ([]byte, error) { return json.Marshal(p) }

// eraStep exceeds the number of versions that can be accepted in the seconds that a store
// loses when it is restored from an older copy.
const eraStep = 1 << 20

// Next returns the pointer that follows p in an era of the store. In a later era than that
// of p, the store may have lost versions after p that are in force. Version numbers are never
// reused for other content, so those that may have been assigned are skipped.
func (p Pointer) Next(era uint64, writeID, digest string, parts int) Pointer {
	fromEra := max(p.Era, objectapi.FirstEra)
	next := Pointer{Version: p.Version + 1, Era: max(era, fromEra), WriteID: writeID, Digest: digest, Parts: parts}
	next.Version += eraStep * (next.Era - fromEra)
	next.Recent = append(slices.Clone(p.Recent), Accepted{WriteID: writeID, Version: next.Version})
	if excess := len(next.Recent) - maxRecent; excess > 0 {
		next.Recent = next.Recent[excess:]
	}
	return next
}

// Find returns the version assigned to a write id, if it is among the recent ones.
func (p Pointer) Find(writeID string) (uint64, bool) {
	for _, a := range p.Recent {
		if a.WriteID == writeID {
			return a.Version, true
		}
	}
	return 0, false
}

// Holder holds the newest version seen. Versions arrive from the store, from
// peers and from stale reads in any order; adopting only higher ones prevents
// an accepted configuration from being reverted.
type Holder struct {
	version uint64
	content []byte
}

// Adopt replaces the content if the version is newer and reports whether it did.
func (h *Holder) Adopt(version uint64, content []byte) bool {
	if version <= h.version {
		return false
	}
	h.version, h.content = version, content
	return true
}

// Version returns the version held; zero means none.
func (h *Holder) Version() uint64 { return h.version }

// Content returns the content held.
func (h *Holder) Content() []byte { return h.content }
