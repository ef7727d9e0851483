package simstore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/catalog"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

// ID is the ID of the module through which an instance calls the store.
const ID auburnmoor.ModuleID = "lab.store"

func init() { auburnmoor.Register(new(Client)) }

// Errors of calls.
var (
	errReset  = errors.New("connection to the store reset")
	errBusy   = errors.New("the store is busy")
	errKilled = errors.New("the process has ended")
)

// Sizes of what the store answers, in bytes.
const (
	smallAnswer = 300
	serverBytes = 250
	entryBytes  = 200
)

// decodeTime is what decoding a byte of a configuration takes on a small machine.
const decodeTime = 100 * time.Nanosecond

// Client is the module "lab.store".
type Client struct {
	store *Store
	host  *simnet.Host
	seeds []string
	self  auburnmoor.Identity
	// killed is set once the process has ended.
	killed atomic.Bool

	mu     sync.Mutex
	newest uint64
	// eraEnded is closed when an era later than newest becomes known.
	eraEnded chan struct{}
}

// Configure sets the store, the host of the instance and the peer addresses that it knows from its
// settings. It must be called before Provision.
func (c *Client) Configure(store *Store, host *simnet.Host, seeds []string) {
	c.store, c.host, c.seeds = store, host, seeds
}

// Kill fails all further calls, as the end of the process does.
func (c *Client) Kill() { c.killed.Store(true) }

// ModuleInfo implements auburnmoor.Module.
func (*Client) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Provides: []auburnmoor.ModuleID{catalog.Port, instances.Port}, OptIn: true,
		New: func() auburnmoor.Module { return new(Client) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (c *Client) Provision(ctx *auburnmoor.Context) error {
	if c.store == nil {
		return errors.New("lab.store: Configure was not called")
	}
	c.self, c.eraEnded = ctx.Self, make(chan struct{})
	return nil
}

// Catalog implements catalog.Source.
func (c *Client) Catalog() catalog.Catalog { return c }

// Lister implements instances.Source.
func (c *Client) Lister() instances.Lister { return c }

// Seeds implements instances.Seeder.
func (c *Client) Seeds() []instances.Instance {
	var out []instances.Instance
	for _, addr := range c.seeds {
		if addr != c.self.PeerAddr {
			out = append(out, instances.Instance{Name: peerlink.ProvisionalName(addr), Role: instances.RoleEntry, PeerAddr: addr})
		}
	}
	return out
}

// ObserveEra implements catalog.Catalog.
func (c *Client) ObserveEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.newest {
		c.newest = era
		close(c.eraEnded)
		c.eraEnded = make(chan struct{})
	}
}

// Era implements catalog.Catalog.
func (c *Client) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// call is one call to the store.
type call struct {
	client *Client
	source watch.Source
	// troubleCount is the store's count as the call was made.
	troubleCount int
}

// begin waits until the call has reached the store.
func (c *Client) begin(ctx context.Context, source watch.Source) (*call, error) {
	c.host.AwaitRunning()
	if c.killed.Load() {
		return nil, errKilled
	}
	s := c.store
	s.mu.Lock()
	s.calls++
	trouble, count := s.troubleOf(c.self.Name, source), s.troubleCount
	s.mu.Unlock()
	took := answerTime
	if trouble == Slow {
		took = slowAnswerTime
	}
	if !wait.For(ctx, took) {
		return nil, ctx.Err()
	}
	k := &call{c, source, count}
	return k, k.check(ctx)
}

// entries are what calls for the entries of instances are for, which nobody watches.
const entries = watch.Sources

// troubleOf returns the trouble of the calls of an instance for a source. The caller holds s.mu.
func (s *Store) troubleOf(instance string, source watch.Source) Trouble {
	if s.trouble == Sound || !s.affected(instance) || len(s.ofSources) > 0 && !slices.Contains(s.ofSources, source) {
		return Sound
	}
	return s.trouble
}

// check fails the call as the trouble has it.
func (k *call) check(ctx context.Context) error {
	s := k.client.store
	s.mu.Lock()
	trouble := s.troubleOf(k.client.self.Name, k.source)
	fresh := s.troubleCount != k.troubleCount
	s.mu.Unlock()
	switch {
	case trouble == Silent, k.client.host.Trouble().Off:
		<-ctx.Done()
		return ctx.Err()
	case trouble == Reset:
		return errReset
	case trouble == Busy && !fresh:
		return errBusy
	}
	return nil
}

// finish waits until an answer of some bytes has arrived.
func (k *call) finish(ctx context.Context, bytes int) error {
	if err := k.check(ctx); err != nil {
		return err
	}
	s := k.client.store
	s.mu.Lock()
	lost := s.troubleOf(k.client.self.Name, k.source) == Lost && s.rand.Float64() < lostShare
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !wait.For(ctx, time.Until(k.client.host.Receive(bytes))) {
		return ctx.Err()
	}
	k.client.host.AwaitRunning()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trouble == Sound && s.answeredAt.IsZero() {
		s.answeredAt = time.Now()
	}
	return nil
}

// accept returns an error for an answer of an earlier era than the newest known one.
func (c *Client) accept(at position.Position) error {
	if at.Era < c.Era() {
		return catalog.ErrOldEra
	}
	c.ObserveEra(at.Era)
	return nil
}

// Config implements catalog.Catalog.
func (c *Client) Config(ctx context.Context, _ bool) (catalog.Config, error) {
	k, err := c.begin(ctx, watch.Config)
	if err != nil {
		return catalog.Config{}, err
	}
	out, ok := c.store.config()
	if err := k.finish(ctx, len(out.Raw)); err != nil {
		return catalog.Config{}, err
	}
	if err := c.accept(out.At); err != nil {
		return catalog.Config{}, err
	}
	if !ok {
		return catalog.Config{At: out.At}, catalog.ErrNoConfig
	}
	wait.For(ctx, decodeTime*time.Duration(len(out.Raw)))
	return out, nil
}

// config returns the newest configuration and whether there is one.
func (s *Store) config() (catalog.Config, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.position()
	c := s.configs[s.version]
	if c == nil {
		return catalog.Config{At: at}, false
	}
	return catalog.Config{Config: c.parsed, Raw: c.raw, At: at}, true
}

// WatchConfig implements catalog.Catalog.
func (c *Client) WatchConfig(ctx context.Context, after position.Position, wait time.Duration) (*catalog.Config, position.Position, error) {
	at, changed, err := c.watch(ctx, watch.Config, after, wait, func(s *Store) int64 { return s.configRevision })
	if err != nil || !changed {
		return nil, at, err
	}
	out, _ := c.store.config()
	out.At = at
	return &out, at, nil
}

// watch waits for a change after a position. lastChange returns the revision of the last one; it is called
// with the store locked.
func (c *Client) watch(ctx context.Context, source watch.Source, after position.Position, upTo time.Duration, lastChange func(*Store) int64) (at position.Position, changed bool, err error) {
	k, err := c.begin(ctx, source)
	if err != nil {
		return after, false, err
	}
	c.mu.Lock()
	ended, newest := c.eraEnded, c.newest
	c.mu.Unlock()
	if after.Era < newest {
		return after, false, catalog.ErrHistoryGone
	}
	at, changed, gone, err := k.await(ctx, after, upTo, ended, lastChange)
	if err != nil {
		return after, false, err
	}
	bytes := smallAnswer
	if changed {
		config, _ := c.store.config()
		bytes += len(config.Raw)
	}
	if err := k.finish(ctx, bytes); err != nil {
		return after, false, err
	}
	c.ObserveEra(at.Era)
	if gone || after.Era < c.Era() {
		return after, false, catalog.ErrHistoryGone
	}
	return at, changed, nil
}

// await waits at the store for a change or the end of the wait.
func (k *call) await(ctx context.Context, after position.Position, upTo time.Duration, eraEnded <-chan struct{}, lastChange func(*Store) int64) (at position.Position, changed, gone bool, err error) {
	s := k.client.store
	timeout := time.NewTimer(upTo)
	defer timeout.Stop()
	for waiting := true; ; {
		if err := k.check(ctx); err != nil {
			return after, false, false, err
		}
		s.mu.Lock()
		at, next := s.position(), s.changed
		gone := at.Era != after.Era || after.Revision+1 < s.oldest
		changed := lastChange(s) > after.Revision
		s.mu.Unlock()
		if gone || changed || !waiting {
			return at, changed, gone, nil
		}
		select {
		case <-ctx.Done():
			return after, false, false, ctx.Err()
		case <-eraEnded:
			return after, false, false, catalog.ErrHistoryGone
		case <-timeout.C:
			waiting = false
		case <-next:
		}
	}
}

// Evacuations implements catalog.Catalog.
func (c *Client) Evacuations(ctx context.Context, _ bool) (catalog.Evacuations, error) {
	k, err := c.begin(ctx, watch.Evacuations)
	if err != nil {
		return catalog.Evacuations{}, err
	}
	out := c.store.evacuations()
	if err := k.finish(ctx, smallAnswer); err != nil {
		return catalog.Evacuations{}, err
	}
	return out, c.accept(out.At)
}

func (s *Store) evacuations() catalog.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.Evacuations{DataCentres: s.evacuated, At: s.position()}
}

// WatchEvacuations implements catalog.Catalog. A change is answered with the state of all data centres.
func (c *Client) WatchEvacuations(ctx context.Context, after position.Position, wait time.Duration) (catalog.EvacuationChanges, error) {
	at, changed, err := c.watch(ctx, watch.Evacuations, after, wait, func(s *Store) int64 { return s.evacuationRevision })
	out := catalog.EvacuationChanges{At: at}
	if err != nil || !changed {
		return out, err
	}
	state := c.store.evacuations()
	out.At = state.At
	for _, name := range c.store.dataCentres {
		out.Changes = append(out.Changes, catalog.EvacuationChange{DataCentre: name, Evacuated: slices.Contains(state.DataCentres, name)})
	}
	return out, nil
}

// Decode implements catalog.Catalog.
func (c *Client) Decode(raw []byte) (catalog.Config, error) {
	time.Sleep(decodeTime * time.Duration(len(raw)))
	parsed, err := c.store.decode(raw)
	return catalog.Config{Config: parsed, Raw: raw}, err
}

// List implements instances.Lister.
func (c *Client) List(ctx context.Context) ([]instances.Instance, error) {
	k, err := c.begin(ctx, entries)
	if err != nil {
		return c.Seeds(), nil
	}
	listed := c.store.listed()
	if k.finish(ctx, entryBytes*len(listed)) != nil {
		return c.Seeds(), nil
	}
	return append(c.Seeds(), listed...), nil
}

// Register implements instances.Registrar.
func (c *Client) Register(ctx context.Context, self instances.Instance) error {
	return c.write(ctx, func() { c.store.entries[self.Name] = self })
}

// Deregister implements instances.Registrar.
func (c *Client) Deregister(ctx context.Context, name string) error {
	return c.write(ctx, func() { delete(c.store.entries, name) })
}

// write makes a change to the entries.
func (c *Client) write(ctx context.Context, change func()) error {
	k, err := c.begin(ctx, entries)
	if err != nil {
		return err
	}
	c.store.mu.Lock()
	change()
	c.store.revision++
	c.store.mu.Unlock()
	return k.finish(ctx, smallAnswer)
}
