package attempt

import "time"

// Clients give up a stream after a silence of minClientTimeout, firstEventFactor times the
// target time to the first event or gapFactor times the target gap between events,
// whichever is longest. An attempt ends after clientTimeoutShare of that time, so that a
// retry can still follow.
const (
	minClientTimeout   = 2 * time.Second
	firstEventFactor   = 4
	gapFactor          = 8
	clientTimeoutShare = 0.85
)

// ExtendInterval is how long an attempt at overloaded servers continues before it is
// checked again.
const ExtendInterval = 500 * time.Millisecond

// ShouldWait reports whether an attempt continues after no data arrived within its time.
// silent is the time since the last data, overloaded whether the servers are known to be
// overloaded. A retry repeats the whole prefill, so a retry of each late attempt prolongs an
// overload beyond the burst that caused it.
func ShouldWait(silent time.Duration, overloaded bool, first, gap time.Duration) bool {
	clientTimeout := max(minClientTimeout, firstEventFactor*first, gapFactor*gap)
	return overloaded && silent < time.Duration(clientTimeoutShare*float64(clientTimeout))
}
