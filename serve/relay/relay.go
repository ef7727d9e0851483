// Package relay forwards requests to backend servers and their answers to the
// clients. It finds the route, places the request, and lets decide/attempt decide
// what follows when an attempt fails.
package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/limits"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/notices"
	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/attempt"
	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/health"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/serve/peerproxy"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "serve.relay"

func init() { auburnmoor.Register(new(Relay)) }

// Defaults of the settings, and fixed bounds.
const (
	defaultRetryRatio  = 0.2
	defaultRetryExtra  = 20
	defaultRetryWindow = 10 * time.Second
	// maxEjected is the share of a service's servers that may be out of rotation.
	maxEjected = 0.34
)

// Relay is the module "serve.relay".
type Relay struct {
	// RetryRatio and RetryExtra bound the retries of all instances together in
	// each RetryWindow: RetryRatio for each request of a service, plus RetryExtra.
	RetryRatio  float64           `toml:"retry_ratio" validate:"min=0,max=1"`
	RetryExtra  float64           `toml:"retry_extra" validate:"min=0"`
	RetryWindow settings.Duration `toml:"retry_window"`
	// FirstStart is set if no instance ran before this one started, so that none can have made
	// retries.
	FirstStart bool `toml:"first_start"`
	// FairShares refuses and delays prompts of customers that use more than their share while prompts of
	// others wait.
	FairShares bool `toml:"fair_shares"`

	log              *zap.Logger
	now              func() time.Duration
	scope            tally.Scope
	name, dataCentre string
	catalog          *follow.Follower
	loads            *loads.Loads
	members          *members.Members
	quarantine       *quarantine.Quarantine
	limits           *limits.Limits
	notices          *notices.Notices
	link             *peerlink.Link
	client           backend.Client
	guards           *backend.Guards
	examiner         *examiner
	answerRoom       *answerRoom
	// admission are the checks of requests that would be held; FairShares adds one.
	admission admission.Chain
	// drained ends when the time to drain has passed.
	drained  context.Context
	endDrain context.CancelCauseFunc

	// active counts the requests in progress, held those of them that are held until
	// the engines have capacity, and heldDeep the deep prompts (spread.Deep) of these.
	active, held, heldDeep atomic.Int64
	mu                     sync.Mutex
	rand                   *rand.Rand
	pools                  map[string]*pool
	// retryExtraShare is this instance's part of RetryExtra as last logged.
	retryExtraShare int
	// fleet are the instances that share the retry budgets, as counted at fleetAt.
	fleet   retry.Fleet
	fleetAt time.Duration
	// borrower picks the instances that are asked for a retry.
	borrower *retry.Borrower
	// coldQuotas are the requests sent to cold servers.
	coldQuotas coldQuotas
}

// pool is what this instance observed of one service's servers.
type pool struct {
	tracker *health.Tracker
	retries *retry.Shared
	// lives maps the servers of the list synced to their life, which changes with a restart.
	lives  map[string]backends.Life
	synced *backends.Snapshot
	// slowDetector learns the usual pause between events of a stream.
	slowDetector health.SlowDetector
	// arrivals is the rate of requests for the service at this instance.
	arrivals spread.Arrivals
	// meter averages the prefill backlog of the servers over the last seconds.
	meter spread.Meter
	// suspended maps servers that refused work or could not be reached to the time
	// until which they are skipped.
	suspended map[string]time.Duration
	// share caches the servers of this instance's cell.
	share cellShare
}

// ModuleInfo implements auburnmoor.Module.
func (*Relay) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{follow.ID, loads.ID, members.ID, quarantine.ID, limits.ID, notices.ID, peerproxy.ID, peerlink.ID}, OptIn: true,
		New: func() auburnmoor.Module { return new(Relay) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (r *Relay) Provision(c *auburnmoor.Context) (err error) {
	if r.catalog, err = auburnmoor.Require[*follow.Follower](c, follow.ID); err != nil {
		return err
	}
	if r.loads, err = auburnmoor.Require[*loads.Loads](c, loads.ID); err != nil {
		return err
	}
	if r.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if r.quarantine, err = auburnmoor.Require[*quarantine.Quarantine](c, quarantine.ID); err != nil {
		return err
	}
	if r.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if r.limits, err = auburnmoor.Require[*limits.Limits](c, limits.ID); err != nil {
		return err
	}
	if r.notices, err = auburnmoor.Require[*notices.Notices](c, notices.ID); err != nil {
		return err
	}
	src, err := auburnmoor.Find[backend.Source](c)
	if err != nil {
		return err
	}
	r.guards = src.Guards()
	if r.client, err = auburnmoor.Require[*peerproxy.PeerProxy](c, peerproxy.ID); err != nil {
		return err
	}
	if r.RetryWindow == 0 {
		r.RetryWindow = settings.Duration(defaultRetryWindow)
	}
	if r.RetryRatio == 0 && r.RetryExtra == 0 {
		r.RetryRatio, r.RetryExtra = defaultRetryRatio, defaultRetryExtra
	}
	r.log, r.now, r.scope, r.dataCentre = c.Log, c.Now, c.Scope, c.Self.DataCentre
	r.name = c.Self.Name
	r.examiner = &examiner{examine: r.client.Examine, crashes: r.scope.Counter("server_crashes_total")}
	r.drained, r.endDrain = context.WithCancelCause(context.Background())
	r.rand, r.pools = rand.New(rand.NewPCG(c.Seed, 3)), map[string]*pool{}
	r.answerRoom = newAnswerRoom()
	r.borrower = retry.NewBorrower(rand.New(rand.NewPCG(c.Seed, 7)))
	r.link.HandleRetryLoans(r)
	if r.FairShares {
		r.keepShares()
	}
	return nil
}

// Active counts the requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// Serve handles one request. It returns when the answer is sent or the client is
// gone.
func (r *Relay) Serve(ctx context.Context, req *Request, sink Sink) {
	r.active.Add(1)
	defer r.active.Add(-1)
	x, refusal := r.newExchange(req, sink)
	if refusal != nil {
		r.Refuse(req, sink, refusal)
		return
	}
	ctx, stop := r.untilDrained(ctx)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, req.Arrived.Add(x.timeLimit))
	defer cancel()
	defer func() { x.recordEnding(recover()) }()
	x.run(ctx)
}

// errDrained ends the requests that are left when the time to drain has passed.
var errDrained = errors.New("the time to drain has passed")

// EndDrain ends the requests that are left when the time to drain has passed: those whose answer
// has not begun get an error, the others are cut off.
func (r *Relay) EndDrain() { r.endDrain(errDrained) }

// untilDrained returns a context that also ends with the time to drain.
func (r *Relay) untilDrained(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.drained, func() { cancel(errDrained) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Refuse answers a request with an error of this instance, and logs the refusal.
func (r *Relay) Refuse(req *Request, sink Sink, refusal *result.Error) {
	r.recordRefusal(req, refusal)
	sink.Refuse(refusal)
}

// retryAfterNoConfig is about the time from the start of an instance until the
// store answers.
const retryAfterNoConfig = 500 * time.Millisecond

// Terms are what a request may use before it is served.
type Terms struct {
	// Customer is its customer, empty on public routes.
	Customer string
	// TimeLimit counts from its arrival, zero for none.
	TimeLimit time.Duration
}

// Check returns the terms of a request by its head, or why it is refused.
func (r *Relay) Check(req *Request) (Terms, *result.Error) {
	_, rt, customer, refusal := r.authorize(req)
	if refusal != nil {
		return Terms{}, refusal
	}
	t := Terms{TimeLimit: effectiveTimeLimit(rt, req)}
	if customer != nil {
		t.Customer = customer.Name
	}
	return t, nil
}

// newExchange checks a request against the configuration in force.
func (r *Relay) newExchange(req *Request, sink Sink) (*exchange, *result.Error) {
	table, rt, customer, refusal := r.authorize(req)
	if refusal != nil {
		return nil, refusal
	}
	name, rank := "", rt.Rank
	if customer != nil {
		name = customer.Name
		if customer.HasRank {
			rank = customer.Rank
		}
	}
	service, ok := table.Service(r.pickService(rt))
	if !ok {
		return nil, result.New(result.NoBackend, "the route's service is not configured").WithRetryAfter(retryAfterNoBackend)
	}
	return &exchange{
		relay: r, req: req, sink: sink, reply: &reply{sink: sink}, route: rt, service: service, customer: name, rank: rank, version: table.Version,
		state: attempt.New(rt), timeLimit: effectiveTimeLimit(rt, req), identity: sync.OnceValue(func() poison.Key { return req.key(name) }),
	}, nil
}

// authorize finds the route and the customer of a request by the configuration in force.
func (r *Relay) authorize(req *Request) (*route.Table, *route.Route, *route.Customer, *result.Error) {
	if !r.catalog.Ready() {
		return nil, nil, nil, result.New(result.NoConfiguration, "no configuration received yet").WithRetryAfter(retryAfterNoConfig)
	}
	table := r.catalog.Table()
	rt, customer, refusal := authorize(table, req)
	if refusal != nil {
		return nil, nil, nil, r.retryableIfStale(refusal)
	}
	return table, rt, customer, nil
}

// authorize finds the route and the customer of a request, or returns why the
// configuration does not allow the request. Public routes need no customer.
func authorize(table *route.Table, req *Request) (*route.Route, *route.Customer, *result.Error) {
	rt, ok := table.Lookup(req.Host, req.Path)
	if !ok {
		return nil, nil, result.New(result.NotFound, "no route matches")
	}
	customer, ok := table.Customer(req.Key)
	if !ok && !rt.Public && len(table.Customers) > 0 {
		return nil, nil, result.New(result.UnknownKey, "unknown key")
	}
	if max := table.Limits.HeaderBytes; max > 0 && req.HeaderBytes > max {
		return nil, nil, result.New(result.HeaderTooLarge, "headers exceed the limit of %d bytes", max)
	}
	if max := table.Limits.BodyBytes; max > 0 && req.bodyBytes() > int64(max) {
		return nil, nil, result.New(result.BodyTooLarge, "body exceeds the limit of %d bytes", max)
	}
	return rt, customer, nil
}

// retryAfterUnconfirmed is about the time that an instance with an outdated
// configuration needs to receive the current one.
const retryAfterUnconfirmed = time.Second

// retryableIfStale returns the refusal itself while the configuration is confirmed to
// be current, and otherwise a temporary refusal, as a newer one may allow the request.
func (r *Relay) retryableIfStale(refusal *result.Error) *result.Error {
	if r.catalog.ConfigState() == knowledge.Confirmed {
		return refusal
	}
	return result.New(result.Unconfirmed, "%s, by a configuration that may be outdated", refusal.Message).WithRetryAfter(retryAfterUnconfirmed)
}

func effectiveTimeLimit(rt *route.Route, req *Request) time.Duration {
	if req.Deadline > 0 && (rt.Timeout == 0 || req.Deadline < rt.Timeout) {
		return req.Deadline
	}
	return rt.Timeout
}

func (r *Relay) pickService(rt *route.Route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rt.Pick(r.rand)
}

func (r *Relay) recordRefusal(req *Request, refusal *result.Error, extra ...zap.Field) {
	r.count("refusals_total", "code", refusal.Code.String())
	r.log.Warn("refused", append(extra, zap.String("request", req.ID), zap.Uint32("code", uint32(refusal.Code)), zap.String("why", refusal.Message),
		zap.Int64("prompt", req.PromptTokens), zap.String("host", req.Host), zap.String("path", req.Path), zap.Uint64("version", r.version()),
		zap.Duration("config_age", r.catalog.ConfigAge()))...)
}

func (r *Relay) version() uint64 {
	if t := r.catalog.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (r *Relay) count(name, tag, value string) {
	r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

// pool returns the pool of a service and creates it if needed; r.mu must be held.
func (r *Relay) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{
			tracker: health.NewTracker(maxEjected, r.rand), lives: map[string]backends.Life{}, suspended: map[string]time.Duration{},
			retries: retry.NewShared(retry.Config{Window: r.RetryWindow.Std(), Ratio: r.RetryRatio, Extra: r.RetryExtra}, r.FirstStart, r.rand),
		}
		r.pools[service] = p
	}
	return p
}

// candidates returns the servers of a service that this instance may place requests
// on, the number of ready servers they were selected from, and whether a server is left out only
// because this instance's quota for it, as a cold server, is used up. The candidates are the ready
// servers of the instance's cell, or of all cells with allCells or if the cell has
// none in rotation, and the cold servers of other cells that may get a request of this instance.
// If no server at all is in rotation, every ready one is a candidate, unless a cold server was left out.
// Servers that name a limit are not among them: they need a permit (placePermitted).
func (r *Relay) candidates(service *route.Service, allCells bool) (out []backends.Server, total int, coldLeftOut bool) {
	snap := r.catalog.Servers()
	ready := snap.Ready(service.Name)
	c := r.loads.Cell()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service.Name)
	p.syncServers(snap, ready)
	share := ready
	if !allCells {
		share = p.cellServers(snap, c, ready, service.Engine == nil)
	}
	gate := r.newColdGate(service)
	required := r.required(gate)
	preferred := slices.Concat(r.inRotation(p), required)
	if out = preferred.apply(share); len(out) == 0 {
		share = ready
		out = preferred.apply(ready)
	} else if more := gate.free(gate.beyondCell(share, ready), preferred); len(more) > 0 {
		out = slices.Concat(out, more)
		slices.SortFunc(out, func(a, b backends.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	if len(out) == 0 && (gate == nil || !gate.excluded) {
		out = required.apply(ready)
	}
	return r.loads.Available(out), len(share), gate != nil && gate.excluded
}

// cellShare is the part of a server list that belongs to one cell.
type cellShare struct {
	snap         *backends.Snapshot
	index, count int
	servers      []backends.Server
}

// cellServers returns the cell's share of the ready servers. The share is cached for
// each list, because sorting 172 engines takes as long as placing a request.
func (p *pool) cellServers(snap *backends.Snapshot, c cell.Cell, ready []backends.Server, plain bool) []backends.Server {
	if p.share.snap != snap || p.share.index != c.Index || p.share.count != c.Count {
		p.share = cellShare{snap, c.Index, c.Count, c.Share(ready, plain)}
	}
	return p.share.servers
}

// syncServers drops the health of servers that left the list or restarted. Otherwise a
// restarted server would stay out of rotation for failures before its crash. A list is
// synced once: a held prompt is placed again dozens of times a second.
func (p *pool) syncServers(snap *backends.Snapshot, ready []backends.Server) {
	if p.synced == snap {
		return
	}
	p.synced = snap
	current := make(map[string]backends.Life, len(ready))
	for _, s := range ready {
		life, known := p.lives[s.ID]
		if known && !life.Same(s.Life) {
			p.forget(s.ID)
			known = false
		}
		if !known {
			p.tracker.Add(s.ID)
		}
		current[s.ID] = s.Life
	}
	for id := range p.lives {
		if _, ready := current[id]; !ready {
			p.forget(id)
		}
	}
	p.lives = current
}

func (p *pool) forget(id string) {
	p.tracker.Remove(id)
	delete(p.suspended, id)
}

func (r *Relay) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	p.retries.AddRequest(r.now())
	p.arrivals.Observe(r.now())
}

// observeBacklog records the present prefill backlog of a service's servers.
func (r *Relay) observeBacklog(service string, servers []backends.Server) {
	backlog := r.loads.Backlog(servers)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(service).meter.Observe(r.now(), backlog)
}

// meanBacklog returns the mean backlog of the last seconds, as of the last placement.
func (r *Relay) meanBacklog(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(service).meter.Mean()
}

// suspend skips a server for a while. A server that shuts down refuses to help with
// prefill before the store lists it as leaving; without the pause every long prompt
// of the next second would be sent to it and refused.
func (r *Relay) suspend(service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(service).suspended[id] = r.now() + away.InitialPause
}
