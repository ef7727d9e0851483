package ratelimit

import "time"

// HandoverTime is how long a new owner of a server, or one that has just started or just heard
// from all others, gives out no permits: the one before may do so until it has the same view.
const HandoverTime = 2500 * time.Millisecond

const (
	// minorityTime is how long instances that see no more than half of all give out nothing, as
	// the others may. After that they are more likely to be the only ones.
	minorityTime = 30 * time.Second
	// maxIncomplete is how long after its start an instance waits for others that it has not heard
	// from: their entries may be stale.
	maxIncomplete = 20 * time.Second
)

// retryDenied is the time after which to ask again an instance that owns a server not yet, or
// not any more.
const retryDenied = 300 * time.Millisecond

// Unlimited is the rate for requests that asked before their server's limit ended.
const Unlimited = 1e6

// View is the fleet as one instance sees it.
type View struct {
	// Owners are the instances in sight that may own servers, InSight the number of all in sight.
	Owners  []string
	InSight int
}

// Decision is the answer to a request for a permit.
type Decision struct {
	Granted bool
	// Queued is set if the request waits; it is polled after Pause.
	Queued bool
	// Pause is the time until a permit may be free: for this request if it was not granted, for
	// the next one otherwise.
	Pause time.Duration
}

// Granter gives out the permits of the servers that an instance owns. Times are those since the
// start of the process. It is not safe for concurrent use.
type Granter struct {
	self  string
	view  View
	fleet Fleet
	// complete is set once this instance knows that it has heard from all others. If it knew
	// before that it had not, that was at completed.
	complete  bool
	completed time.Duration
	// toldSize is the largest size of the fleet that others told lately, at toldAt.
	toldSize int
	toldAt   time.Duration
	// minority is set while this instance sees no more than half of all, minorityChanged is when
	// that began or ended.
	minority        bool
	minorityChanged time.Duration
	owners          map[Key]string
	pacer           *Pacer
}

// NewGranter returns the granter of an instance that sees no others.
func NewGranter(self string) *Granter {
	return &Granter{self: self, view: View{Owners: []string{self}, InSight: 1}, owners: map[Key]string{}, pacer: NewPacer()}
}

// Owner returns the instance that gives out the permits of a server.
func (g *Granter) Owner(key Key) string {
	owner, ok := g.owners[key]
	if !ok {
		owner = Owner(key, g.view.Owners)
		g.owners[key] = owner
	}
	return owner
}

// SetView replaces the view. A server of the limited ones that another instance owned until now
// gets no permits for a while.
func (g *Granter) SetView(now time.Duration, v View, limited []Key) {
	before := g.view.Owners
	g.view, g.owners = v, map[Key]string{}
	g.checkMinority(now)
	for _, key := range limited {
		if g.Owner(key) == g.self && Owner(key, before) != g.self {
			g.pacer.Block(key, now+HandoverTime)
		}
	}
}

// Fleet is what an instance knows of all instances, whether or not it sees them.
type Fleet struct {
	Size int
	// Incomplete is set while there may be instances that this one has not heard from.
	Incomplete bool
}

// SetFleet sets what is known of all instances.
func (g *Granter) SetFleet(now time.Duration, f Fleet) {
	if !f.Incomplete && !g.complete {
		g.complete = true
		if g.fleet.Incomplete {
			g.completed = now
		}
	}
	g.fleet = f
	g.checkMinority(now)
}

// Size is the number of all instances as far as is known here.
func (g *Granter) Size() int { return max(g.fleet.Size, g.toldSize) }

// SetTold records the size of the fleet as another instance knows it. One that has just started
// behind a partition does not know of the other side.
func (g *Granter) SetTold(now time.Duration, size int) {
	if size < g.toldSize && now-g.toldAt < minorityTime {
		return
	}
	g.toldSize, g.toldAt = size, now
	g.checkMinority(now)
}

func (g *Granter) checkMinority(now time.Duration) {
	minority := 2*g.view.InSight <= g.Size()
	if minority != g.minority {
		g.minority, g.minorityChanged = minority, now
	}
}

// rate is the part of a limit that this instance gives out, or false if it gives out none.
func (g *Granter) rate(now time.Duration, key Key, l Limit) (float64, bool) {
	switch {
	case now < HandoverTime, g.fleet.Incomplete && now < maxIncomplete:
		return 0, false
	case g.completed > 0 && now < g.completed+HandoverTime:
		// The others may not have heard from this instance yet.
		return 0, false
	case g.minority && now-g.minorityChanged < minorityTime, g.Owner(key) != g.self:
		return 0, false
	case !g.minority && g.minorityChanged > 0 && now-g.minorityChanged < HandoverTime:
		// Members out of sight are noticed late, so two sides may see more than half.
		return 0, false
	case !l.Named:
		return Unlimited, true
	default:
		return ShareOf(l.PerSecond, g.view.InSight, g.Size()), true
	}
}

// Ask decides on a new request, which waits for at most maxWait.
func (g *Granter) Ask(now time.Duration, key Key, l Limit, r Request, maxWait time.Duration) Decision {
	rate, ok := g.rate(now, key, l)
	if !ok {
		return Decision{Pause: retryDenied}
	}
	expected := g.pacer.Ask(now, key, rate, r, maxWait)
	switch {
	case expected == 0:
		return Decision{Granted: true, Pause: g.pacer.Next(now, key)}
	case expected > maxWait:
		return Decision{Pause: expected}
	default:
		return Decision{Queued: true, Pause: min(expected, g.pacer.Next(now, key))}
	}
}

// Poll decides on a request that waits.
func (g *Granter) Poll(now time.Duration, key Key, l Limit, id uint64) Decision {
	rate, ok := g.rate(now, key, l)
	if !ok {
		return Decision{Queued: true, Pause: retryDenied}
	}
	if pause := g.pacer.Poll(now, key, rate, id); pause > 0 {
		return Decision{Queued: true, Pause: pause}
	}
	return Decision{Granted: true, Pause: g.pacer.Next(now, key)}
}

// Leave removes a request that waits.
func (g *Granter) Leave(key Key, id uint64) { g.pacer.Leave(key, id) }

// Waiting returns the number of requests that wait for permits of a server.
func (g *Granter) Waiting(key Key) int { return g.pacer.Waiting(key) }

// Retain drops what is known of servers that name no limit any more.
func (g *Granter) Retain(limited func(Key) bool) { g.pacer.Retain(limited) }
