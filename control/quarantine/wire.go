package quarantine

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// encode encodes changes, with ages instead of times because instances have no common clock.
func encode(now time.Duration, changes poison.Changes) *peerpb.SuspectRequests {
	out := &peerpb.SuspectRequests{}
	for _, e := range changes.Exits {
		out.Ends = append(out.Ends, &peerpb.ServerEnd{Server: e.Server, AgoUs: (now - e.At).Microseconds()})
	}
	for _, r := range changes.Records {
		p := &peerpb.SuspectRequest{Key: r.Key[:], Round: r.Round, ChangedAgoUs: (now - r.Changed).Microseconds()}
		for _, c := range r.Crashes {
			p.Crashes = append(p.Crashes, &peerpb.ServerCrash{
				Server: c.Server, EndedAgoUs: (now - c.Ended).Microseconds(), RanUs: (c.Ended - c.Began).Microseconds(),
			})
		}
		out.Requests = append(out.Requests, p)
	}
	return out
}

// decode decodes a record. It returns false if the key has the wrong length.
func decode(now time.Duration, p *peerpb.SuspectRequest) (r poison.Record, ok bool) {
	if len(p.Key) != len(r.Key) {
		return r, false
	}
	r = poison.Record{Key: poison.Key(p.Key), Round: p.Round, Changed: now - peerpb.Micros(p.ChangedAgoUs)}
	for _, c := range p.Crashes {
		ended := now - peerpb.Micros(c.EndedAgoUs)
		r.Crashes = append(r.Crashes, poison.Crash{Server: c.Server, Began: ended - peerpb.Micros(c.RanUs), Ended: ended})
	}
	return r, true
}
