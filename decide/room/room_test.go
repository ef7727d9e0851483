package room_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRoom(t *testing.T) { testkit.Suite(t, "room") }

func TestMain(m *testing.M) { testkit.Main(m) }

const kib = 1 << 10

var _ = Describe("a room", func() {
	entry := func(customer string, length int64, until time.Duration) room.Entry {
		return room.Entry{Customer: customer, Length: length, Until: until}
	}
	newRoom := func(p room.Policy) *room.Room {
		return room.New(room.Config{Bytes: 100 * kib, Tiers: []room.Tier{{Above: 10 * kib, Share: 0.8}}, Policy: p})
	}

	// Guards against small bodies that find no room beside large ones.
	It("keeps a part for small ones", func() {
		r := newRoom(room.Slowest)
		for range 2 {
			_, _, ok := r.Enter(0, entry("a", 40*kib, time.Minute), 40*kib)
			Expect(ok).To(BeTrue())
		}
		_, _, ok := r.Enter(0, entry("a", 11*kib, time.Minute), 11*kib)
		Expect(ok).To(BeFalse())
		_, _, ok = r.Enter(0, entry("a", 10*kib, time.Minute), 10*kib)
		Expect(ok).To(BeTrue())
	})

	// Guards against clients that stop just short of the end and keep their memory.
	It("takes from one that comes no further, not from one that will be in time", func() {
		r := newRoom(room.Slowest)
		stopped, _, _ := r.Enter(0, entry("a", 40*kib, 10*time.Second), 40*kib)
		slow, _, _ := r.Enter(0, entry("a", 40*kib, 10*time.Second), 40*kib)
		r.Receive(0, stopped, 40*kib-1)
		for s := time.Duration(0); s <= 3; s++ {
			r.Receive(s*time.Second, slow, 5*kib)
		}
		_, victims, ok := r.Enter(3*time.Second, entry("a", 40*kib, 10*time.Second), 40*kib)
		Expect(ok).To(BeTrue())
		Expect(victims).To(ConsistOf(stopped))
		_, victims, ok = r.Enter(3500*time.Millisecond, entry("a", 40*kib, 10*time.Second), 40*kib)
		Expect(ok).To(BeFalse())
		Expect(victims).To(BeEmpty())
	})

	// Guards against admitted requests that lose their body.
	It("takes nothing from what has come whole", func() {
		r := newRoom(room.Largest)
		for range 2 {
			h, _, _ := r.Enter(0, entry("a", 40*kib, time.Minute), 40*kib)
			r.Complete(h)
		}
		_, victims, ok := r.Enter(time.Hour, entry("b", 20*kib, 2*time.Hour), 20*kib)
		Expect(ok).To(BeFalse())
		Expect(victims).To(BeEmpty())
	})

	It("takes from the customer that has the most if all will be in time", func() {
		r := newRoom(room.SlowestThenShare)
		for range 2 {
			_, _, _ = r.Enter(0, entry("greedy", 40*kib, time.Minute), 40*kib)
		}
		_, victims, ok := r.Enter(0, entry("greedy", 40*kib, time.Minute), 40*kib)
		Expect(ok).To(BeFalse())
		Expect(victims).To(BeEmpty())
		_, victims, ok = r.Enter(0, entry("modest", 40*kib, time.Minute), 40*kib)
		Expect(ok).To(BeTrue())
		Expect(victims).To(HaveLen(1))
		Expect(victims[0].Customer).To(Equal("greedy"))
	})

	It("says when there is room again", func() {
		r := newRoom(room.Slowest)
		h, _, _ := r.Enter(0, entry("a", 80*kib, 400*time.Millisecond), 80*kib)
		Expect(r.FreeIn(0, 40*kib)).To(Equal(400 * time.Millisecond))
		r.Complete(h)
		r.Leave(100*time.Millisecond, h)
		Expect(r.FreeIn(time.Second, 40*kib)).To(BeZero())
		_, _, _ = r.Enter(time.Second, entry("a", 80*kib, time.Minute), 80*kib)
		Expect(r.FreeIn(time.Second, 40*kib)).To(BeNumerically("~", 910*time.Millisecond, time.Millisecond))
	})
})

// Whatever comes in whatever order, the room is never exceeded, those that lose are told once, and what has come whole
// keeps its memory.
func TestRoomIsNeverExceeded(t *testing.T) {
	policies := []room.Policy{room.Largest, room.Slowest, room.SlowestThenShare}
	rapid.Check(t, func(t *rapid.T) {
		const size = 100 * kib
		r := room.New(room.Config{Bytes: size, Tiers: []room.Tier{{Above: 8 * kib, Share: 0.75}}, Policy: rapid.SampledFrom(policies).Draw(t, "policy")})
		held, complete := map[*room.Holder]int64{}, map[*room.Holder]bool{}
		var all []*room.Holder
		now := time.Duration(0)
		lose := func(victims []*room.Holder) {
			for _, l := range victims {
				if _, has := held[l]; !has || complete[l] {
					t.Fatalf("a holder that has nothing, or has come whole, loses")
				}
				delete(held, l)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			bytes := int64(rapid.IntRange(1, 60).Draw(t, "kib")) * kib
			if len(all) == 0 || rapid.Bool().Draw(t, "enters") {
				e := room.Entry{Customer: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer"), Length: bytes, Until: now + 10*time.Second}
				h, victims, ok := r.Enter(now, e, bytes)
				lose(victims)
				if ok {
					held[h], all = bytes, append(all, h)
				}
			} else {
				h := rapid.SampledFrom(all).Draw(t, "holder")
				_, has := held[h]
				switch rapid.IntRange(0, 4).Draw(t, "what") {
				case 0:
					victims, ok := r.Grow(now, h, bytes)
					lose(victims)
					if ok != has && !ok && complete[h] {
						delete(complete, h)
					}
					if ok {
						held[h] += bytes
					} else {
						delete(held, h)
					}
				case 1:
					r.Leave(now, h)
					delete(held, h)
				case 2:
					r.Receive(now, h, bytes)
				case 3:
					if has {
						r.Complete(h)
						complete[h] = true
					}
				case 4:
					if has && held[h] > kib {
						r.Shrink(h, kib)
						held[h] -= kib
					}
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if r.Used() != sum || r.Used() > size || r.Holders() != len(held) {
				t.Fatalf("%d bytes of %d holders in use, %d of %d expected", r.Used(), r.Holders(), sum, len(held))
			}
		}
	})
}
