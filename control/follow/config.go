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
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// content is a configuration as it is passed on between instances.
type content struct {
	version uint64
	// at is the position of the store at which it was the newest. It goes with the
	// content: a later one, at which another version may have come, would have whoever
	// takes this content over watch from behind that version.
	at       position.Position
	digest   uint64
	deflated []byte
}

// configID tells configurations apart.
type configID struct {
	version, era, digest uint64
}

// older reports whether another configuration is to be in force rather than this one: a
// higher version or, of one version, another content that the store took in a later era.
// The store lost the content of the earlier one, so the later is the newest that was
// accepted.
func (id configID) older(o configID) bool {
	return o.version > id.version || o.version == id.version && o.era > id.era && o.digest != id.digest
}

// configID is that of the configuration in force.
func (f *Follower) configID() configID {
	c := f.raw.Load()
	if c == nil {
		return configID{}
	}
	return configID{c.version, c.at.Era, c.digest}
}

// configFrom is a configuration that a peer passed on.
type configFrom struct {
	peer  string
	reply *peerpb.ConfigReply
}

// mostConfig bounds a configuration that a peer passes on, in bytes. The store holds
// objects of a megabyte at most.
const mostConfig = 16 << 20

func (f *Follower) followConfig(ctx context.Context) {
	f.follow(ctx, source{
		name: whatConfig,
		held: func() (position.Position, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.configAt, f.configRead
		},
		read: func(ctx context.Context, staleOK bool) (position.Position, error) {
			c, err := f.catalog.Config(ctx, staleOK)
			if errors.Is(err, catalog.ErrNone) {
				f.log.Info("the store holds no configuration yet")
				f.noteConfigAt(c.At)
				return c.At, nil
			}
			return f.takeConfig(&c, c.At, err)
		},
		watch: func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error) {
			return f.takeConfig(f.catalog.WatchConfig(ctx, after, wait))
		},
	})
}

// noteConfigAt notes that what is held is the newest up to a position.
func (f *Follower) noteConfigAt(at position.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configAt, f.configRead = position.Later(f.configAt, at), true
}

// takeConfig takes over what the store tells, nil if nothing changed, and returns the
// position to watch from. While the newest configuration cannot be read the one in
// force stays, and the next change is waited for: asking again brings the same.
func (f *Follower) takeConfig(c *catalog.Config, at position.Position, err error) (position.Position, error) {
	if errors.Is(err, catalog.ErrUnreadable) {
		f.notAdopted(at, err)
		f.noteConfigAt(at)
		return at, nil
	}
	if err != nil {
		return at, err
	}
	f.noteConfigAt(at)
	if c != nil {
		f.compareWithStore(c.Config.Version, at)
	}
	if c != nil && f.adopt(*c, "store", deflate(c.Raw)) {
		f.passConfig(f.members.Standing().FirstTargets())
		f.members.SpreadNow()
	}
	return at, nil
}

// compareWithStore says when the store holds an older configuration than the one in
// force, and when it no longer does. What was accepted is never back: the version in
// force stays until a higher one comes, or the same one with another content. If none
// does, it stays for as long as an instance lives that knows it.
func (f *Follower) compareWithStore(stored uint64, at position.Position) {
	inForce := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.behind
	f.behind = 0
	if stored < inForce {
		f.behind = stored
	}
	switch {
	case f.behind != 0 && f.behind != was:
		f.log.Warn("the store holds an older configuration than the one in force, which stays", zap.Uint64("stored", stored), zap.Uint64("version", inForce), zap.Stringer("at", at))
	case f.behind == 0 && was != 0:
		f.log.Info("the store holds no older configuration any more", zap.Uint64("stored", stored), zap.Stringer("at", at))
	}
}

// notAdopted says that the newest configuration cannot be read.
func (f *Follower) notAdopted(at position.Position, err error) {
	f.scope.Tagged(map[string]string{"kind": "configuration"}).Counter("entries_unreadable_total").Inc(1)
	f.log.Error("the newest configuration cannot be read, the last one stays in force", zap.Uint64("version", f.version()), zap.Stringer("at", at), eventlog.Error(err))
}

// adopt takes over a version only if it is newer than the one in force, and reports
// whether it is. Versions come from reads, watches and peers in any order; an older one
// that arrives late must not bring back what operators took away.
func (f *Follower) adopt(c catalog.Config, from string, deflated []byte) bool {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	held := f.configID()
	next := &content{version: c.Config.Version, at: c.At, digest: xxhash.Sum64(c.Raw), deflated: deflated}
	if f.table.Load() != nil && !held.older(configID{next.version, next.at.Era, next.digest}) {
		if next.version == held.version && next.digest == held.digest && next.at.Era > held.era {
			// Written again after the store lost it.
			f.raw.Store(next)
		}
		return false
	}
	f.table.Store(route.NewTable(c.Config))
	f.raw.Store(next)
	f.log.Info("configuration in force", zap.Uint64("version", next.version), zap.String("from", from),
		zap.Stringer("at", c.At), zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)), zap.Int("bytes", len(c.Raw)))
	f.changed()
	return true
}

// passConfig sends what is in force to peers.
func (f *Follower) passConfig(to []string) {
	reply := f.configReply()
	if reply == nil {
		return
	}
	for _, peer := range to {
		f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: reply}})
	}
}

// configReply is what is in force as it is passed on, nil before any is known.
func (f *Follower) configReply() *peerpb.ConfigReply {
	raw := f.raw.Load()
	if raw == nil {
		return nil
	}
	return &peerpb.ConfigReply{Version: raw.version, Content: raw.deflated, Revision: raw.at.Revision, Era: raw.at.Era}
}

// adoptFromPeer takes over what a peer passed on and passes it on in turn.
func (f *Follower) adoptFromPeer(from configFrom) {
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
	if !f.adopt(c, "peer", r.Content) {
		return
	}
	f.noteConfigAt(c.At)
	if !first {
		f.passConfig(f.members.Standing().Children())
	}
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

// deflate compresses a configuration: one of 1,400 routes shrinks to about a tenth, and
// small instances have links of 20 Mbit/s.
func deflate(raw []byte) []byte {
	var b bytes.Buffer
	// Neither call fails: the level is valid and the buffer takes everything.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

func inflate(deflated []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(deflated))
	raw, err := io.ReadAll(io.LimitReader(r, mostConfig+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed configuration")
	}
	if len(raw) > mostConfig {
		return nil, errors.Newf("configuration of more than %d bytes", mostConfig)
	}
	return raw, nil
}
