package confver

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/result"
)

// Current is the pointer as read from the store.
type Current struct {
	Pointer Pointer
	// ObjectVersion is the version of the pointer object, for the next update.
	ObjectVersion uint64
}

// ReadPointer reads the pointer object; a store without one yields version 0.
func ReadPointer(ctx context.Context, s objectapi.Store) (Current, error) {
	obj, err := s.Get(ctx, PointerKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	p, err := Decode(obj.Value)
	return Current{Pointer: p, ObjectVersion: obj.Version}, err
}

// ReadContent reads the parts that a pointer identifies and checks their digest.
func ReadContent(ctx context.Context, s objectapi.Store, p Pointer) ([]byte, error) {
	var parts [][]byte
	for i := range p.Parts {
		obj, err := s.Get(ctx, PartKey(p.Digest, i))
		if err != nil {
			return nil, errors.Wrapf(err, "part %d of configuration %d", i, p.Version)
		}
		parts = append(parts, obj.Value)
	}
	return Join(p.Digest, parts)
}

// maxWriteAttempts bounds the attempts of one write whose replies are lost.
const maxWriteAttempts = 8

// Accept stores content as the successor of version base and returns the new
// version. It succeeds only once the store holds the change, and resolves a
// lost reply by looking for the write id in the pointer.
func Accept(ctx context.Context, s objectapi.Store, content []byte, base uint64, writeID string) (uint64, error) {
	digest := Digest(content)
	parts := Split(content)
	if err := writeParts(ctx, s, digest, parts); err != nil {
		return 0, err
	}
	var lastErr error
	for range maxWriteAttempts {
		if err := ctx.Err(); err != nil {
			break
		}
		version, retry, err := acceptOnce(ctx, s, digest, len(parts), base, writeID)
		if !retry {
			return version, err
		}
		lastErr = err
	}
	return 0, errors.WithSecondaryError(
		result.New(result.StoreUnavailable, "the store did not confirm write %s; it may still take effect: %v", writeID, lastErr), lastErr)
}

// writeParts stores the parts of the content, each with several attempts.
func writeParts(ctx context.Context, s objectapi.Store, digest string, parts [][]byte) error {
	for i, part := range parts {
		var err error
		for range maxWriteAttempts {
			_, err = s.Put(ctx, PartKey(digest, i), part, 0)
			// A conflict means that the part exists; its key determines its content.
			if err == nil || errors.Is(err, objectapi.ErrConflict) || ctx.Err() != nil {
				break
			}
		}
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			return result.New(result.StoreUnavailable, "storing part %d: %v", i, err)
		}
	}
	return nil
}

// acceptOnce reads the pointer, looks for the write id and updates the pointer with
// a compare-and-swap. It is idempotent: a write that took effect is found by its id,
// and one that is still in flight cannot take effect after a repeated one, because
// the object's version has changed.
func acceptOnce(ctx context.Context, s objectapi.Store, digest string, parts int, base uint64, writeID string) (version uint64, retry bool, err error) {
	cur, err := ReadPointer(ctx, s)
	if err != nil {
		return 0, true, err
	}
	if v, ok := cur.Pointer.Find(writeID); ok {
		return v, false, nil
	}
	if cur.Pointer.Version != base {
		return 0, false, result.New(result.ConfigConflict, "version %d is in force, the change was made against %d", cur.Pointer.Version, base)
	}
	next := cur.Pointer.Next(s.Era(), writeID, digest, parts)
	raw, err := next.Encode()
	if err != nil {
		return 0, false, err
	}
	_, err = s.Put(ctx, PointerKey, raw, cur.ObjectVersion)
	if err != nil {
		return 0, true, err
	}
	return next.Version, false, nil
}
