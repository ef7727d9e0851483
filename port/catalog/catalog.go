// Package catalog is the port to where the operators' configuration and the
// list of backend servers are kept and watched.
package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Port is the name under which a module provides the catalog.
const Port auburnmoor.ModuleID = "port.catalog"

// Source is implemented by the module that provides the catalog.
type Source interface{ Catalog() Catalog }

// Errors of the port.
var (
	// ErrHistoryGone tells that changes since the asked position are no longer known, or
	// that the store is in a later era; the whole must be read again.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrOldEra tells that an answer is of an earlier era than one that is known of.
	ErrOldEra = errors.New("answer of the store is of an earlier era")
	// ErrUnreadable tells that a configuration cannot be read; the position that comes
	// with it is the one to watch from.
	ErrUnreadable = errors.New("configuration cannot be read")
	// ErrNone tells that no configuration was accepted by the position that comes with
	// it.
	ErrNone = errors.New("no configuration accepted yet")
)

// Servers is the whole list of servers.
type Servers struct {
	Servers []backends.Server
	At      position.Position
	// Unreadable are entries that name no server to use.
	Unreadable []Unreadable
}

// Unreadable is an entry that cannot be read: of another writer, or cut off.
type Unreadable struct {
	// Name is empty if it cannot be read either.
	Name string
	Why  error
}

// ServerChanges leads from a position to the next of the same era.
type ServerChanges struct {
	Changes []backends.Change
	At      position.Position
	// Unreadable are entries that changed and name no server to use any more; Changes
	// takes them out.
	Unreadable []Unreadable
}

// Config is a version with the position at which it was read.
type Config struct {
	Config route.Config
	Raw    []byte
	At     position.Position
}

// Catalog reads and watches. Every call ends with its context.
type Catalog interface {
	// Servers and Config read the whole, as it was some seconds ago if that will do.
	Servers(ctx context.Context, staleOK bool) (Servers, error)
	// WatchServers waits for changes after a position, at most for wait.
	WatchServers(ctx context.Context, after position.Position, wait time.Duration) (ServerChanges, error)
	Config(ctx context.Context, staleOK bool) (Config, error)
	// WatchConfig returns a nil Config when nothing changed within wait.
	WatchConfig(ctx context.Context, after position.Position, wait time.Duration) (*Config, position.Position, error)
	// Decode reads a configuration that another instance passed on.
	Decode(raw []byte) (Config, error)
	// EraKnown notes an era of the store that another instance told of. It ends watches
	// of earlier ones, and answers of those are not taken any more.
	EraKnown(era uint64)
	// Era is the newest era that is known of, zero for none.
	Era() uint64
}
