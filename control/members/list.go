package members

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

// Timing of registration and reads of the instance list.
const (
	// registerTimeout bounds a call to the list, which normally answers in milliseconds.
	registerTimeout = 2 * time.Second
	// Bounds of the backoff between failed registrations.
	minBackoff, maxBackoff = 200 * time.Millisecond, 5 * time.Second
	// settlePeriod is how long a new instance waits to learn of others by gossip. Without it
	// all instances that start together would each find no peers, register in the list and
	// watch the store.
	settlePeriod = 1500 * time.Millisecond
	// maxRelistDelay is the maximum random delay of a renewed registration after the platform
	// lost entries, so that instances do not all call at the same moment.
	maxRelistDelay = time.Second
	// roleCheckInterval is the interval of checks whether this instance has to use the list.
	roleCheckInterval = 500 * time.Millisecond
)

// Settled reports whether this instance has run for long enough to know the live members.
func (m *Members) Settled() bool { return m.now() >= settlePeriod }

// mustRegister reports whether this instance has to register in the instance list. With FewListed,
// the instances that watch the store suffice for others to find the fleet when the seeds in
// their settings are gone, and an instance without peers registers as it may be the only one.
func (m *Members) mustRegister() bool {
	return !m.FewListed || (m.Settled() && (m.knowsNoPeer() || m.Standing().Primary()))
}

func (m *Members) knowsNoPeer() bool { return len(m.View().Alive) <= 1 }

// keepRegistered registers this instance once that is its task, and again when the platform may
// have lost the entry.
func (m *Members) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		m.register(ctx)
		select {
		case <-ctx.Done():
		case <-m.entryLost:
			wait.For(ctx, rand.N(maxRelistDelay))
		}
	}
}

// EntriesLost signals that the platform may have lost the entry of this instance.
func (m *Members) EntriesLost() {
	select {
	case m.entryLost <- struct{}{}:
	default:
	}
}

// register retries until this instance is registered in the list.
func (m *Members) register(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), 2))
	for n := 0; ctx.Err() == nil; {
		if !m.mustRegister() {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		m.maybeListed.Store(true)
		err := m.registrar.Register(call, m.self)
		cancel()
		if err == nil {
			m.log.Info("registered in the instance list", zap.Int("failed_calls", n))
			return
		}
		if n == 0 {
			m.log.Warn("registration in the instance list failed, retrying", eventlog.Error(err))
		}
		wait.For(ctx, retry.Backoff(r, minBackoff, maxBackoff, n))
		n++
	}
}

// deregister removes this instance from the list at shutdown. A stale entry costs other
// instances a failed connection attempt now and then.
func (m *Members) deregister(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := m.registrar.Deregister(call, m.self.Name); err != nil {
		m.log.Warn("deregistration failed, stale entry left in the instance list", eventlog.Error(err))
	}
}

// Drain implements auburnmoor.Drainer.
func (m *Members) Drain(ctx context.Context) error {
	if m.registrar != nil && m.maybeListed.Load() {
		m.deregister(ctx)
	}
	return nil
}

// pollList reads the list periodically until ctx ends.
func (m *Members) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		pause := m.PollList.Std()/2 + rand.N(m.PollList.Std())
		if m.mustRegister() {
			m.readList(ctx)
			if m.FewListed && m.knowsNoPeer() {
				pause = roleCheckInterval + rand.N(roleCheckInterval)
			}
		} else {
			m.contactSeeds()
			pause = roleCheckInterval
		}
		wait.For(ctx, pause)
	}
}

func (m *Members) readList(ctx context.Context) {
	list, err := m.list.List(ctx)
	if err != nil {
		return
	}
	m.setContacts(list)
	m.publish()
}

// contactSeeds uses the platform's seeds as contacts, which needs no call, while no peer is known.
func (m *Members) contactSeeds() {
	s, ok := m.list.(instances.Seeder)
	if ok && m.knowsNoPeer() {
		m.setContacts(s.Seeds())
	}
}
