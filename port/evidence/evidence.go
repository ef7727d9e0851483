// Package evidence is the interface to the store for the record of what crashes backend servers, which
// outlives all instances.
package evidence

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
)

// Port is the name under which a module provides the record.
const Port auburnmoor.ModuleID = "port.evidence"

// Source is implemented by the module that provides the record.
type Source interface{ Evidence() Store }

// Errors of Store.Write. A write that fails with neither may have taken effect, or may later as long as no
// other write has.
var (
	// ErrConflict means that another instance has written the record since it was read, so that nothing
	// was written.
	ErrConflict = errors.New("the record was written by another instance")
	// ErrNotWritten means that the store refused the write.
	ErrNotWritten = errors.New("the store refused to write the record")
)

// Record is the record as it was read.
type Record struct {
	// Content is a JSON value, nil if the record was never written.
	Content []byte
	// Revision is that of the record's last change, zero if it was never written.
	Revision int64
}

// Store reads and writes the record. Calls end with their context.
type Store interface {
	// Read returns the newest record; with staleOK it may be some seconds old.
	Read(ctx context.Context, staleOK bool) (Record, error)
	// Write replaces the content of the record that was read.
	Write(ctx context.Context, content []byte, read Record) error
	// Era returns the newest known era of the store. The record may be an older one in a new era.
	Era() uint64
}
