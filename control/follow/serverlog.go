package follow

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// maxTransitionLines bounds the lines on single servers of one change of the list.
const maxTransitionLines = 16

// logServers logs a change of the list of servers; before is nil for the first list.
func (f *Follower) logServers(from string, before, after *backends.Snapshot) {
	f.log.Info("backend servers changed", zap.String("from", from), zap.Stringer("at", after.At), zap.Int("servers", after.Len()), digestField(after.Digest))
	if before == nil {
		return
	}
	transitions := after.Transitions(before)
	for _, t := range transitions[:min(len(transitions), maxTransitionLines)] {
		fields := []zap.Field{
			zap.String("server", t.Server.ID), zap.String("service", t.Server.Service), zap.Int64("life", int64(t.Server.Life)),
			zap.String("from", from), zap.Stringer("at", after.At),
		}
		switch t.Kind {
		case backends.Listed:
			f.log.Info("backend server listed", fields...)
		case backends.Leaves:
			f.log.Info("backend server leaves", fields...)
		case backends.Gone:
			f.log.Info("backend server gone", fields...)
		}
	}
	if more := len(transitions) - maxTransitionLines; more > 0 {
		f.log.Info("more backend servers changed", zap.Int("servers", more), zap.Stringer("at", after.At))
	}
}

// digestField is the log field of the digest of a list.
func digestField(digest uint64) zap.Field { return zap.String("digest", formatDigest(digest)) }

func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }
