package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/lease"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

func TestLease(t *testing.T) {
	testkit.Suite(t, "lease")
}

type fakeStore struct {
	obj         objectapi.Object
	writes      int
	loseReplies bool
	down        bool
	era         uint64
}

func (s *fakeStore) execute(a lease.Action) lease.Event {
	put, ok := a.(lease.Put)
	if !ok {
		if s.down {
			return lease.Read{Err: objectapi.ErrUnavailable}
		}
		return lease.Read{Object: s.obj, Era: s.era}
	}
	s.writes++
	out := lease.Wrote{WriteID: put.WriteID, Era: s.era}
	switch {
	case s.down:
		out.Err = objectapi.ErrUnknown
	case put.Expect != s.obj.Version:
		out.Err = objectapi.ErrConflict
	default:
		s.obj = objectapi.Object{Version: s.obj.Version + 1, Value: put.Value}
		out.Version = s.obj.Version
		if s.loseReplies {
			out.Err = objectapi.ErrUnknown
		}
	}
	return out
}

// advance steps one candidate with a tick every 100 ms.
func advance(l *lease.Lease, s *fakeStore, from, d time.Duration) {
	for now := from; now < from+d; now += 100 * time.Millisecond {
		queue := l.Step(now, lease.Tick{})
		for len(queue) > 0 {
			ev := s.execute(queue[0])
			queue = append(queue[1:], l.Step(now, ev)...)
		}
	}
}

var _ = Describe("the lease", func() {
	var store *fakeStore
	var a, b *lease.Lease

	BeforeEach(func() {
		store = &fakeStore{}
		a, b = lease.New("a", lease.DefaultConfig()), lease.New("b", lease.DefaultConfig())
		a.SetEligible(true)
		b.SetEligible(true)
	})

	// Guards against orders from nobody or from two instances after the store came back
	// with an older lease: its version was taken for a stale read by all candidates, and
	// the holder that it named considered itself the holder.
	Context("when the store is restored from an older copy", func() {
		advanceBoth := func(from, d time.Duration) (overlap bool) {
			for now := from; now < from+d; now += 100 * time.Millisecond {
				advance(a, store, now, 100*time.Millisecond)
				advance(b, store, now, 100*time.Millisecond)
				overlap = overlap || a.MayOrder(now) && b.MayOrder(now)
			}
			return overlap
		}
		restoreStore := func(to objectapi.Object) {
			store.obj = to
			store.era++
		}

		It("continues with its holder and a fencing token at least as high as before", func() {
			advance(a, store, 0, time.Second)
			snapshot := store.obj
			advanceBoth(time.Second, 10*time.Second)
			fence := a.Fence()
			restoreStore(snapshot)
			Expect(advanceBoth(11*time.Second, 30*time.Second)).To(BeFalse())
			Expect(a.MayOrder(41 * time.Second)).To(BeTrue())
			Expect(a.Fence()).To(BeNumerically(">=", fence))
		})

		It("is not granted to a former holder that the copy names", func() {
			advance(a, store, 0, time.Second)
			snapshot := store.obj
			advance(b, store, time.Second, 30*time.Second)
			Expect(b.MayOrder(31 * time.Second)).To(BeTrue())
			restoreStore(snapshot)
			Expect(advanceBoth(31*time.Second, 30*time.Second)).To(BeFalse())
			Expect(b.MayOrder(61 * time.Second)).To(BeTrue())
		})

		It("is taken over after it has expired if its holder failed too", func() {
			advance(a, store, 0, 10*time.Second)
			advance(b, store, 9*time.Second, time.Second)
			restoreStore(objectapi.Object{})
			advance(b, store, 10*time.Second, 10*time.Second)
			Expect(b.MayOrder(20 * time.Second)).To(BeFalse())
			advance(b, store, 20*time.Second, 5*time.Second)
			Expect(b.MayOrder(25 * time.Second)).To(BeTrue())
			Expect(b.Fence()).To(BeNumerically(">", a.Fence()))
		})
	})

	It("is held while it is renewed and has an increasing fencing token", func() {
		advance(a, store, 0, 30*time.Second)
		Expect(a.MayOrder(30 * time.Second)).To(BeTrue())
		Expect(a.Fence()).To(Equal(uint64(1)))
		advance(b, store, 30*time.Second, 30*time.Second)
		Expect(b.MayOrder(60 * time.Second)).To(BeTrue())
		Expect(b.Fence()).To(Equal(uint64(2)))
	})

	// Guards against orders of a former holder to an engine that ignores fencing tokens: a
	// holder is paused, its lease expires, a successor sends orders, and the first resumes
	// and continues on a clock reading from before the pause.
	It("does not allow orders of a holder that resumes after a pause", func() {
		advance(a, store, 0, 5*time.Second)
		Expect(a.MayOrder(5 * time.Second)).To(BeTrue())
		Expect(a.MayOrder(17 * time.Second)).To(BeFalse())
	})

	It("makes a successor wait for the TTL and the longest order", func() {
		advance(a, store, 0, 5*time.Second)
		cfg := lease.DefaultConfig()
		advance(b, store, 5*time.Second, cfg.TTL+cfg.MaxOrderTime-200*time.Millisecond)
		Expect(b.Fence()).To(Equal(uint64(1)), "b took over too early")
		advance(b, store, 5*time.Second+cfg.TTL+cfg.MaxOrderTime, 5*time.Second)
		Expect(b.Fence()).To(Equal(uint64(2)))
	})

	It("keeps a renewal that took effect although its reply was lost", func() {
		advance(a, store, 0, 5*time.Second)
		store.loseReplies = true
		advance(a, store, 5*time.Second, 15*time.Second)
		Expect(a.MayOrder(20 * time.Second)).To(BeTrue())
	})

	It("expires during an outage of the store and is acquired again afterwards", func() {
		advance(a, store, 0, 5*time.Second)
		store.down = true
		advance(a, store, 5*time.Second, 15*time.Second)
		Expect(a.MayOrder(20 * time.Second)).To(BeFalse())
		store.down = false
		advance(a, store, 20*time.Second, 5*time.Second)
		Expect(a.MayOrder(25 * time.Second)).To(BeTrue())
	})

	// Guards against a tight loop of writes (218,000 in 15 s): two candidates wrote the
	// absent lease at once, and the loser retried its write after the conflict without
	// reading the lease.
	It("reads after a conflict before it writes again", func() {
		advance(a, store, 0, 200*time.Millisecond)
		store.obj.Version += 5
		before := store.writes
		advance(a, store, 10*time.Second, 10*time.Second)
		Expect(store.writes - before).To(BeNumerically("<=", 6))
	})
})
