// Package api serves the HTTP interface for callers: OpenAI-compatible
// completions, calls to plain services and the list of entry instances.
package api

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/claims"
	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/balance"
	"github.com/auburnmoor/auburnmoor/decide/orphan"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/port/service"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/serve/dispatcher"
	"github.com/auburnmoor/auburnmoor/serve/intake"
	"github.com/auburnmoor/auburnmoor/settings"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "http.api"

func init() { auburnmoor.Register(new(API)) }

// API is the module "http.api".
type API struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `toml:"max_body" validate:"min=0,max=268435456"`
	// BodyTimeout limits the time to receive a request body.
	BodyTimeout settings.Duration `toml:"body_timeout"`
	// KeepEntries is how long callers may cache the answer of /v1/entries. A
	// leaving instance accepts new calls for that long.
	KeepEntries settings.Duration `toml:"keep_entries"`

	intake *intake.Intake
	self   auburnmoor.Identity
	log    *zap.Logger
	scope  tally.Scope
	now    func() time.Duration
	conf   *config.Config
	mem    *members.Members
	disp   *dispatcher.Dispatcher
	claims *claims.Claims
	link   *peerlink.Link
	bound  *boundKeys
	plain  *service.Client
	server *http.Server
	seq    atomic.Uint64

	// parsing is held while a large body is parsed.
	parsing sync.Mutex

	mu      sync.Mutex
	rand    *rand.Rand
	pools   map[string]*balance.Pool
	results map[result.Code]uint64
}

// ModuleInfo implements auburnmoor.Module.
func (*API) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{intake.ID, config.ID, members.ID, dispatcher.ID, claims.ID, peerlink.ID},
		New: func() auburnmoor.Module { return new(API) },
	}
}

// Defaults and limits.
const (
	// defaultMaxBody fits a prompt of a million tokens with JSON escapes.
	defaultMaxBody     = 16 << 20
	defaultBodyTimeout = 30 * time.Second
	defaultKeepEntries = 5 * time.Second
	headerTimeout      = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 64 << 10
	// largeParse is the size in bytes from which bodies are parsed one at a time.
	largeParse = 256 << 10
	// connectionShare is the part of the connections of clients for this interface.
	connectionShare = 0.9
	dialTimeout     = time.Second
)

// Headers of the caller API.
const (
	headerRequestID = "X-Request-Id"
	headerInstance  = "X-Entry-Instance"
	headerKind      = "X-Request-Kind"
	headerTimeLimit = "X-Request-Timeout-Ms"
	headerKey       = "Idempotency-Key"
)

// Provision implements auburnmoor.Provisioner.
func (a *API) Provision(c *auburnmoor.Context) error {
	var err error
	if a.intake, err = auburnmoor.Require[*intake.Intake](c, intake.ID); err != nil {
		return err
	}
	if a.conf, err = auburnmoor.Require[*config.Config](c, config.ID); err != nil {
		return err
	}
	if a.mem, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if a.disp, err = auburnmoor.Require[*dispatcher.Dispatcher](c, dispatcher.ID); err != nil {
		return err
	}
	if a.claims, err = auburnmoor.Require[*claims.Claims](c, claims.ID); err != nil {
		return err
	}
	if a.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	a.link.HandleForward(a.handleForward)
	a.bound = newBoundKeys()
	a.setDefaults()
	a.self, a.log, a.scope, a.now = c.Self, c.Log, c.Scope, c.Now
	a.rand = rand.New(rand.NewPCG(c.Seed, 2))
	a.pools, a.results = map[string]*balance.Pool{}, map[result.Code]uint64{}
	a.plain = service.NewClient(dialTimeout)
	a.mem.OnView(a.replaceView)
	a.conf.OnChange(a.setLimits)
	a.server = &http.Server{
		Handler: a.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: intake.ConnState, ConnContext: intake.ConnContext,
	}
	return nil
}

func (a *API) setDefaults() {
	if a.MaxBody == 0 {
		a.MaxBody = defaultMaxBody
	}
	if a.BodyTimeout == 0 {
		a.BodyTimeout = settings.Duration(defaultBodyTimeout)
	}
	if a.KeepEntries == 0 {
		a.KeepEntries = settings.Duration(defaultKeepEntries)
	}
}

func (a *API) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = a.handleError
	e.Use(a.withRequestID, freeBody)
	e.GET("/v1/entries", a.entries)
	e.GET("/v1/models", a.models)
	e.POST("/v1/completions", func(c echo.Context) error { return a.completion(c, false) })
	e.POST("/v1/chat/completions", func(c echo.Context) error { return a.completion(c, true) })
	e.Any("/v1/services/:name", a.callService)
	e.Any("/v1/services/:name/*", a.callService)
	return e
}

// withRequestID is middleware that assigns each request its id.
func (a *API) withRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(headerInstance, a.self.Name)
		a.assignRequestID(c, caller{})
		return next(c)
	}
}

// assignRequestID sets the request id, and again once the kind and time limit
// are known. The id encodes the instance, its incarnation and the time limit, so
// that a stream whose instance died or lost it is recognizable from its id.
func (a *API) assignRequestID(c echo.Context, who caller) {
	seq, ok := c.Get(seqContextKey).(uint64)
	if !ok {
		seq = a.seq.Add(1)
		c.Set(seqContextKey, seq)
	}
	id := orphan.Format(a.self.Name, a.self.Incarnation, seq, who.timeBudget, who.kind.NeverTwice)
	c.Set(headerRequestID, id)
	c.Response().Header().Set(headerRequestID, id)
}

// seqContextKey is the echo context key of a request's sequence number.
const seqContextKey = "auburnmoor-seq"

func requestID(c echo.Context) string { return c.Get(headerRequestID).(string) }

// Start implements auburnmoor.Starter.
func (a *API) Start(ctx context.Context) error {
	lis, err := a.intake.Listen(ctx, a.self.CallerAddr, intake.ListenerConfig{Name: "api", Share: connectionShare, Limits: clientLimits})
	if err != nil {
		return err
	}
	go func() { _ = a.server.Serve(lis) }()
	return nil
}

// Drain implements auburnmoor.Drainer. It removes the instance from /v1/entries
// on all instances, keeps serving callers that cached an old answer, and then
// waits for every request in progress.
func (a *API) Drain(ctx context.Context) error {
	a.mem.Leave()
	select {
	case <-time.After(a.KeepEntries.Std()):
	case <-ctx.Done():
	}
	return a.server.Shutdown(ctx)
}

// Cleanup implements auburnmoor.Cleaner.
func (a *API) Cleanup() error { return a.server.Close() }

func (a *API) countResult(code result.Code) {
	a.scope.Tagged(map[string]string{"result": code.String()}).Counter("requests").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results[code]++
}

// Dump implements auburnmoor.Dumper.
func (a *API) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{Results: map[string]uint64{}, Pools: map[string]balance.Dump{}, Pending: a.disp.Pending()}
	for code, n := range a.results {
		d.Results[code.String()] = n
	}
	for name, p := range a.pools {
		d.Pools[name] = p.Dump()
	}
	return d
}

// Dump is the module state in the state dump.
type Dump struct {
	Results map[string]uint64       `json:"results"`
	Pools   map[string]balance.Dump `json:"plain_services"`
	Pending int                     `json:"pending"`
}

// setLimits applies the limits of a new configuration.
func (a *API) setLimits(ix *manifest.Index) {
	l := ix.Manifest.Limits
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.pools {
		p.SetLimits(l.RetryShare, l.EjectShare)
	}
}

// replaceView sets the backend servers of the plain services from a membership
// view. Leaving servers get no new calls.
func (a *API) replaceView(v members.View) {
	byService := map[string][]balance.Server{}
	for _, s := range v.Services {
		if !s.Leaving {
			byService[s.Service] = append(byService[s.Service], balance.Server{Name: s.Name, Addr: s.Addr})
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range byService {
		if a.pools[name] == nil {
			limits := manifest.Limits{RetryShare: 0.1, EjectShare: 0.3}
			if ix := a.conf.Index(); ix != nil {
				limits = ix.Manifest.Limits
			}
			a.pools[name] = balance.NewPool(limits.RetryShare, limits.EjectShare, a.rand)
		}
	}
	for name, p := range a.pools {
		p.SetServers(byService[name])
	}
}
