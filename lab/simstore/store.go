// Package simstore stands in for the platform's store in virtual time: it holds a configuration,
// servers and the entries of instances, lets them be watched, and can be in trouble, for all
// instances or for some of them.
package simstore

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

// Trouble is what goes wrong with calls to the store.
type Trouble string

// The kinds of trouble.
const (
	// Sound answers every call.
	Sound Trouble = ""
	// Silent answers no call: neither those that are made nor those in progress.
	Silent Trouble = "silent"
	// Reset resets the connections of calls, made or in progress.
	Reset Trouble = "reset"
	// Busy refuses calls; watches in progress go on.
	Busy Trouble = "busy"
	// Slow takes fifty times as long.
	Slow Trouble = "slow"
	// Lost loses a share of the answers.
	Lost Trouble = "lost"
)

// Timing of sound and slow calls.
const (
	answerTime     = 4 * time.Millisecond
	slowAnswerTime = 200 * time.Millisecond
	// lostShare is the share of the answers that Lost loses.
	lostShare = 0.4
)

// state is what a restore brings back.
type state struct {
	revision int64
	version  uint64
	// configRevision is the revision of the last change of the configuration.
	configRevision int64
	// evacuated holds the evacuated data centres, sorted, and evacuationRevision is the revision of the
	// last change of them.
	evacuated          []string
	evacuationRevision int64
	// oldest is the revision from which the history is complete.
	oldest int64
}

// Store is the store of one fleet.
type Store struct {
	mu   sync.Mutex
	rand *rand.Rand
	state
	era    uint64
	backup state
	// serverLists holds the lists of servers by revision.
	serverLists []serverList
	staleness   Staleness
	// dataCentres do not change.
	dataCentres []string
	entries     map[string]instances.Instance
	configs     map[uint64]*config
	trouble     Trouble
	// affected reports whether an instance is in trouble.
	affected func(instance string) bool
	// ofSources limits the trouble to the calls for some sources, unless it is empty.
	ofSources []watch.Source
	// changed is closed with every change of the state or the trouble.
	changed chan struct{}
	// troubleCount counts the changes of the trouble.
	troubleCount int
	calls        int
	// answeredAt is when the store first answered an instance after its last trouble.
	answeredAt time.Time
}

// config is one accepted version.
type config struct {
	raw    []byte
	parsed route.Config
}

// Size is the size of the content of a store.
type Size struct {
	Routes, Customers, Servers int
	// ConfigBytes is the size of an encoded configuration.
	ConfigBytes int
}

// Service is the only service of the store's routes.
const Service = "s"

// New returns a store with servers in the given data centres and without a configuration.
func New(seed uint64, size Size, dataCentres []string) *Store {
	s := &Store{
		rand: rand.New(rand.NewPCG(seed, 2)), entries: map[string]instances.Instance{}, configs: map[uint64]*config{},
		changed: make(chan struct{}), affected: func(string) bool { return false }, dataCentres: dataCentres,
	}
	s.era = 1
	servers := map[string]backends.Server{}
	for i := range size.Servers {
		v := NewServer(i, dataCentres)
		servers[v.ID] = v
	}
	s.serverLists = []serverList{{at: time.Now(), servers: servers}}
	return s
}

// ServerID is the ID of the server with a number.
func ServerID(i int) string { return fmt.Sprintf("srv-%d", i) }

// NewServer returns the server with a number.
func NewServer(i int, dataCentres []string) backends.Server {
	return backends.Server{
		ID: ServerID(i), Service: Service, Slots: 10,
		Addr: fmt.Sprintf("10.200.%d.%d:8000", i/250, i%250), DataCentre: dataCentres[i%len(dataCentres)],
	}
}

// Accept has a configuration of a version accepted and returns when it was acknowledged.
func (s *Store) Accept(version uint64, size Size) time.Time {
	c := makeConfig(version, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs[version] = c
	s.revision++
	s.version, s.configRevision = version, s.revision
	s.notify()
	return time.Now()
}

// SetEvacuated replaces the evacuated data centres and returns when that was acknowledged.
func (s *Store) SetEvacuated(dataCentres ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.evacuated, s.evacuationRevision = slices.Sorted(slices.Values(dataCentres)), s.revision
	s.notify()
	return time.Now()
}

// makeConfig returns a configuration whose encoding repeats itself as real ones do.
func makeConfig(version uint64, size Size) *config {
	c := route.Config{Version: version}
	for i := range size.Routes {
		name := fmt.Sprintf("route-%d", i)
		c.Routes = append(c.Routes, route.Route{
			Name: name, Host: "api.example", Prefix: "/" + name + "/", Shares: []route.Share{{Service: Service, Weight: 1}},
			Timeout: 10 * time.Second, MaxAttempts: 2,
		})
	}
	for i := range size.Customers {
		name := fmt.Sprintf("customer-%d", i)
		c.Customers = append(c.Customers, route.Customer{Name: name, Keys: []string{"key-" + name}})
	}
	c.Services = []route.Service{{Name: Service, Engine: &route.Engine{Slots: 10, KVCacheTokens: 315_000}}}
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "%d\n", version)
	for r := rand.New(rand.NewPCG(version, 3)); raw.Len() < size.ConfigBytes; {
		fmt.Fprintf(&raw, `{"name":"%08x","hostname":"api.example","kind":"streaming","service":"auburnmoor","timeoutMs":10000},`, r.Uint32())
	}
	return &config{raw: raw.Bytes(), parsed: c}
}

// decode returns the configuration with an encoding.
func (s *Store) decode(raw []byte) (route.Config, error) {
	head, _, _ := bytes.Cut(raw, []byte("\n"))
	version, err := strconv.ParseUint(string(head), 10, 64)
	if err != nil {
		return route.Config{}, errors.Wrap(err, "configuration")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.configs[version]
	if c == nil {
		return route.Config{}, errors.Newf("no configuration of version %d", version)
	}
	return c.parsed, nil
}

// SetTrouble changes the trouble and whom it affects, in the calls for some sources, or in all calls.
func (s *Store) SetTrouble(t Trouble, affected func(instance string) bool, ofSources ...watch.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble, s.affected, s.ofSources = t, affected, ofSources
	s.troubleCount++
	if t == Sound {
		s.answeredAt = time.Time{}
	}
	s.notify()
}

// ForgetHistory drops the history of changes.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision + 1
	s.notify()
}

// Copy takes a backup, and Restore restores it and begins a new era.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = s.state
}

// Restore restores the backup: later versions of the configuration are lost.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = s.backup
	s.serverLists = slices.DeleteFunc(s.serverLists, func(l serverList) bool { return l.revision > s.revision })
	s.era++
	s.notify()
}

// AnsweredAt returns when the store first answered an instance after the end of its last trouble, zero
// if it has not yet.
func (s *Store) AnsweredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Position returns the current position.
func (s *Store) Position() position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

// position is the current position. The caller holds s.mu.
func (s *Store) position() position.Position {
	return position.Position{Era: s.era, Revision: s.revision}
}

// listed returns the entries of instances sorted by name.
func (s *Store) listed() []instances.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Sorted(maps.Keys(s.entries))
	out := make([]instances.Instance, len(names))
	for i, name := range names {
		out[i] = s.entries[name]
	}
	return out
}

// Version returns the newest version of the configuration.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
