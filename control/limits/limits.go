// Package limits keeps the instances together within the limits that backend servers name in
// their answers.
package limits

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.limits"

func init() { auburnmoor.Register(new(Limits)) }

const (
	// batchDelay is how long changes are batched into one message.
	batchDelay = 10 * time.Millisecond
	// repeatInterval is the interval at which recent changes are told to neighbours again, in case
	// messages were lost. They are recent for repeatFor.
	repeatInterval = 400 * time.Millisecond
	repeatFor      = 1500 * time.Millisecond
	// allEvery is the number of these intervals after which neighbours are told all limits.
	allEvery = 10
)

// Limits is the module "control.limits".
type Limits struct {
	log     *zap.Logger
	now     func() time.Duration
	scope   tally.Scope
	link    *peerlink.Link
	members *members.Members
	loads   *loads.Loads
	catalog *follow.Follower
	changed chan struct{}
	// known is the number of records. While it is zero, placing looks up nothing.
	known atomic.Int64
	// viewChanged is set when instances came or went: new ones know no limits.
	viewChanged atomic.Bool

	mu    sync.Mutex
	table *ratelimit.Table
	// granter gives out the permits of the servers that this instance owns, lastRequest is the
	// ID of the newest request for one.
	granter     *ratelimit.Granter
	lastRequest uint64
	// closedUntil is when to ask for a permit of a server again.
	closedUntil map[ratelimit.Key]time.Duration
	// permits counts the permits that this instance got.
	permits map[ratelimit.Key]uint64
	// unreadable are the servers whose limits cannot be read, as logged.
	unreadable map[ratelimit.Key]bool
}

// ModuleInfo implements auburnmoor.Module.
func (*Limits) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, loads.ID, follow.ID, peerlink.ID, backend.Port}, OptIn: true,
		New: func() auburnmoor.Module { return new(Limits) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (l *Limits) Provision(c *auburnmoor.Context) (err error) {
	if l.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if l.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if l.loads, err = auburnmoor.Require[*loads.Loads](c, loads.ID); err != nil {
		return err
	}
	if l.catalog, err = auburnmoor.Require[*follow.Follower](c, follow.ID); err != nil {
		return err
	}
	src, err := auburnmoor.Find[backend.Source](c)
	if err != nil {
		return err
	}
	l.log, l.now, l.scope, l.table = c.Log, c.Now, c.Scope, ratelimit.NewTable()
	l.changed, l.granter = make(chan struct{}, 1), ratelimit.NewGranter(c.Self.Name)
	l.closedUntil, l.permits = map[ratelimit.Key]time.Duration{}, map[ratelimit.Key]uint64{}
	l.unreadable = map[ratelimit.Key]bool{}
	src.Notices().Add(l.observe)
	l.link.Handle(l.receive)
	l.link.HandlePermits(l)
	l.members.OnView(l.updateView)
	return nil
}

// Start implements auburnmoor.Starter.
func (l *Limits) Start(ctx context.Context) error {
	go l.run(ctx)
	return nil
}

// observe records what an answer of a server says of its limit. An answer of a server that did
// not run the request says nothing by naming none.
func (l *Limits) observe(to backend.Endpoint, h backend.Notice) {
	key := ratelimit.KeyOf(to.Server, to.Life)
	if h.Limit.Status == backend.LimitUnreadable {
		l.recordUnreadable(to.Server, key)
		return
	}
	limit := ratelimit.Limit{Named: h.Limit.Status == backend.LimitNamed, PerSecond: h.Limit.PerSecond}
	if !limit.Named && (l.known.Load() == 0 || h.NotRun || !h.Answers) {
		return
	}
	if l.set(l.now(), key, limit) {
		l.log.Info("limit of a server", zap.String("server", to.Server), zap.Bool("named", limit.Named), zap.Float64("per_second", limit.PerSecond))
		l.wake()
	}
}

// recordUnreadable counts a limit that cannot be read, and logs the first one of a server.
func (l *Limits) recordUnreadable(server string, key ratelimit.Key) {
	l.scope.Counter("limits_unreadable_total").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadable[key] {
		return
	}
	l.unreadable[key] = true
	l.log.Warn("limit of a server cannot be read, ignored", zap.String("server", server))
}

// Any reports whether any limit may be in force. Until then nothing else needs to be asked.
func (l *Limits) Any() bool { return l.known.Load() > 0 }

// Limited returns the servers that name a limit, those whose permits may be free first.
func (l *Limits) Limited(servers []backends.Server) (limited []backends.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range servers {
		if _, ok := l.table.Get(ratelimit.KeyOf(s.ID, s.Life)); ok {
			limited = append(limited, s)
		}
	}
	slices.SortStableFunc(limited, func(a, b backends.Server) int { return cmp.Compare(l.closedFor(a), l.closedFor(b)) })
	return limited
}

// ClosedFor returns the time until it makes sense to ask for a permit of a server.
func (l *Limits) ClosedFor(s backends.Server) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedFor(s)
}

func (l *Limits) closedFor(s backends.Server) time.Duration {
	return max(0, l.closedUntil[ratelimit.KeyOf(s.ID, s.Life)]-l.now())
}

// IsLimited reports whether a server names a limit.
func (l *Limits) IsLimited(s backends.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.table.Get(ratelimit.KeyOf(s.ID, s.Life))
	return limited
}

// set records a limit and reports whether it changed.
func (l *Limits) set(heard time.Duration, key ratelimit.Key, limit ratelimit.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.table.Set(heard, key, limit)
	l.known.Store(int64(l.table.Len()))
	if changed {
		l.scope.Counter("limits_changed_total").Inc(1)
	}
	return changed
}

func (l *Limits) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *Limits) run(ctx context.Context) {
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
			time.Sleep(batchDelay)
			l.tell(l.loads.Cell().Peers, false)
		case <-repeat.C:
			l.expire()
			l.tell(l.members.Neighbours(), n%allEvery == 0 || l.viewChanged.Swap(false))
		}
	}
}

// tell sends peers what changed lately, or all that is known.
func (l *Limits) tell(peers []string, all bool) {
	if l.known.Load() == 0 || len(peers) == 0 {
		return
	}
	l.mu.Lock()
	now := l.now()
	records := l.table.ChangedSince(now - repeatFor)
	if all {
		records = l.table.All(now)
	}
	l.mu.Unlock()
	if len(records) > 0 {
		l.link.SendDatagrams(peers, &peerpb.Envelope{Body: &peerpb.Envelope_RateLimits{RateLimits: encode(now, records)}})
	}
}

func (l *Limits) receive(_ string, env *peerpb.Envelope) {
	for _, in := range env.GetRateLimits().GetLimits() {
		heard, limit, ok := decode(l.now(), in)
		if ok {
			l.set(heard, ratelimit.Key(in.Server), limit)
		}
	}
}

// expire drops the limits of servers that are gone.
func (l *Limits) expire() {
	if l.known.Load() == 0 {
		return
	}
	listed, roster := l.listed(), l.members.Roster(leftFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.unreadable, func(key ratelimit.Key, _ bool) bool { return listed[key].ID == "" })
	l.granter.SetFleet(l.now(), ratelimit.Fleet{Size: roster.Size, Incomplete: roster.Incomplete})
	l.table.Retain(l.now(), func(key ratelimit.Key) bool { return listed[key].ID != "" })
	limited := func(key ratelimit.Key) bool {
		_, ok := l.table.Get(key)
		return ok
	}
	l.granter.Retain(limited)
	maps.DeleteFunc(l.permits, func(key ratelimit.Key, _ uint64) bool { return !limited(key) })
	maps.DeleteFunc(l.closedUntil, func(_ ratelimit.Key, until time.Duration) bool { return until < l.now() })
	l.known.Store(int64(l.table.Len()))
	l.scope.Gauge("limits").Update(float64(l.table.Len()))
}

// listed returns the backend servers in use by their keys.
func (l *Limits) listed() map[ratelimit.Key]backends.Server {
	out := map[ratelimit.Key]backends.Server{}
	table, servers := l.catalog.Table(), l.catalog.Servers()
	if table == nil || servers == nil {
		return out
	}
	for _, service := range table.Services {
		for _, s := range servers.Ready(service.Name) {
			out[ratelimit.KeyOf(s.ID, s.Life)] = s
		}
	}
	return out
}
