package follow

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// unknownAge stands for an answer that is not known, to instances that know only of the older of two.
const unknownAge = 24 * time.Hour

// confirmationMessage encodes what is known of the calls of an instance that watches the store. The times of each
// source are stated only where one is late or fails, so that they cost nothing at rest.
func (f *Follower) confirmationMessage(now time.Duration, c watch.Confirmation) *peerpb.Confirmation {
	both := min(c.At[watch.Config], c.At[watch.Servers])
	m := &peerpb.Confirmation{By: c.By, AgeMs: milliseconds(unknownAge)}
	if both > 0 {
		m.AgeMs = milliseconds(now - both)
	}
	oldest := both
	if f.Evacuations {
		oldest = min(both, c.At[watch.Evacuations])
	}
	usual := oldest > 0 && now-oldest <= f.watchPolicy.StaleAfter
	for s := range c.At {
		usual = usual && c.Failed[s] <= c.At[s]
	}
	if usual {
		return m
	}
	for s := range c.At {
		m.Sources = append(m.Sources, &peerpb.SourceTimes{AnsweredMs: ageForPeers(now, c.At[s]), FailedMs: ageForPeers(now, c.Failed[s])})
	}
	return m
}

// confirmationFrom decodes what a peer knows of the calls of an instance.
func confirmationFrom(now time.Duration, m *peerpb.Confirmation) watch.Confirmation {
	c := watch.Confirmation{By: m.By}
	if len(m.Sources) == 0 {
		for s := range c.At {
			c.At[s] = now - fromMilliseconds(m.AgeMs)
		}
		return c
	}
	for s, times := range m.Sources[:min(len(m.Sources), len(c.At))] {
		c.At[s], c.Failed[s] = timeFromPeer(now, times.AnsweredMs), timeFromPeer(now, times.FailedMs)
	}
	return c
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d).Milliseconds()) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageForPeers encodes the time since a moment, zero if it is not known.
func ageForPeers(now, at time.Duration) uint32 {
	if at <= 0 {
		return 0
	}
	return milliseconds(now-at) + 1
}

// timeFromPeer decodes a moment, zero if it is not known.
func timeFromPeer(now time.Duration, age uint32) time.Duration {
	if age == 0 {
		return 0
	}
	return now - fromMilliseconds(age-1)
}
