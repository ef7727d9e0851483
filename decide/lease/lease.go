// Package lease decides who may give orders to engines. The lease is an object
// in the object API with a fencing number that rises with every holder.
//
// Engines that check the number refuse orders of a former holder. For engines
// that ignore it, time must separate two holders: a holder stops by its own
// monotonic clock well before its lease can be taken over, and a successor
// waits out the whole lease plus the longest time that an order can be under
// way, counted from when it first saw the lease's present version.
//
// The package does no I/O and reads no clock.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// Config sizes a lease.
type Config struct {
	// TTL is the time after which an unrenewed lease may be taken over.
	TTL time.Duration
	// Renew is the period of renewal.
	Renew time.Duration
	// Stop is how long before the end of the TTL the holder stops giving orders.
	Stop time.Duration
	// OrderTime is the longest time that an order can be under way.
	OrderTime time.Duration
}

// DefaultConfig returns the values of the daemon.
func DefaultConfig() Config {
	return Config{TTL: 9 * time.Second, Renew: 2 * time.Second, Stop: 3 * time.Second, OrderTime: 2 * time.Second}
}

// Value is the stored form.
type Value struct {
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	WriteID uint64 `json:"write_id"`
}

// Event is an input of a Lease.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Read answers a Get. An object that does not exist has version zero.
type Read struct {
	Object objectapi.Object
	Err    error
	// Era is that of the store's answer.
	Era uint64
}

// Wrote answers a Put.
type Wrote struct {
	WriteID uint64
	Version uint64
	Err     error
	// Era is that of the store's answer.
	Era uint64
}

func (Tick) event()  {}
func (Read) event()  {}
func (Wrote) event() {}

// Action is an output of a Lease.
type Action interface{ action() }

// Get asks for the lease object.
type Get struct{}

// Put asks for a conditional update of the lease object.
type Put struct {
	WriteID uint64
	Value   []byte
	Expect  uint64
}

func (Get) action() {}
func (Put) action() {}

// Lease is one candidate's view. Holder names must differ between
// incarnations, so that a restarted process is not taken for its predecessor.
type Lease struct {
	cfg    Config
	self   string
	wanted bool

	// era is that of version.
	era     uint64
	version uint64
	// fence is the highest number that was seen. The store may come back without it.
	fence  uint64
	value  Value
	seenAt time.Duration
	known  bool

	holding  bool
	validTil time.Duration

	// unsure is set by a write without confirmation. Writing again before
	// reading would repeat a conflict as fast as the store answers.
	unsure  bool
	busy    bool
	issued  time.Duration
	writeID uint64
	writing Value
	// wroteAt is when the last write was issued.
	wroteAt time.Duration
	nextAt  time.Duration
}

// New returns a candidate that does not hold the lease.
func New(self string, cfg Config) *Lease { return &Lease{self: self, cfg: cfg} }

// Want tells whether this candidate should try to hold the lease.
func (l *Lease) Want(wanted bool) { l.wanted = wanted }

// MayOrder reports whether an order may be given now. It must be asked right
// before each order: after a pause of the process it is false, however sure
// the process was before.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.holding && now < l.validTil
}

// Fence returns the fencing number of the lease held.
func (l *Lease) Fence() uint64 { return l.fence }

// Deposed tells the lease that an engine refused its number.
func (l *Lease) Deposed() { l.holding = false }

// Holder returns the holder last seen.
func (l *Lease) Holder() string { return l.value.Holder }

// callTimeout is how long an answer of the store is waited for.
const callTimeout = 5 * time.Second

// Step takes an event.
func (l *Lease) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Read:
		l.busy = false
		l.read(now, ev)
	case Wrote:
		if ev.WriteID != l.writeID {
			return nil
		}
		l.busy = false
		l.wrote(now, ev)
	}
	return l.next(now)
}

func (l *Lease) read(now time.Duration, ev Read) {
	if ev.Err != nil && !errors.Is(ev.Err, objectapi.ErrNotFound) {
		return
	}
	l.unsure = false
	var v Value
	if ev.Object.Version != 0 && json.Unmarshal(ev.Object.Value, &v) != nil {
		return
	}
	// A stale read must not restart the wait, nor end it: an older version than
	// the one known says nothing.
	if ev.Era < l.era || l.known && ev.Era == l.era && ev.Object.Version <= l.version {
		return
	}
	if l.known && ev.Era > l.era {
		l.beginEra(now, ev.Era, ev.Object.Version, v)
		return
	}
	l.observe(now, ev.Era, ev.Object.Version, v)
	if v.Holder == l.self && v.WriteID == l.writeID && v == l.writing {
		l.extend()
	}
}

// beginEra takes over what a store holds that came back from an older copy. What it says
// of the holder is old: the last one may give orders until its time is over, and whom the
// copy names may have been deposed since. So a holder whose time is not over goes on and
// renews; all others wait as for a silent holder, from now on.
func (l *Lease) beginEra(now time.Duration, era, version uint64, v Value) {
	goesOn := l.MayOrder(now)
	l.observe(now, era, version, v)
	l.holding = goesOn
	if !goesOn && l.value.Holder == "" {
		l.value.Holder = lostHolder
	}
}

// lostHolder stands for a holder that the store lost.
const lostHolder = "lost with the store's last era"

func (l *Lease) observe(now time.Duration, era, version uint64, v Value) {
	l.known, l.era, l.version, l.value, l.seenAt = true, era, version, v, now
	l.fence = max(l.fence, v.Fence)
	if v.Holder != l.self {
		l.holding = false
	}
}

// extend counts the lease from the moment the write was issued, because the
// store may have applied it at any time since.
func (l *Lease) extend() {
	l.holding = true
	l.validTil = l.wroteAt + l.cfg.TTL - l.cfg.Stop
}

func (l *Lease) wrote(now time.Duration, ev Wrote) {
	if ev.Err != nil {
		// Conflict or unknown: only reading back tells who holds the lease. Until
		// then the last confirmed renewal limits this holder.
		l.unsure = true
		l.nextAt = now
		return
	}
	if ev.Era != l.era {
		// Written in a later era than the version that it was compared with: only
		// reading back tells what it replaced.
		l.unsure, l.nextAt = true, now
		return
	}
	l.observe(now, ev.Era, ev.Version, l.writing)
	l.extend()
}

func (l *Lease) next(now time.Duration) []Action {
	if l.busy && now-l.issued < callTimeout {
		return nil
	}
	if now < l.nextAt {
		return nil
	}
	l.nextAt = now + l.cfg.Renew
	l.busy, l.issued = true, now
	if l.wanted && l.known && !l.unsure && l.mayTake(now) {
		l.wroteAt = now
		return []Action{l.put()}
	}
	return []Action{Get{}}
}

// mayTake reports whether this candidate may write the lease: it holds it, it
// is free, or its holder was silent for long enough.
func (l *Lease) mayTake(now time.Duration) bool {
	if l.holding || l.value.Holder == "" {
		return true
	}
	return now-l.seenAt >= l.cfg.TTL+l.cfg.OrderTime
}

func (l *Lease) put() Put {
	l.writeID++
	l.writing = Value{Holder: l.self, Fence: l.fence, WriteID: l.writeID}
	if !l.holding {
		l.writing.Fence++
	}
	raw, _ := json.Marshal(l.writing)
	return Put{WriteID: l.writeID, Value: raw, Expect: l.version}
}
