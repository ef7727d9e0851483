package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/internal/buckets"
)

// lateSpread is the time from the store's first word of a version to its adoption from which it is
// logged as late.
const lateSpread = time.Second

// recordSpread records how long after the store's first word of it a version is in force here, and logs
// what a late one waited for: the last confirmation, and the first announcement by another instance.
func (f *Follower) recordSpread(c *content, from string) {
	if c.heardAt == 0 {
		return
	}
	now := f.now()
	took := now - c.heardAt
	f.scope.Histogram("config_spread_seconds", buckets.Durations).RecordDuration(took)
	if took < lateSpread {
		return
	}
	fields := []zap.Field{zap.Uint64("version", c.version), zap.String("from", from), zap.Duration("after", took), zap.Duration("confirmed", f.ConfigAge())}
	if known := f.newerConfig.Load(); known != nil && known.id.version >= c.version {
		fields = append(fields, zap.Duration("announced", now-known.first))
	}
	f.log.Warn("configuration in force late", fields...)
}
