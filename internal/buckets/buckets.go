// Package buckets defines histogram buckets.
package buckets

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Durations has bounds from 1 ms to 16 s, each twice the previous one: calls to the
// platform take a few milliseconds, the longest answers several seconds.
var Durations = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
