package limits

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of the module.
type Dump struct {
	Limits []DumpLimit `json:"limits"`
}

// DumpLimit is a limit in force.
type DumpLimit struct {
	Server    string  `json:"server"`
	PerSecond float64 `json:"per_second"`
	// Age is the time since an answer named it last, InForce the time since it was first named.
	Age     time.Duration `json:"age_ns"`
	InForce time.Duration `json:"in_force_ns"`
	// Owner is the instance that gives out the permits, Permits the number that this instance
	// got, Waiting the requests of all instances that wait for one here.
	Owner   string `json:"owner"`
	Permits uint64 `json:"permits"`
	Waiting int    `json:"waiting"`
}

// Dump implements auburnmoor.Dumper.
func (l *Limits) Dump() any {
	listed := l.listed()
	l.mu.Lock()
	defer l.mu.Unlock()
	now, d := l.now(), Dump{}
	for key, r := range l.table.All(now) {
		if r.Named {
			d.Limits = append(d.Limits, DumpLimit{
				Server: listed[key].ID, PerSecond: r.PerSecond, Age: now - r.Heard, InForce: now - r.Since,
				Owner: l.granter.Owner(key), Permits: l.permits[key], Waiting: l.granter.Waiting(key),
			})
		}
	}
	slices.SortFunc(d.Limits, func(a, b DumpLimit) int { return cmp.Compare(a.Server, b.Server) })
	return d
}
