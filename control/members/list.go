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

// Times of the duties around the instance list.
const (
	// registerTimeout bounds a call to the list, which answers in milliseconds.
	registerTimeout = 2 * time.Second
	// Pauses between vain attempts to register.
	firstPause, longestPause = 200 * time.Millisecond, 5 * time.Second
	// settleFor is how long gossip gets to tell an instance that starts of the others.
	// Without it all instances that start together take themselves for the only ones,
	// put themselves into the list and watch the store.
	settleFor = 1500 * time.Millisecond
	// relistWithin is the time over which instances put themselves into the list again
	// after the platform lost entries, so that they do not all call at the same moment.
	relistWithin = time.Second
	// dutyEvery is how often an instance looks whether the list is its duty.
	dutyEvery = 500 * time.Millisecond
)

// Settled reports whether this instance has run for long enough to know who else lives.
func (m *Members) Settled() bool { return m.now() >= settleFor }

// listed reports whether this instance belongs into the instance list. With few listed
// those that watch the store are enough for others to find the fleet by when the seeds
// of their settings are gone; one that knows no peer may be the only one.
func (m *Members) listed() bool {
	return !m.FewListed || (m.Settled() && (m.lonely() || m.Standing().Primary()))
}

func (m *Members) lonely() bool { return len(m.View().Alive) <= 1 }

// keepListed puts this instance into the list once it belongs there, and again when the
// platform lost its entry.
func (m *Members) keepListed(ctx context.Context) {
	for ctx.Err() == nil {
		m.register(ctx)
		select {
		case <-ctx.Done():
		case <-m.lost:
			wait.For(ctx, rand.N(relistWithin))
		}
	}
}

// EntriesLost tells that the platform may have lost the entry of this instance.
func (m *Members) EntriesLost() {
	select {
	case m.lost <- struct{}{}:
	default:
	}
}

// register tries until this instance is in the list.
func (m *Members) register(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), 2))
	for n := 0; ctx.Err() == nil; {
		if !m.listed() {
			wait.For(ctx, dutyEvery)
			continue
		}
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		m.entered.Store(true)
		err := m.registrar.Register(call, m.self)
		cancel()
		if err == nil {
			m.log.Info("registered in the instance list", zap.Int("failed_calls", n))
			return
		}
		if n == 0 {
			m.log.Warn("not registered in the instance list, trying on", eventlog.Error(err))
		}
		wait.For(ctx, retry.Backoff(r, firstPause, longestPause, n))
		n++
	}
}

// deregister takes this instance out of the list at its shutdown. An entry that
// stays behind costs others a vain connection attempt now and then.
func (m *Members) deregister(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := m.registrar.Deregister(call, m.self.Name); err != nil {
		m.log.Warn("entry in the instance list stays behind", eventlog.Error(err))
	}
}

// Drain implements auburnmoor.Drainer.
func (m *Members) Drain(ctx context.Context) error {
	if m.registrar != nil && m.entered.Load() {
		m.deregister(ctx)
	}
	return nil
}

// pollList reads the list for ever.
func (m *Members) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		pause := m.PollList.Std()/2 + rand.N(m.PollList.Std())
		if m.listed() {
			m.readList(ctx)
			if m.FewListed && m.lonely() {
				pause = dutyEvery + rand.N(dutyEvery)
			}
		} else {
			m.seed()
			pause = dutyEvery
		}
		wait.For(ctx, pause)
	}
}

func (m *Members) readList(ctx context.Context) {
	list, err := m.list.List(ctx)
	if err != nil {
		return
	}
	m.contacts(list)
	m.publish()
}

// seed makes contacts of the instances that are known without a call.
func (m *Members) seed() {
	s, ok := m.list.(instances.Seeder)
	if ok && m.lonely() {
		m.contacts(s.Seeds())
	}
}
