// Package ratelimit decides how the instances together keep to the limits that backend servers
// name: which limits are in force, which instance grants permits for a server, and which
// request gets the next one.
//
// The package does no I/O and reads no clock.
package ratelimit

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// endedFor is how long the end of a limit is told to others.
const endedFor = 5 * time.Second

// Key is a hash that identifies one life of a server.
type Key uint64

// KeyOf returns the key of a server in one life.
func KeyOf(server string, life backends.Life) Key {
	return Key(xxhash.Sum64String(server + "\x00" + strconv.FormatInt(int64(life), 10)))
}

// Limit is what a server's newest answer says of the requests that it takes.
type Limit struct {
	// Named is unset if the server names no limit, any more.
	Named bool
	// PerSecond is the rate that all instances together may send; zero means none.
	PerSecond float64
}

// Record is a limit and when it was heard of.
type Record struct {
	Limit
	// Heard is when the newest answer that says so arrived, Changed when the first one did, Since
	// when the server first named a limit, this or another.
	Heard, Changed, Since time.Duration
}

// Table holds the limits in force as one instance knows them. It is not safe for concurrent use.
type Table struct{ records map[Key]Record }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]Record{}} }

// Set records what an answer said that was heard at a time, by this instance or another, and
// reports whether that changes what is in force.
func (t *Table) Set(heard time.Duration, key Key, l Limit) bool {
	old, known := t.records[key]
	switch {
	case !known && !l.Named, known && heard < old.Heard:
		return false
	case !old.Named:
		t.records[key] = Record{l, heard, heard, heard}
		return l.Named
	case old.Limit != l:
		t.records[key] = Record{l, heard, heard, old.Since}
		return true
	default:
		t.records[key] = Record{l, heard, old.Changed, old.Since}
		return false
	}
}

// Get returns the limit in force for a server, if there is one.
func (t *Table) Get(key Key) (Record, bool) {
	r := t.records[key]
	return r, r.Named
}

// All returns the limits in force and those that ended lately.
func (t *Table) All(now time.Duration) map[Key]Record {
	out := map[Key]Record{}
	for key, r := range t.records {
		if r.Named || now-r.Heard < endedFor {
			out[key] = r
		}
	}
	return out
}

// ChangedSince returns the limits that were named, changed or ended since a time.
func (t *Table) ChangedSince(since time.Duration) map[Key]Record {
	out := map[Key]Record{}
	for key, r := range t.records {
		if r.Changed >= since {
			out[key] = r
		}
	}
	return out
}

// Limited returns the servers whose limits are in force.
func (t *Table) Limited() (out []Key) {
	for key, r := range t.records {
		if r.Named {
			out = append(out, key)
		}
	}
	return out
}

// Retain drops what is known of servers that are gone, and limits that ended long ago.
func (t *Table) Retain(now time.Duration, listed func(Key) bool) {
	for key, r := range t.records {
		if !listed(key) || !r.Named && now-r.Heard >= endedFor {
			delete(t.records, key)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }
