package follow

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// content is an encoded configuration, as instances send it to each other.
type content struct {
	version uint64
	// at is the store position up to which this content was the newest. It must not be
	// later than that: an instance that adopts the content watches from here and would
	// miss a version written in between.
	at       position.Position
	digest   uint64
	deflated []byte
	// heardAt is when a watching instance got this version from the store, by the local clock, zero if
	// unknown.
	heardAt time.Duration
}

// configID identifies a configuration.
type configID struct {
	version, era, digest uint64
}

// supersededBy reports whether o replaces this configuration: it has a higher version, or
// the same version with other content that the store accepted in a later era. In the
// second case the store lost the earlier content, so the later is the last accepted one.
func (id configID) supersededBy(o configID) bool {
	return o.version > id.version || o.version == id.version && o.era > id.era && o.digest != id.digest
}

// configID identifies the configuration in force.
func (f *Follower) configID() configID {
	c := f.encoded.Load()
	if c == nil {
		return configID{}
	}
	return configID{c.version, c.at.Era, c.digest}
}

// peerConfig is a configuration received from a peer.
type peerConfig struct {
	peer  string
	reply *peerpb.ConfigReply
}

// maxConfigBytes bounds the decompressed size of a configuration from a peer. The store
// holds objects of at most a megabyte.
const maxConfigBytes = 16 << 20

func (f *Follower) followConfig(ctx context.Context) {
	f.follow(ctx, source{
		id: watch.Config,
		held: func() (position.Position, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.configAt, f.configKnown
		},
		read: func(ctx context.Context, staleOK bool) (position.Position, error) {
			c, err := f.catalog.Config(ctx, staleOK)
			c.At = positionOf(c.At, staleOK)
			if errors.Is(err, catalog.ErrNoConfig) {
				f.log.Info("the store holds no configuration yet")
				f.advanceConfigAt(c.At)
				return c.At, nil
			}
			return f.applyStoreConfig(&c, c.At, 0, err)
		},
		watch: func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error) {
			c, at, err := f.catalog.WatchConfig(ctx, after, wait)
			return f.applyStoreConfig(c, at, f.now(), err)
		},
	})
}

// advanceConfigAt records that the local configuration is the newest up to a position.
func (f *Follower) advanceConfigAt(at position.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configAt, f.configKnown = position.Later(f.configAt, at), true
}

// applyStoreConfig adopts a configuration from the store, nil if nothing changed, and
// returns the position to watch from. heardAt is when the store reported the change, zero for
// a read, which does not tell. If the newest configuration is unreadable, the newest readable one is in force
// until the next change: reading again would return the same bytes.
func (f *Follower) applyStoreConfig(c *catalog.Config, at position.Position, heardAt time.Duration, err error) (position.Position, error) {
	malformed := errors.Is(err, catalog.ErrMalformed)
	unreadable := errors.Is(err, catalog.ErrUnreadable)
	if err != nil && !malformed && !unreadable {
		return at, err
	}
	if unreadable {
		f.reportUnreadableConfig(at, err)
	}
	if !malformed {
		err = nil
		f.advanceConfigAt(at)
	}
	if c == nil || c.Raw == nil {
		return at, err
	}
	f.compareWithStore(c.Config.Version, at)
	if f.adopt(*c, "store", heardAt, deflate(c.Raw)) {
		f.sendConfig(f.members.Standing().FirstTargets())
		f.members.GossipNow()
	}
	return at, err
}

// compareWithStore logs when the store starts and stops holding an older configuration
// than the one in force. An accepted configuration is never rolled back: it stays in force
// until a higher version arrives, or the same version with other content, for as long as
// any live instance has it.
func (f *Follower) compareWithStore(stored uint64, at position.Position) {
	inForce := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.olderStoreVersion
	f.olderStoreVersion = 0
	if stored < inForce {
		f.olderStoreVersion = stored
	}
	switch {
	case f.olderStoreVersion != 0 && f.olderStoreVersion != previous:
		f.log.Warn("the store holds an older configuration than the one in force, keeping the one in force", zap.Uint64("stored", stored), zap.Uint64("version", inForce), zap.Stringer("at", at))
	case f.olderStoreVersion == 0 && previous != 0:
		f.log.Info("the store no longer holds an older configuration", zap.Uint64("stored", stored), zap.Stringer("at", at))
	}
}

// reportUnreadableConfig logs and counts a newest configuration that cannot be read.
func (f *Follower) reportUnreadableConfig(at position.Position, err error) {
	f.scope.Tagged(map[string]string{"kind": "configuration"}).Counter("entries_unreadable_total").Inc(1)
	f.log.Error("the newest configuration cannot be read, keeping the one in force", zap.Uint64("version", f.version()), zap.Stringer("at", at), eventlog.Error(err))
}

// adopt puts a configuration into force if it is newer than the current one, and reports
// whether it did. Versions arrive from reads, watches and peers in any order; an older one
// that arrives late must not restore what operators removed.
func (f *Follower) adopt(c catalog.Config, from string, heardAt time.Duration, deflated []byte) bool {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	held := f.configID()
	next := &content{version: c.Config.Version, at: c.At, digest: xxhash.Sum64(c.Raw), deflated: deflated, heardAt: heardAt}
	if f.table.Load() != nil && !held.supersededBy(configID{next.version, next.at.Era, next.digest}) {
		if next.version == held.version && next.digest == held.digest && next.at.Era > held.era {
			// The same content was written again after the store lost it.
			f.encoded.Store(next)
		}
		return false
	}
	f.table.Store(route.NewTable(c.Config))
	f.encoded.Store(next)
	f.log.Info("configuration in force", zap.Uint64("version", next.version), zap.String("from", from),
		zap.Stringer("at", c.At), zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)), zap.Int("bytes", len(c.Raw)))
	if held.version > 0 {
		f.recordSpread(next, from)
	}
	f.updateServing()
	return true
}

// sendConfig sends the configuration in force to peers.
func (f *Follower) sendConfig(to []string) {
	reply := f.configReply()
	if reply == nil {
		return
	}
	for _, peer := range to {
		f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: reply}})
	}
}

// configReply returns the configuration in force as a message, or nil if there is none.
func (f *Follower) configReply() *peerpb.ConfigReply {
	raw := f.encoded.Load()
	if raw == nil {
		return nil
	}
	return &peerpb.ConfigReply{Version: raw.version, Content: raw.deflated, Revision: raw.at.Revision, Era: raw.at.Era, AgeUs: f.ageUS(raw)}
}

// ageUS is how long ago the version was heard of from the store, in microseconds, zero if unknown.
func (f *Follower) ageUS(c *content) int64 {
	if c.heardAt == 0 {
		return 0
	}
	return max(time.Microsecond, f.now()-c.heardAt).Microseconds()
}

// adoptFromPeer adopts a newer configuration from a peer and forwards it along the tree
// of decide/watch, unless it is the first one that this instance has.
func (f *Follower) adoptFromPeer(from peerConfig) {
	r := from.reply
	if r.Version < f.version() || r.Version == f.version() && r.Era <= f.configID().era {
		return
	}
	f.learnEra(r.Era)
	c, err := f.decode(r)
	if err != nil {
		f.log.Warn("configuration from a peer cannot be read", zap.String("peer", from.peer), eventlog.Error(err))
		return
	}
	first := f.version() == 0
	if !f.adopt(c, "peer", f.heardAt(r), r.Content) {
		return
	}
	f.advanceConfigAt(c.At)
	if !first {
		f.sendConfig(f.members.Standing().Children())
	}
}

// heardAt is when a watching instance got a version from the store, by the local clock, zero if unknown.
func (f *Follower) heardAt(r *peerpb.ConfigReply) time.Duration {
	if r.AgeUs <= 0 {
		return 0
	}
	// An instance that has just started may have a clock that is younger than the version.
	return max(1, f.now()-peerpb.Micros(r.AgeUs))
}

func (f *Follower) decode(r *peerpb.ConfigReply) (catalog.Config, error) {
	raw, err := inflate(r.Content)
	if err != nil {
		return catalog.Config{}, err
	}
	c, err := f.catalog.Decode(raw)
	c.At = position.Position{Era: r.Era, Revision: r.Revision}
	return c, err
}

// deflate compresses a configuration. One of 1,400 routes shrinks to about a tenth, which
// matters to small instances with links of 20 Mbit/s.
func deflate(raw []byte) []byte {
	var b bytes.Buffer
	// These calls cannot fail: the level is valid and writes to a buffer succeed.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

func inflate(deflated []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(deflated))
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed configuration")
	}
	if len(raw) > maxConfigBytes {
		return nil, errors.Newf("configuration of more than %d bytes", maxConfigBytes)
	}
	return raw, nil
}
