// Package claim guarantees that a request that must not be repeated runs at most once
// across all instances. Its idempotency key is claimed in a ledger, kept in the object API,
// before the request may be sent to a backend server.
//
// Keys are divided into shards. Each shard has one owner at a time, which commits claims in
// batches by a conditional update of the shard's last segment. A new owner first writes
// that segment itself, which fences off the previous owner: its next update fails. Two
// concurrent owners cost throughput but never run a request twice.
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

// Shards is the number of ledgers. Together with Config.MinCommitInterval it bounds the
// write rate of the whole fleet, whatever the load.
const Shards = 8

// Config holds the limits of the ledgers.
type Config struct {
	// MinCommitInterval is the minimum time between two commits of a shard.
	MinCommitInterval time.Duration
	// ClaimTimeout is how long a claim waits for its commit before it is refused as not
	// run.
	ClaimTimeout time.Duration
	// MaxWaiting bounds the claims that wait in a shard.
	MaxWaiting int
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int
	// KeyRetention is how long a key is remembered, AnswerRetention how long an answer
	// stays available.
	KeyRetention    time.Duration
	AnswerRetention time.Duration
	// MaxLedgerAnswer is the largest answer, in bytes, that is written to the ledger and so
	// survives its owner. MaxAnswerMemory bounds the answers kept in memory, in bytes.
	MaxLedgerAnswer int
	MaxAnswerMemory int
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		MinCommitInterval: 100 * time.Millisecond, ClaimTimeout: 3 * time.Second, MaxWaiting: 1024, SegmentBytes: 64 << 10,
		KeyRetention: 24 * time.Hour, AnswerRetention: 10 * time.Minute, MaxLedgerAnswer: 2 << 10, MaxAnswerMemory: 16 << 20,
	}
}

// Key is the hash of a customer name and its idempotency key.
type Key struct{ Hi, Lo uint64 }

// KeyOf hashes a customer's idempotency key to 128 bits.
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

// Shard returns the index of the ledger that holds the key.
func (k Key) Shard() int { return int(k.Lo % Shards) }

// ShardName is the name from which a shard's owner is derived.
func ShardName(i int) string { return fmt.Sprintf("claims/%02d", i) }

// OwnerOf returns the member that owns the ledger of a customer's key.
func OwnerOf(customer, key string, members []string) string {
	return place.Owner(ShardName(KeyOf(customer, key).Shard()), members)
}

// ShardsOwnedBy returns the ledgers that self owns among the members.
func ShardsOwnedBy(self string, members []string) OwnershipChanged {
	var o OwnershipChanged
	for i := range o.Shards {
		o.Shards[i] = place.Owner(ShardName(i), members) == self
	}
	return o
}

// Event is an input of a Machine.
type Event interface{ event() }

// ClaimRequested asks for a claim on behalf of an instance.
type ClaimRequested struct {
	From  string
	Claim *peerpb.Claim
}

// ResultReported tells where a claimed request runs, what its answer is or that it did not
// run.
type ResultReported struct{ Result *peerpb.ClaimResult }

// OwnershipChanged replaces the set of shards that this instance owns.
type OwnershipChanged struct{ Shards [Shards]bool }

// Listed answers a List. Objects is complete if Err is nil.
type Listed struct {
	Shard   int
	Objects []objectapi.Object
	Err     error
	// Era is the store's era before the call; EraReported explains it.
	Era uint64
}

// Written answers a Write.
type Written struct {
	Shard   int
	ID      string
	Version uint64
	Err     error
}

// EraReported reports the store's era. An era later than the known one means that the store
// was restored from an older copy.
type EraReported struct{ Era uint64 }

// Reclaimed repeats a claim that was granted to the sending instance before the store was
// restored and that the store may have lost. That instance may have run the request.
type Reclaimed struct{ Claim *peerpb.Reclaim }

// Tick triggers timeouts, retries and expiry.
type Tick struct{}

func (EraReported) event()      {}
func (Reclaimed) event()        {}
func (ClaimRequested) event()   {}
func (ResultReported) event()   {}
func (OwnershipChanged) event() {}
func (Listed) event()           {}
func (Written) event()          {}
func (Tick) event()             {}

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
	// ID distinguishes the answers to different writes of one object.
	ID     string
	Key    string
	Value  []byte
	Expect uint64
}

// Remove deletes a segment whose keys have all expired.
type Remove struct {
	Key    string
	Expect uint64
}

func (Reply) action()  {}
func (List) action()   {}
func (Write) action()  {}
func (Remove) action() {}

// Machine is the state machine that runs the ledgers of one instance.
type Machine struct {
	self   string
	cfg    Config
	shards [Shards]*shard
	// era is the newest known era of the store.
	era  uint64
	unix int64
	out  []Action
}

// New returns a machine that owns no shards.
func New(self string, cfg Config) *Machine {
	m := &Machine{self: self, cfg: cfg}
	for i := range m.shards {
		m.shards[i] = newShard(i, m)
	}
	return m
}

// Step handles an event and returns the resulting actions, which are valid until the next
// call. now is monotonic; unix is the wall clock in seconds and is only used to expire old
// segments.
func (m *Machine) Step(now time.Duration, unix int64, ev Event) []Action {
	m.out, m.unix = m.out[:0], unix
	switch ev := ev.(type) {
	case EraReported:
		m.beginEra(now, ev.Era)
	case Reclaimed:
		m.shards[KeyOf(ev.Claim.Customer, ev.Claim.Key).Shard()].handleReclaim(now, ev.Claim)
	case ClaimRequested:
		m.shards[KeyOf(ev.Claim.Customer, ev.Claim.Key).Shard()].handleClaim(now, ev)
	case ResultReported:
		m.shards[KeyOf(ev.Result.Customer, ev.Result.Key).Shard()].handleResult(now, ev.Result)
	case OwnershipChanged:
		for i, s := range m.shards {
			s.setOwned(now, ev.Shards[i])
		}
	case Listed:
		m.beginEra(now, ev.Era)
		m.shards[ev.Shard].handleListed(now, ev)
	case Written:
		m.shards[ev.Shard].handleWritten(now, ev)
	case Tick:
		for _, s := range m.shards {
			s.tick(now)
		}
	}
	return m.out
}

// beginEra reads all ledgers again after the store was restored from an older copy.
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

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// Dump describes the owned ledgers.
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
