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

// fakeStore can lose replies and run a function in the middle of a Put.
type fakeStore struct {
	objects       map[string]objectapi.Object
	version       uint64
	era           uint64
	repliesToLose int
	beforePut     func(key string)
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
	if s.repliesToLose > 0 {
		s.repliesToLose--
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

	// Guards against accepted changes that are in force nowhere: a store that is restored
	// without its last versions would assign their numbers again, and instances ignore a
	// version that they have already seen.
	It("never assigns a version number twice, even if the store lost the versions that had it", func() {
		store.era = 1
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		snapshot := maps.Clone(store.objects)
		assigned := map[uint64]bool{1: true}
		for i := range 5 {
			cur, err := confver.ReadPointer(ctx, store)
			Expect(err).NotTo(HaveOccurred())
			v, err := accept("next", cur.Pointer.Version, fmt.Sprint("w-", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(assigned).NotTo(HaveKey(v))
			assigned[v] = true
			store.objects = maps.Clone(snapshot)
			store.era++
		}
	})

	It("assigns increasing versions and reads them back", func() {
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		Expect(accept("two", 1, "w2")).To(Equal(uint64(2)))
		cur, err := confver.ReadPointer(ctx, store)
		Expect(err).NotTo(HaveOccurred())
		Expect(confver.ReadContent(ctx, store, cur.Pointer)).To(Equal([]byte("two")))
	})

	// Guards against a conflict with one's own change: the write takes effect, its
	// reply is lost, and the retry finds a newer version. Comparing versions
	// instead of write ids would report a conflict.
	It("recognizes its own write after a lost reply", func() {
		store.repliesToLose = 2
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
	})

	It("recognizes its own write even after a later one of another operator", func() {
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)))
		Expect(accept("two", 1, "w2")).To(Equal(uint64(2)))
		Expect(accept("one", 0, "w1")).To(Equal(uint64(1)), "the same change sent again")
	})

	// Guards against lost updates: two operators change version 1 at the same time.
	// With unconditional writes both would be accepted and the first change lost.
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
	// Guards against a rollback by a stale read: an instance reads an old version from
	// a stale replica of the store, and a key added since stops working.
	It("never reverts to an older version", func() {
		var h confver.Holder
		for _, v := range []uint64{3, 1, 2, 5, 4, 5} {
			h.Adopt(v, fmt.Appendf(nil, "v%d", v))
		}
		Expect(h.Version()).To(Equal(uint64(5)))
		Expect(string(h.Content())).To(Equal("v5"))
	})
})
