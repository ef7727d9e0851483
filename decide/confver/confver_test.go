package confver_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/result"
)

func TestConfver(t *testing.T) {
	testkit.Suite(t, "confver")
}

// fakeStore loses replies and lets a test act in the middle of a call.
type fakeStore struct {
	objects   map[string]objectapi.Object
	version   uint64
	era       uint64
	lose      int
	beforePut func(key string)
}

func (s *fakeStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Era() uint64 { return s.era }

func (s *fakeStore) List(context.Context, string) ([]objectapi.Object, error) { return nil, nil }
func (s *fakeStore) Delete(context.Context, string, uint64) error             { return nil }
func (s *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (objectapi.Object, error) {
	return s.Get(ctx, key)
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if f := s.beforePut; f != nil {
		s.beforePut = nil
		f(key)
	}
	if s.objects[key].Version != expect {
		return 0, objectapi.ErrConflict
	}
	s.version++
	s.objects[key] = objectapi.Object{Key: key, Version: s.version, Value: value}
	if s.lose > 0 {
		s.lose--
		return 0, objectapi.ErrUnknown
	}
	return s.version, nil
}

var _ = Describe("accepting a configuration", func() {
	var store *fakeStore
	ctx := context.Background()

	BeforeEach(func() { store = &fakeStore{objects: map[string]objectapi.Object{}} })

	accept := func(content string, base uint64, id string) (uint64, error) {
		return confver.Accept(ctx, store, []byte(content), base, id)
	}

	// A change that was accepted is in force nowhere: the store came back without the last
	// versions, and their numbers were given out again.
	It("never gives a number out twice, though the store lost the versions that had it", func() {
		store.era = 1
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		copied := maps.Clone(store.objects)
		given := map[uint64]bool{1: true}
		for i := range 5 {
			cur, err := confver.ReadPointer(ctx, store)
			Expect(err).NotTo(HaveOccurred())
			v, err := accept("next", cur.Pointer.Version, fmt.Sprint("w-", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(given).NotTo(HaveKey(v))
			given[v] = true
			store.objects = maps.Clone(copied)
			store.era++
		}
	})

	It("gives rising versions and reads them back", func() {
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		Expect(accept("two", 1, "w2")).To(Equal(uint64(2)))
		cur, err := confver.ReadPointer(ctx, store)
		Expect(err).NotTo(HaveOccurred())
		Expect(confver.ReadContent(ctx, store, cur.Pointer)).To(Equal([]byte("two")))
	})

	// An operator is told "conflict" by its own change: the write took effect,
	// its reply was lost, and the retry found a newer version. Cause: judging a
	// write by the version instead of by who wrote it.
	It("recognizes its own write after a lost reply", func() {
		store.lose = 2
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
	})

	It("recognizes its own write although another operator's followed", func() {
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		Expect(accept("two", 1, "w2")).To(Equal(uint64(2)))
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)), "the same change sent again")
	})

	// Two operators change version 1 at the same time and both are told
	// "accepted"; the first change is lost. Cause: a write that does not depend
	// on what was read.
	It("lets one of two racing operators win and tells the other the version in force", func() {
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		store.beforePut = func(string) {
			store.beforePut = func(string) { _, _ = accept("theirs", 1, "w-theirs") }
		}
		_, err := accept("ours", 1, "w-ours")
		Expect(result.From(err).Code).To(Equal(result.ConfigConflict))
		Expect(err).To(MatchError(ContainSubstring("version 2 is in force")))
	})

	It("splits large content and refuses to join parts of two versions", func() {
		big := make([]byte, 3*confver.PartSize+5)
		for i := range big {
			big[i] = byte(i * 7)
		}
		Expect(accept(string(big), 0, "w1")).To(Equal(uint64(1)))
		cur, _ := confver.ReadPointer(ctx, store)
		Expect(cur.Pointer.Parts).To(Equal(4))
		Expect(confver.ReadContent(ctx, store, cur.Pointer)).To(Equal(big))
		_, err := confver.Join(cur.Pointer.Digest, [][]byte{[]byte("x"), []byte("y")})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a holder", func() {
	// A caller's key stops working minutes after it was added: an instance read
	// an old version from a stale replica of the store and put it into force.
	It("never goes back to an older version", func() {
		var h confver.Holder
		for _, v := range []uint64{3, 1, 2, 5, 4, 5} {
			h.Adopt(v, fmt.Appendf(nil, "v%d", v))
		}
		Expect(h.Version()).To(Equal(uint64(5)))
		Expect(string(h.Content())).To(Equal("v5"))
	})
})
