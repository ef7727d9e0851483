// Package catalog is the port to where the operators' configuration and the
// list of backend servers are kept and watched.
package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// Port is the name under which a module provides the catalog.
const Port auburnmoor.ModuleID = "port.catalog"

// Source is implemented by the module that provides the catalog.
type Source interface{ Catalog() Catalog }

// Errors of the port.
var (
	// ErrHistoryGone tells that changes since the asked revision are no longer
	// known; the whole must be read again.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrUnreadable tells that a configuration cannot be read; the revision that comes
	// with it is the one to watch from.
	ErrUnreadable = errors.New("configuration cannot be read")
	// ErrNone tells that no configuration was accepted by the revision that comes with
	// it.
	ErrNone = errors.New("no configuration accepted yet")
)

// Servers is the whole list of servers.
type Servers struct {
	Servers  []backends.Server
	Revision int64
	// Unreadable are entries that name no server to use.
	Unreadable []Unreadable
}

// Unreadable is an entry that cannot be read: of another writer, or cut off.
type Unreadable struct {
	// Name is empty if it cannot be read either.
	Name string
	Why  error
}

// ServerChanges leads from a revision to the next.
type ServerChanges struct {
	Changes  []backends.Change
	Revision int64
	// Unreadable are entries that changed and name no server to use any more; Changes
	// takes them out.
	Unreadable []Unreadable
}

// Config is a version with the revision of its last change.
type Config struct {
	Config   route.Config
	Raw      []byte
	Revision int64
}

// Catalog reads and watches. Every call ends with its context.
type Catalog interface {
	// Servers and Config read the whole, as it was some seconds ago if that will do.
	Servers(ctx context.Context, staleOK bool) (Servers, error)
	// WatchServers waits for changes after a revision, at most for wait.
	WatchServers(ctx context.Context, after int64, wait time.Duration) (ServerChanges, error)
	Config(ctx context.Context, staleOK bool) (Config, error)
	// WatchConfig returns a nil Config when nothing changed within wait.
	WatchConfig(ctx context.Context, after int64, wait time.Duration) (*Config, int64, error)
	// Decode reads a configuration that another instance passed on.
	Decode(raw []byte) (Config, error)
}
