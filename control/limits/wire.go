package limits

import (
	"math"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func encode(now time.Duration, records map[ratelimit.Key]ratelimit.Record) *peerpb.RateLimits {
	out := &peerpb.RateLimits{}
	for key, r := range records {
		out.Limits = append(out.Limits, encodeOne(now, key, r))
	}
	return out
}

func encodeOne(now time.Duration, key ratelimit.Key, r ratelimit.Record) *peerpb.NamedLimit {
	return &peerpb.NamedLimit{Server: uint64(key), Named: r.Named, PerSecond: r.PerSecond, AgeMs: uint32((now - r.Heard).Milliseconds())}
}

// decode returns what a peer heard and when, or false if it is no limit.
func decode(now time.Duration, in *peerpb.NamedLimit) (heard time.Duration, l ratelimit.Limit, ok bool) {
	if math.IsNaN(in.PerSecond) || math.IsInf(in.PerSecond, 0) || in.PerSecond < 0 {
		return 0, l, false
	}
	return now - time.Duration(in.AgeMs)*time.Millisecond, ratelimit.Limit{Named: in.Named, PerSecond: in.PerSecond}, true
}
