package spread

import (
	"math"
	"slices"
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
	read := make([]time.Duration, 0, len(servers))
	for _, s := range servers {
		read = append(read, load(s.ID).Read)
	}
	return meanOf(read)
}

// mostUnread is what one engine counts at most in Unread. A prompt of 628,000
// tokens that seven of 21 engines read for 6 s must not hold back all others,
// which the rest can read.
const mostUnread = 500 * time.Millisecond

// leastShare of the servers, those with the least to read, tell whether there is
// room for another prompt; but at least as many as can share one. The mean of all
// servers of a large fleet stays high while a few prompts are read anywhere, so no
// more prompts were read at a time on 69 engines than on 18. Answered of the largest
// tenth of deep prompts on 69 and 60 engines, and value of short ones (eight seeds
// in virtual time): all servers 0.27 and 0.14, 0.99 and 0.94; 0.6 of them 0.68 and 0.33,
// 0.98 and 0.91 (six seeds); a third 0.80 and
// 0.50, 0.97 and 0.89; only as many as can share one 0.82 and 0.49, 0.95 and 0.89.
const leastShare = 1.0 / 3

// Unread is the mean reading of prompts whose first event has not come, of the
// servers that have least of it. A prompt waits for those that would read it, not
// for the rest of the fleet. Up to 17 servers it is the mean of all.
func Unread(servers []backends.Server, load func(string) Load) time.Duration {
	unread := make([]time.Duration, 0, len(servers))
	for _, s := range servers {
		unread = append(unread, min(load(s.ID).Unread, mostUnread))
	}
	slices.Sort(unread)
	most := max(maxHelpers+1, int(leastShare*float64(len(unread))))
	return meanOf(unread[:min(len(unread), most)])
}

func meanOf(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(len(all))
}
