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

// Unread is the mean reading of prompts whose first event has not come, of the
// servers that would read another prompt: as many as can share one, those that write
// short answers last, then those with the least to read. Up to 17 servers it is the
// mean of all.
//
// The mean of all servers of a large fleet stays high while a few prompts are read
// anywhere, so no more prompts were read at a time on 69 engines than on 18 and the
// largest were refused. Answered of the largest tenth of deep prompts and value of
// short ones on 69 and 60 engines, in virtual time: all servers 0.27 and 0.14, 0.99
// and 0.94; the third with least to read 0.80 and 0.50, 0.97 and 0.89, because the
// engines that write short answers are among it; these 0.70 and 0.35, 0.97 and 0.93
// (eight seeds, before the rank of a prompt was bounded).
func Unread(servers []backends.Server, load func(string) Load) time.Duration {
	readers, writers := make([]time.Duration, 0, len(servers)), []time.Duration{}
	for _, s := range servers {
		l := load(s.ID)
		unread := min(l.Unread, mostUnread)
		if l.Calls > l.LongCalls {
			writers = append(writers, unread)
		} else {
			readers = append(readers, unread)
		}
	}
	slices.Sort(readers)
	slices.Sort(writers)
	all := append(readers, writers...)
	return meanOf(all[:min(len(all), maxHelpers+1)])
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
