package spread

import (
	"math"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// meterMemory is the time over which a Meter forgets. Bursts last some 10 s.
const meterMemory = 3 * time.Second

// Meter is the mean reading before the engines of a service over the last few
// seconds. The present one is often zero for a moment while the engines are
// busy nearly all of the time. The zero value has seen no load.
type Meter struct {
	mean float64
	at   time.Duration
}

// Observe takes the present reading and returns the mean. Readings may come at
// any intervals; each counts for the time since the one before.
func (m *Meter) Observe(now time.Duration, backlog time.Duration) time.Duration {
	keep := math.Exp(-float64(now-m.at) / float64(meterMemory))
	m.mean = keep*m.mean + (1-keep)*float64(backlog)
	m.at = now
	return time.Duration(m.mean)
}

// Mean returns the mean as of the last observation.
func (m *Meter) Mean() time.Duration { return time.Duration(m.mean) }

// Backlog is the mean reading that servers should still have before them.
func Backlog(servers []backends.Server, load func(string) Load) time.Duration {
	return mean(servers, func(id string) time.Duration { return load(id).Read })
}

// mostUnread is what one engine counts at most in Unread. A prompt of 628,000
// tokens that seven of 21 engines read for 6 s must not hold back all others,
// which the rest can read.
const mostUnread = 500 * time.Millisecond

// Unread is the mean reading of prompts whose first event has not come.
func Unread(servers []backends.Server, load func(string) Load) time.Duration {
	return mean(servers, func(id string) time.Duration { return min(load(id).Unread, mostUnread) })
}

func mean(servers []backends.Server, of func(id string) time.Duration) time.Duration {
	if len(servers) == 0 {
		return 0
	}
	var sum time.Duration
	for _, s := range servers {
		sum += of(s.ID)
	}
	return sum / time.Duration(len(servers))
}
