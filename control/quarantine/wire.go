package quarantine

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
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

// encodeCrashes encodes crashes and trials, with ages instead of times.
func encodeCrashes(now time.Duration, c blame.Changes) *peerpb.CrashReport {
	out := &peerpb.CrashReport{}
	for _, u := range c.Crashes {
		out.Crashes = append(out.Crashes, &peerpb.Crash{
			Server: u.Server, AgoUs: (now - u.At).Microseconds(), Servers: uint32(u.Servers), Keys: numbers(u.Keys), Cleared: numbers(u.Cleared),
			Approximate: u.Approximate, Version: uint64(u.Version), Sound: encodeSound(u.Sound),
		})
	}
	for _, t := range c.Trials {
		out.Trials = append(out.Trials, &peerpb.PartTrial{Part: uint64(t.Part), Claimant: t.Claimant, AgoUs: (now - t.At).Microseconds()})
	}
	for _, u := range c.Used {
		out.Used = append(out.Used, &peerpb.UsedTrial{Id: u.ID, Parts: numbers(u.Parts), AgoUs: (now - u.At).Microseconds()})
	}
	return out
}

func decodeCrashes(now time.Duration, in *peerpb.CrashReport) (c blame.Changes) {
	for _, p := range in.Crashes {
		c.Crashes = append(c.Crashes, blame.Update{
			Exit: blame.Exit{Server: p.Server, At: now - peerpb.Micros(p.AgoUs)}, Servers: int(p.Servers), Keys: keys(p.Keys), Cleared: keys(p.Cleared),
			Approximate: p.Approximate, Version: blame.Version(p.Version), Sound: decodeSound(p.Sound),
		})
	}
	for _, t := range in.Trials {
		c.Trials = append(c.Trials, blame.Trial{Part: blame.Key(t.Part), Claimant: t.Claimant, At: now - peerpb.Micros(t.AgoUs)})
	}
	for _, u := range in.Used {
		c.Used = append(c.Used, blame.UsedTrial{ID: u.Id, Parts: keys(u.Parts), At: now - peerpb.Micros(u.AgoUs)})
	}
	return c
}

func numbers(in []blame.Key) (out []uint64) {
	for _, k := range in {
		out = append(out, uint64(k))
	}
	return out
}

func keys(in []uint64) (out []blame.Key) {
	for _, n := range in {
		out = append(out, blame.Key(n))
	}
	return out
}

func encodeSound(in []blame.Sound) (out []*peerpb.PartSound) {
	for _, s := range in {
		out = append(out, &peerpb.PartSound{Part: uint64(s.Part), Version: uint64(s.Version)})
	}
	return out
}

func decodeSound(in []*peerpb.PartSound) (out []blame.Sound) {
	for _, s := range in {
		out = append(out, blame.Sound{Part: blame.Key(s.Part), Version: blame.Version(s.Version)})
	}
	return out
}
