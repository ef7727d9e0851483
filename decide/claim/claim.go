// Package claim lets a request that may not be repeated run at most once over
// all instances. A key is claimed in a ledger in the object API before its
// request may be handed to a backend server.
//
// Keys are divided into shards; each shard has one owner at a time, which
// commits claims in groups by a conditional update of the shard's last
// segment. A new owner first writes that segment itself, so a deposed owner's
// next update fails: two owners at once cost speed, never a second run.
//
// The package does no I/O and reads no clock.
package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// Shards is the number of ledgers. With Config.Spacing it bounds the writes of
// the whole fleet, whatever the load.
const Shards = 8

// Config tunes the ledgers.
type Config struct {
	// Spacing is the least time between two commits of a shard.
	Spacing time.Duration
	// Patience is how long a claim waits for its commit before it is refused
	// as not run.
	Patience time.Duration
	// MaxWaiting bounds the claims waiting in a shard.
	MaxWaiting int
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int
	// KeepKeys is how long a key is remembered; KeepAnswers how long an answer
	// stays available.
	KeepKeys    time.Duration
	KeepAnswers time.Duration
	// LedgerAnswer is the largest answer in bytes that is written to the ledger
	// and survives its owner; MaxAnswers bounds the answers in memory in bytes.
	LedgerAnswer int
	MaxAnswers   int
}

// DefaultConfig returns the values chosen by measurement.
func DefaultConfig() Config {
	return Config{
		Spacing: 100 * time.Millisecond, Patience: 3 * time.Second, MaxWaiting: 1024, SegmentBytes: 64 << 10,
		KeepKeys: 24 * time.Hour, KeepAnswers: 10 * time.Minute, LedgerAnswer: 2 << 10, MaxAnswers: 16 << 20,
	}
}

// Key is the hash of a customer's idempotency key.
type Key struct{ Hi, Lo uint64 }

// KeyOf hashes a customer's key to 128 bits.
func KeyOf(customer, key string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(customer)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	hi := d.Sum64()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hi)
	_, _ = d.Write(b[:])
	return Key{Hi: hi, Lo: d.Sum64()}
}

// Shard returns the ledger that a key belongs to.
func (k Key) Shard() int { return int(k.Lo % Shards) }

// ShardName is the name by which a shard's owner is derived.
func ShardName(i int) string { return fmt.Sprintf("claims/%02d", i) }

// OwnerOf returns the member that owns the ledger of a customer's key.
func OwnerOf(customer, key string, members []string) string {
	return place.Owner(ShardName(KeyOf(customer, key).Shard()), members)
}

// OwnedBy returns the ledgers that self owns among the members.
func OwnedBy(self string, members []string) Owned {
	var o Owned
	for i := range o.Shards {
		o.Shards[i] = place.Owner(ShardName(i), members) == self
	}
	return o
}

// Event is an input of a Machine.
type Event interface{ event() }

// Claimed asks for a claim on behalf of an instance.
type Claimed struct {
	From  string
	Claim *peerpb.Claim
}

// Resulted records where a claimed request runs, its answer or that it did not
// run.
type Resulted struct{ Result *peerpb.ClaimResult }

// Owned replaces the set of shards that this instance owns.
type Owned struct{ Shards [Shards]bool }

// Listed answers a List; a nil error means that Objects is complete.
type Listed struct {
	Shard   int
	Objects []objectapi.Object
	Err     error
	// Era is the store's era before the call.
	Era uint64
}

// Written answers a Write.
type Written struct {
	Shard   int
	ID      string
	Version uint64
	Err     error
}

// EraBegan tells that the store came back from an older copy, as of this era.
type EraBegan struct{ Era uint64 }

// Reclaimed tells of a claim that was granted to the instance that sends it, which may
// run the request or have answered it. The store may have lost it.
type Reclaimed struct{ Claim *peerpb.Reclaim }

// Tick lets time pass.
type Tick struct{}

func (EraBegan) event()  {}
func (Reclaimed) event() {}
func (Claimed) event()   {}
func (Resulted) event()  {}
func (Owned) event()     {}
func (Listed) event()    {}
func (Written) event()   {}
func (Tick) event()      {}

// Action is an output of a Machine.
type Action interface{ action() }

// Reply answers a claim.
type Reply struct {
	To    string
	Reply *peerpb.ClaimReply
}

// List reads all segments of a shard.
type List struct {
	Shard  int
	Prefix string
}

// Write updates a segment conditionally.
type Write struct {
	Shard int
	// ID tells the answers to different writes of one object apart.
	ID     string
	Key    string
	Value  []byte
	Expect uint64
}

// Remove deletes a segment whose keys need not be remembered any more.
type Remove struct {
	Key    string
	Expect uint64
}

func (Reply) action()  {}
func (List) action()   {}
func (Write) action()  {}
func (Remove) action() {}

// Machine holds the ledgers of one instance.
type Machine struct {
	self   string
	cfg    Config
	shards [Shards]*shard
	// era is the newest era of the store that is known of.
	era  uint64
	unix int64
	out  []Action
}

// New returns a machine that owns nothing.
func New(self string, cfg Config) *Machine {
	m := &Machine{self: self, cfg: cfg}
	for i := range m.shards {
		m.shards[i] = newShard(i, m)
	}
	return m
}

// Step takes an event. Now is monotonic; unix is the wall clock in seconds and
// only serves to expire old segments.
func (m *Machine) Step(now time.Duration, unix int64, ev Event) []Action {
	m.out, m.unix = m.out[:0], unix
	switch ev := ev.(type) {
	case EraBegan:
		m.beginEra(now, ev.Era)
	case Reclaimed:
		m.shards[KeyOf(ev.Claim.Customer, ev.Claim.Key).Shard()].reclaim(now, ev.Claim)
	case Claimed:
		m.shards[KeyOf(ev.Claim.Customer, ev.Claim.Key).Shard()].claim(now, ev)
	case Resulted:
		m.shards[KeyOf(ev.Result.Customer, ev.Result.Key).Shard()].result(now, ev.Result)
	case Owned:
		for i, s := range m.shards {
			s.setOwned(now, ev.Shards[i])
		}
	case Listed:
		m.beginEra(now, ev.Era)
		m.shards[ev.Shard].listed(now, ev)
	case Written:
		m.shards[ev.Shard].written(now, ev)
	case Tick:
		for _, s := range m.shards {
			s.tick(now)
		}
	}
	return m.out
}

// beginEra has all ledgers read again when the store came back from an older copy.
func (m *Machine) beginEra(now time.Duration, era uint64) {
	if era <= m.era {
		return
	}
	first := m.era == 0
	m.era = era
	if first {
		return
	}
	for _, s := range m.shards {
		s.beginEra(now)
	}
}

func (m *Machine) act(a Action) { m.out = append(m.out, a) }

// Dump describes the ledgers.
type Dump struct {
	Shards []ShardDump `json:"shards"`
}

// ShardDump describes one owned ledger.
type ShardDump struct {
	Shard    int    `json:"shard"`
	Ready    bool   `json:"ready"`
	Epoch    uint64 `json:"epoch"`
	Keys     int    `json:"keys"`
	Waiting  int    `json:"waiting"`
	Segments int    `json:"segments"`
	Commits  uint64 `json:"commits"`
	Granted  uint64 `json:"granted"`
	Deposed  uint64 `json:"deposed"`
	Unknown  uint64 `json:"unknown_outcomes"`
}

// Dump returns the state of the owned ledgers.
func (m *Machine) Dump() Dump {
	var d Dump
	for _, s := range m.shards {
		if s.owned {
			d.Shards = append(d.Shards, s.dump())
		}
	}
	return d
}
