package trial

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// Store is an in-memory object store with fault injection: it can be down, lose the
// reply to a write that took effect, and answer reads with the previous version.
type Store struct {
	rand     *rand.Rand
	objects  map[string]objectapi.Object
	previous map[string]objectapi.Object
	version  uint64

	Down      bool
	LoseReply float64
	StaleRead float64

	Reads, Writes int

	era    uint64
	backup backup
}

// backup is a snapshot of the content.
type backup struct {
	objects, previous map[string]objectapi.Object
	version           uint64
}

// Copy takes a snapshot of the content, in place of the last one.
func (s *Store) Copy() {
	s.backup = backup{maps.Clone(s.objects), maps.Clone(s.previous), s.version}
}

// Restore restores the snapshot and begins a new era: later writes are lost, and their
// version numbers are assigned again.
func (s *Store) Restore() {
	s.objects, s.previous, s.version = maps.Clone(s.backup.objects), maps.Clone(s.backup.previous), s.backup.version
	s.era++
}

// Era implements objectapi.Store.
func (s *Store) Era() uint64 { return s.era }

// NewStore returns an empty store.
func NewStore(r *rand.Rand) *Store {
	s := &Store{rand: r, objects: map[string]objectapi.Object{}, previous: map[string]objectapi.Object{}, era: 1}
	s.Copy()
	return s
}

var _ objectapi.Store = (*Store)(nil)

// Get implements objectapi.Store.
func (s *Store) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.Reads++
	if s.Down {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	if old, ok := s.previous[key]; ok && s.rand.Float64() < s.StaleRead {
		return old, nil
	}
	o, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

// Watch implements objectapi.Store. It returns at once.
func (s *Store) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (objectapi.Object, error) {
	return s.Get(ctx, key)
}

// List implements objectapi.Store.
func (s *Store) List(_ context.Context, prefix string) ([]objectapi.Object, error) {
	s.Reads++
	if s.Down {
		return nil, objectapi.ErrUnavailable
	}
	var out []objectapi.Object
	for k, o := range s.objects {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		if old, ok := s.previous[k]; ok && s.rand.Float64() < s.StaleRead {
			o = old
		}
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b objectapi.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Put implements objectapi.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	s.Writes++
	if s.Down {
		return 0, objectapi.ErrUnknown
	}
	old := s.objects[key]
	if old.Version != expect {
		return old.Version, objectapi.ErrConflict
	}
	s.version++
	if old.Version > 0 {
		s.previous[key] = old
	}
	s.objects[key] = objectapi.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	if s.rand.Float64() < s.LoseReply {
		return 0, objectapi.ErrUnknown
	}
	return s.version, nil
}

// Delete implements objectapi.Store.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	s.Writes++
	if s.Down {
		return objectapi.ErrUnknown
	}
	if s.objects[key].Version != expect {
		return objectapi.ErrConflict
	}
	delete(s.objects, key)
	return nil
}
