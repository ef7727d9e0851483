// Package buckets holds the bounds of histograms.
package buckets

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Durations span 1 ms to 16 s, each bound twice the one before: calls to the
// platform take a few milliseconds, the longest answers some seconds.
var Durations = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
