package spread

import (
	"math"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// meterTimeConstant is the time constant of a Meter's average. Bursts last about 10 s.
const meterTimeConstant = 3 * time.Second

// Meter is a moving average of the backlog of a service's engines over the last few
// seconds. The current backlog is often zero for a moment while the engines are busy
// nearly all of the time. The zero value has seen no load.
type Meter struct {
	mean float64
	at   time.Duration
}

// Observe adds the current backlog and returns the mean. Observations may come at any
// interval; each is weighted by the time since the one before.
func (m *Meter) Observe(now time.Duration, backlog time.Duration) time.Duration {
	keep := math.Exp(-float64(now-m.at) / float64(meterTimeConstant))
	m.mean = keep*m.mean + (1-keep)*float64(backlog)
	m.at = now
	return time.Duration(m.mean)
}

// Mean returns the mean as of the last observation.
func (m *Meter) Mean() time.Duration { return time.Duration(m.mean) }

// Backlog is the mean predicted prefill pending on servers.
func Backlog(servers []backends.Server, load func(string) Load) time.Duration {
	pending := make([]time.Duration, 0, len(servers))
	for _, s := range servers {
		pending = append(pending, load(s.ID).Prefill)
	}
	return meanOf(pending)
}

// maxUnconfirmed caps what one engine contributes to UnconfirmedPrefill. A prompt of
// 628,000 tokens that seven of 21 engines prefill for 6 s must not hold back prompts that
// the rest can prefill.
const maxUnconfirmed = 500 * time.Millisecond

// UnconfirmedPrefill is the mean unconfirmed prefill of the servers that another prompt
// would use: as many as can share one, servers with short answers last, then by least
// unconfirmed prefill. Up to 17 servers it is the mean of all.
//
// The mean of all servers of a large fleet stays high while a few prompts are prefilled
// anywhere: no more prompts were admitted at a time on 69 engines than on 18, and 0.27
// instead of 0.70 of the largest tenth were answered. A mean over the third of the
// servers with the least prefill would include those that decode short answers, and the
// prompts admitted by it would delay these answers.
func UnconfirmedPrefill(servers []backends.Server, load func(string) Load) time.Duration {
	others, writers := make([]time.Duration, 0, len(servers)), []time.Duration{}
	for _, s := range servers {
		l := load(s.ID)
		unconfirmed := min(l.UnconfirmedPrefill, maxUnconfirmed)
		if l.Calls > l.DeepCalls {
			writers = append(writers, unconfirmed)
		} else {
			others = append(others, unconfirmed)
		}
	}
	slices.Sort(others)
	slices.Sort(writers)
	all := append(others, writers...)
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
