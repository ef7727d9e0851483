// Package catalog is the interface to the store that keeps the operators'
// configuration and the list of backend servers, and lets both be watched.
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

// Errors of Catalog.
var (
	// ErrHistoryGone means that the changes since the given position are no longer
	// known, or that the store is in a later era. The full state must be read again.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrOldEra means that an answer is from an earlier era than the newest known one.
	ErrOldEra = errors.New("answer of the store is of an earlier era")
	// ErrUnreadable means that a configuration cannot be decoded. The position returned
	// with it is the one to watch from.
	ErrUnreadable = errors.New("configuration cannot be read")
	// ErrRefused means that the store answered a call with an unsuccessful status.
	ErrRefused = errors.New("the store refused the call")
	// ErrMalformed means that an answer of the store cannot be decoded. Changes that are returned with it are
	// those that could be read; others may be missing, so the full state must be read again.
	ErrMalformed = errors.New("answer of the store cannot be read")
	// ErrNoConfig means that no configuration was accepted up to the position returned with
	// it.
	ErrNoConfig = errors.New("no configuration accepted yet")
)

// Servers is the full list of servers.
type Servers struct {
	Servers []backends.Server
	At      position.Position
	// AtLeast is set if the list may be newer than At, because its position cannot be read.
	AtLeast bool
	// Unreadable are the entries that do not describe a usable server.
	Unreadable []Unreadable
}

// Unreadable is an entry that cannot be decoded: written by another program, or
// truncated.
type Unreadable struct {
	// Name is empty if it cannot be decoded either.
	Name string
	Why  error
}

// ServerChanges holds the changes from one position to a later one of the same era.
type ServerChanges struct {
	Changes []backends.Change
	At      position.Position
	// Unreadable are the changed entries that no longer describe a usable server;
	// Changes removes their servers.
	Unreadable []Unreadable
}

// Evacuations is the full list of evacuated data centres, whose servers get no new requests.
type Evacuations struct {
	// DataCentres is sorted by name.
	DataCentres []string
	At          position.Position
	// AtLeast is set if the state may be newer than At, because its position cannot be read.
	AtLeast bool
}

// EvacuationChange is the beginning or the end of the evacuation of a data centre.
type EvacuationChange struct {
	DataCentre string
	Evacuated  bool
}

// EvacuationChanges holds the changes from one position to a later one of the same era.
type EvacuationChanges struct {
	Changes []EvacuationChange
	At      position.Position
}

// Config is a configuration with the position at which it was read.
type Config struct {
	Config route.Config
	Raw    []byte
	At     position.Position
}

// Catalog reads and watches the configuration and the list of servers. Every call
// returns when its context ends.
type Catalog interface {
	// Servers and Config read the full state; with staleOK it may be some seconds old.
	Servers(ctx context.Context, staleOK bool) (Servers, error)
	// WatchServers waits up to wait for changes after a position.
	WatchServers(ctx context.Context, after position.Position, wait time.Duration) (ServerChanges, error)
	Config(ctx context.Context, staleOK bool) (Config, error)
	// WatchConfig returns a nil Config when nothing changed within wait.
	WatchConfig(ctx context.Context, after position.Position, wait time.Duration) (*Config, position.Position, error)
	// Evacuations and WatchEvacuations are Servers and WatchServers for evacuated data centres.
	Evacuations(ctx context.Context, staleOK bool) (Evacuations, error)
	WatchEvacuations(ctx context.Context, after position.Position, wait time.Duration) (EvacuationChanges, error)
	// Decode decodes a configuration received from another instance.
	Decode(raw []byte) (Config, error)
	// ObserveEra records an era of the store that another instance reported. It ends
	// watches of earlier eras, and answers from those are rejected from then on.
	ObserveEra(era uint64)
	// Era returns the newest known era, or zero.
	Era() uint64
}
