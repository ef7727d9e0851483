// Package lease elects the instance that may send orders to engines. The lease is an object
// in the object API with a fencing token that increases with every holder.
//
// Engines that check the token reject orders of a former holder. For engines that ignore
// it, time must separate two holders: a holder stops by its own monotonic clock well before
// its lease can be taken over, and a successor waits for the whole lease plus the longest
// time that an order can be in flight, counted from when it first saw the current version
// of the lease.
//
// The store's era increases each time the store is restored from an older copy and may have
// lost recent writes.
//
// The package does no I/O and reads no clock.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// Config holds the times of a lease.
type Config struct {
	// TTL is the time after which a lease that was not renewed may be taken over.
	TTL time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// StopMargin is how long before the end of the TTL the holder stops sending orders.
	StopMargin time.Duration
	// MaxOrderTime is the longest time that an order can be in flight.
	MaxOrderTime time.Duration
}

// DefaultConfig returns the default times.
func DefaultConfig() Config {
	return Config{TTL: 9 * time.Second, RenewInterval: 2 * time.Second, StopMargin: 3 * time.Second, MaxOrderTime: 2 * time.Second}
}

// Value is the content of the lease object. Fence is the fencing token.
type Value struct {
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	WriteID uint64 `json:"write_id"`
}

// Event is an input of a Lease.
type Event interface{ event() }

// Tick triggers renewals, reads and timeouts.
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

// Lease is one candidate's state. Candidate names must differ between incarnations, so that
// a restarted process is not taken for its predecessor.
type Lease struct {
	cfg      Config
	self     string
	eligible bool

	// era is the store's era in which version was observed.
	era     uint64
	version uint64
	// fence is the highest fencing token seen. A restored store may hold a lower one.
	fence      uint64
	value      Value
	observedAt time.Duration
	observed   bool

	holding    bool
	validUntil time.Duration

	// mustRead is set by a write that was not confirmed. Writing again without reading
	// first would repeat a conflict as fast as the store answers.
	mustRead     bool
	callInFlight bool
	callIssuedAt time.Duration
	writeID      uint64
	pendingValue Value
	// writeIssuedAt is when the last write was issued.
	writeIssuedAt time.Duration
	nextCallAt    time.Duration
}

// New returns a candidate that does not hold the lease.
func New(self string, cfg Config) *Lease { return &Lease{self: self, cfg: cfg} }

// SetEligible sets whether this candidate should try to hold the lease.
func (l *Lease) SetEligible(eligible bool) { l.eligible = eligible }

// MayOrder reports whether an order may be sent now. It must be called right before each
// order: after a pause of the process it is false, even if it was true just before the
// pause.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.holding && now < l.validUntil
}

// Fence returns the fencing token to send with orders while the lease is held.
func (l *Lease) Fence() uint64 { return l.fence }

// StepDown gives up the lease after an engine rejected its fencing token.
func (l *Lease) StepDown() { l.holding = false }

// Holder returns the last observed holder.
func (l *Lease) Holder() string { return l.value.Holder }

// callTimeout is how long to wait for an answer of the store.
const callTimeout = 5 * time.Second

// Step handles an event and returns the resulting actions.
func (l *Lease) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Read:
		l.callInFlight = false
		l.handleRead(now, ev)
	case Wrote:
		if ev.WriteID != l.writeID {
			return nil
		}
		l.callInFlight = false
		l.handleWrote(now, ev)
	}
	return l.nextActions(now)
}

func (l *Lease) handleRead(now time.Duration, ev Read) {
	if ev.Err != nil && !errors.Is(ev.Err, objectapi.ErrNotFound) {
		return
	}
	l.mustRead = false
	var v Value
	if ev.Object.Version != 0 && json.Unmarshal(ev.Object.Value, &v) != nil {
		return
	}
	// A stale read tells nothing new: it must neither restart nor end the wait for a silent
	// holder.
	if ev.Era < l.era || l.observed && ev.Era == l.era && ev.Object.Version <= l.version {
		return
	}
	if l.observed && ev.Era > l.era {
		l.beginEra(now, ev.Era, ev.Object.Version, v)
		return
	}
	l.observe(now, ev.Era, ev.Object.Version, v)
	if v.Holder == l.self && v.WriteID == l.writeID && v == l.pendingValue {
		l.extend()
	}
}

// beginEra adopts the lease object of a store that was restored from an older copy. The
// holder that it names is outdated: the last holder may send orders until its lease
// expires, and the holder in the copy may have been deposed since. So a holder whose lease
// is still valid continues and renews it; all others wait from now on as for a silent
// holder.
func (l *Lease) beginEra(now time.Duration, era, version uint64, v Value) {
	stillHolder := l.MayOrder(now)
	l.observe(now, era, version, v)
	l.holding = stillHolder
	if !stillHolder && l.value.Holder == "" {
		l.value.Holder = lostHolder
	}
}

// lostHolder stands for a holder that is unknown because the store lost it.
const lostHolder = "unknown since the store was restored"

func (l *Lease) observe(now time.Duration, era, version uint64, v Value) {
	l.observed, l.era, l.version, l.value, l.observedAt = true, era, version, v, now
	l.fence = max(l.fence, v.Fence)
	if v.Holder != l.self {
		l.holding = false
	}
}

// extend counts the lease from when the write was issued, because the store may have
// applied it at any time since.
func (l *Lease) extend() {
	l.holding = true
	l.validUntil = l.writeIssuedAt + l.cfg.TTL - l.cfg.StopMargin
}

func (l *Lease) handleWrote(now time.Duration, ev Wrote) {
	if ev.Err != nil {
		// After a conflict or an unknown outcome only a read tells who holds the lease.
		// Until then the last confirmed renewal limits this holder.
		l.mustRead = true
		l.nextCallAt = now
		return
	}
	if ev.Era != l.era {
		// The write took effect in a later era than that of the version it was compared
		// with, so only a read tells what it replaced.
		l.mustRead, l.nextCallAt = true, now
		return
	}
	l.observe(now, ev.Era, ev.Version, l.pendingValue)
	l.extend()
}

func (l *Lease) nextActions(now time.Duration) []Action {
	if l.callInFlight && now-l.callIssuedAt < callTimeout {
		return nil
	}
	if now < l.nextCallAt {
		return nil
	}
	l.nextCallAt = now + l.cfg.RenewInterval
	l.callInFlight, l.callIssuedAt = true, now
	if l.eligible && l.observed && !l.mustRead && l.mayAcquire(now) {
		l.writeIssuedAt = now
		return []Action{l.newPut()}
	}
	return []Action{Get{}}
}

// mayAcquire reports whether this candidate may write the lease: it holds the lease, the
// lease is free, or its holder has been silent for long enough.
func (l *Lease) mayAcquire(now time.Duration) bool {
	if l.holding || l.value.Holder == "" {
		return true
	}
	return now-l.observedAt >= l.cfg.TTL+l.cfg.MaxOrderTime
}

func (l *Lease) newPut() Put {
	l.writeID++
	l.pendingValue = Value{Holder: l.self, Fence: l.fence, WriteID: l.writeID}
	if !l.holding {
		l.pendingValue.Fence++
	}
	raw, _ := json.Marshal(l.pendingValue)
	return Put{WriteID: l.writeID, Value: raw, Expect: l.version}
}
