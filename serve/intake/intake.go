// Package intake bounds what clients can make an instance hold: the memory of all bodies and heads together, and the
// connections. What comes first when they do not suffice is decided in decide/room and decide/slots.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/result"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.intake"

func init() { auburnmoor.Register(new(Intake)) }

// Defaults of the settings.
const (
	// bodyShare is the part of the memory of an instance for bodies and heads.
	bodyShare = 0.25
	// unknownMemory is assumed if the settings do not tell the memory, in bytes.
	unknownMemory = 1 << 30
)

// tiers keep room for the bodies of plain calls, and for those of prompts, beside larger ones.
var tiers = []room.Tier{{Above: 8 << 10, Share: 0.9}, {Above: 320 << 10, Share: 0.8}}

// Intake is the module "serve.intake".
type Intake struct {
	// BodyMemoryMB is the memory for bodies and heads of all clients together in MiB, zero for a share of that of
	// the instance.
	BodyMemoryMB float64 `toml:"body_memory_mb" validate:"min=0,max=1048576"`
	// MaxConnections bounds the connections of clients, zero for what memory and descriptors of the instance allow.
	MaxConnections int `toml:"max_connections" validate:"min=0,max=1000000"`

	now   func() time.Duration
	scope tally.Scope
	// memory and descriptors are those of the instance.
	memory      int64
	descriptors int

	mu   sync.Mutex
	room *room.Room
	// leases are the leases of the holders of the room.
	leases    map[*room.Holder]*Lease
	listeners []*Listener
}

// ModuleInfo implements auburnmoor.Module.
func (*Intake) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, New: func() auburnmoor.Module { return new(Intake) }}
}

// Provision implements auburnmoor.Provisioner.
func (i *Intake) Provision(c *auburnmoor.Context) error {
	i.now, i.scope = c.Now, c.Scope
	i.memory, i.descriptors = c.Self.MemoryBytes, c.Self.Descriptors
	if i.memory == 0 {
		i.memory = unknownMemory
	}
	if i.descriptors == 0 {
		i.descriptors = openFileLimit()
	}
	i.room = room.New(room.Config{Bytes: i.bodyBytes(), Tiers: tiers, Policy: room.SlowestThenShare})
	i.leases = map[*room.Holder]*Lease{}
	return nil
}

// Now returns the time since the start of the process, which room.Entry counts from.
func (i *Intake) Now() time.Duration { return i.now() }

func (i *Intake) bodyBytes() int64 {
	const megabyte = 1 << 20
	if i.BodyMemoryMB > 0 {
		return int64(i.BodyMemoryMB * megabyte)
	}
	return int64(bodyShare * float64(i.memory))
}

// gaugeInterval is how often gauges are updated.
const gaugeInterval = time.Second

// Start implements auburnmoor.Starter.
func (i *Intake) Start(ctx context.Context) error {
	go wait.Every(ctx, gaugeInterval, i.updateGauges)
	return nil
}

func (i *Intake) updateGauges() {
	d := i.Dump().(Dump)
	i.scope.Gauge("body_bytes").Update(float64(d.BodyBytes))
	i.scope.Gauge("body_holders").Update(float64(d.Holders))
	for name, states := range d.Connections {
		for state, n := range states {
			i.scope.Tagged(map[string]string{"listener": name, "state": state}).Gauge("client_connections").Update(float64(n))
		}
	}
}

// retryAfterFull is the shortest time to come back for a client whose body finds no room.
const retryAfterFull = 100 * time.Millisecond

// Enter asks for memory for what a client is about to send. evict is called, once at most and without delay, when the
// memory is taken away for others before all has come.
func (i *Intake) Enter(e room.Entry, bytes int64, evict func()) (*Lease, *result.Error) {
	now := i.now()
	i.mu.Lock()
	h, victims, ok := i.room.Enter(now, e, bytes)
	l := &Lease{intake: i, holder: h, evict: evict}
	if ok {
		i.leases[h] = l
	}
	lost := i.removeLeases(victims)
	i.mu.Unlock()
	i.evictAll(lost)
	if !ok {
		return nil, i.Full(bytes)
	}
	return l, nil
}

// Full is the refusal of a request for whose body there is no room.
func (i *Intake) Full(bytes int64) *result.Error {
	i.mu.Lock()
	after := i.room.FreeIn(i.now(), bytes)
	i.mu.Unlock()
	i.refused("no_room")
	return result.New(result.NoRoom, "the bodies being received leave no room for this one").WithRetryAfter(max(after, retryAfterFull))
}

// removeLeases removes the leases of holders that have lost their memory; i.mu must be held.
func (i *Intake) removeLeases(victims []*room.Holder) (lost []*Lease) {
	for _, h := range victims {
		l := i.leases[h]
		delete(i.leases, h)
		l.evicted = true
		lost = append(lost, l)
	}
	return lost
}

func (i *Intake) evictAll(lost []*Lease) {
	for _, l := range lost {
		i.refused("evicted")
		l.evict()
	}
}

// refused counts a client that was refused or cut off, by cause.
func (i *Intake) refused(cause string) {
	i.scope.Tagged(map[string]string{"cause": cause}).Counter("intake_refused_total").Inc(1)
}

// Lease is memory of a body or a head.
type Lease struct {
	intake *Intake
	holder *room.Holder
	evict  func()
	// evicted is set when the memory was taken away; guarded by intake.mu.
	evicted bool
}

// Grow takes more memory and reports whether there is room for it.
func (l *Lease) Grow(bytes int64) bool {
	i := l.intake
	i.mu.Lock()
	victims, ok := i.room.Grow(i.now(), l.holder, bytes)
	if !ok {
		delete(i.leases, l.holder)
		l.evicted = true
	}
	lost := i.removeLeases(victims)
	i.mu.Unlock()
	i.evictAll(lost)
	return ok
}

// Shrink gives back a part of the memory.
func (l *Lease) Shrink(bytes int64) {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.room.Shrink(l.holder, bytes)
}

// Receive records that bytes have come.
func (l *Lease) Receive(bytes int) {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.room.Receive(l.intake.now(), l.holder, int64(bytes))
}

// Complete records that all has come and reports whether the memory is still there; it is not taken away from now on.
func (l *Lease) Complete() bool {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.room.Complete(l.holder)
	return !l.evicted
}

// Evicted reports whether the memory was taken away.
func (l *Lease) Evicted() bool {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	return l.evicted
}

// Release gives back the memory. It may be called on a nil lease, and more than once.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.room.Leave(l.intake.now(), l.holder)
	delete(l.intake.leases, l.holder)
}

// Dump is the state of the module.
type Dump struct {
	// BodyBytes are the bytes taken by bodies and heads, BodyLimit is the most that they may take, Holders the
	// number of those that have any.
	BodyBytes int64 `json:"body_bytes"`
	BodyLimit int64 `json:"body_limit"`
	Holders   int   `json:"body_holders"`
	// Connections counts the connections of clients by listener and state, MaxConnections is their bound.
	Connections    map[string]map[string]int `json:"connections"`
	MaxConnections map[string]int            `json:"max_connections"`
}

// Dump implements auburnmoor.Dumper.
func (i *Intake) Dump() any {
	i.mu.Lock()
	d := Dump{
		BodyBytes: i.room.Used(), BodyLimit: i.bodyBytes(), Holders: i.room.Holders(),
		Connections: map[string]map[string]int{}, MaxConnections: map[string]int{},
	}
	listeners := i.listeners
	i.mu.Unlock()
	for _, l := range listeners {
		d.Connections[l.name], d.MaxConnections[l.name] = l.states(), l.slots.Size()
	}
	return d
}
