package follow

import (
	"bytes"
	"compress/flate"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

// content is a configuration as it is passed on between instances.
type content struct {
	version uint64
	// revision is the one of the store at which it was the newest. It goes with the
	// content: a later one, at which another version may have come, would have whoever
	// takes this content over watch from behind that version.
	revision int64
	deflated []byte
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
		held: func() (int64, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.configRevision, f.configRead
		},
		read: func(ctx context.Context, staleOK bool) (int64, error) {
			c, err := f.catalog.Config(ctx, staleOK)
			if errors.Is(err, catalog.ErrNone) {
				f.log.Info("the store holds no configuration yet")
				f.configAt(c.Revision)
				return c.Revision, nil
			}
			return f.takeConfig(&c, c.Revision, err)
		},
		watch: func(ctx context.Context, after int64) (int64, error) {
			return f.takeConfig(f.catalog.WatchConfig(ctx, after, f.Wait.Std()))
		},
	})
}

// configAt notes that what is held is the newest up to a revision.
func (f *Follower) configAt(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configRevision, f.configRead = max(f.configRevision, revision), true
}

// takeConfig takes over what the store tells, nil if nothing changed, and returns the
// revision to watch from. While the newest configuration cannot be read the one in
// force stays, and the next change is waited for: asking again brings the same.
func (f *Follower) takeConfig(c *catalog.Config, revision int64, err error) (int64, error) {
	if errors.Is(err, catalog.ErrUnreadable) {
		f.notAdopted(revision, err)
		f.configAt(revision)
		return revision, nil
	}
	if err != nil {
		return 0, err
	}
	f.configAt(revision)
	if c != nil && f.adopt(*c, "store", deflate(c.Raw)) {
		f.passConfig(f.members.Standing().First())
		f.members.SpreadNow()
	}
	return revision, nil
}

// notAdopted says that the newest configuration cannot be read.
func (f *Follower) notAdopted(revision int64, err error) {
	f.scope.Tagged(map[string]string{"kind": "configuration"}).Counter("entries_unreadable_total").Inc(1)
	f.log.Error("the newest configuration cannot be read, the last one stays in force", zap.Uint64("version", f.version()), zap.Int64("revision", revision), eventlog.Error(err))
}

// adopt takes over a version only if it is newer than the one in force, and reports
// whether it is. Versions come from reads, watches and peers in any order; an older one
// that arrives late must not bring back what operators took away.
func (f *Follower) adopt(c catalog.Config, from string, deflated []byte) bool {
	next := route.NewTable(c.Config)
	for {
		held := f.table.Load()
		if held != nil && held.Version >= next.Version {
			return false
		}
		if f.table.CompareAndSwap(held, next) {
			break
		}
	}
	f.raw.Store(&content{version: next.Version, revision: c.Revision, deflated: deflated})
	f.log.Info("configuration in force", zap.Uint64("version", next.Version), zap.String("from", from),
		zap.Int64("revision", c.Revision), zap.Int("routes", len(next.Routes)), zap.Int("customers", len(next.Customers)), zap.Int("bytes", len(c.Raw)))
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
	return &peerpb.ConfigReply{Version: raw.version, Content: raw.deflated, Revision: raw.revision}
}

// adoptFromPeer takes over what a peer passed on and passes it on in turn.
func (f *Follower) adoptFromPeer(from configFrom) {
	r := from.reply
	if r.Version <= f.version() {
		return
	}
	c, err := f.decode(r)
	if err != nil {
		f.log.Warn("configuration from a peer cannot be read", zap.String("peer", from.peer), eventlog.Error(err))
		return
	}
	first := f.version() == 0
	if !f.adopt(c, "peer", r.Content) {
		return
	}
	f.configAt(r.Revision)
	if !first {
		f.passConfig(f.members.Standing().Next())
	}
}

func (f *Follower) decode(r *peerpb.ConfigReply) (catalog.Config, error) {
	raw, err := inflate(r.Content)
	if err != nil {
		return catalog.Config{}, err
	}
	c, err := f.catalog.Decode(raw)
	c.Revision = r.Revision
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
